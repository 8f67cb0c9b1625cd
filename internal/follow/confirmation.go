package follow

import "time"

// neverConfirmed is the staleness of a state that the store has never confirmed. It exceeds all bounds.
const neverConfirmed = time.Hour

// Confirmation is the latest time at which the store is known to have confirmed a balancer's known
// state, to the balancer itself or to the one that sent the state, on the monotonic clock of the
// process. The zero value is never. The confirmation of a received state may be older than the
// process.
//
// A confirmation is dated by the earliest time at which its answer can have been given, since an
// answer may be read long after that: see FromStore, FromWatch and FromPeer.
type Confirmation struct {
	at    time.Duration
	known bool
}

// minRenewal is by how much newer a confirmation must be to be sent to other balancers at once.
const minRenewal = 200 * time.Millisecond

// FromStore returns the confirmation time of an answer of the store to a request that was sent at
// requestedAt: the store may have given it at any time since.
func FromStore(requestedAt time.Duration) time.Duration { return requestedAt }

// FromWatch returns the confirmation time of an answer to a watch that was sent at requestedAt and
// read at readAt. The store gives an answer without changes when the wait is over. One that is read
// before that is dated like one with changes, which may have been given at any time.
func FromWatch(requestedAt, readAt, wait time.Duration, changed bool) time.Duration {
	if changed || readAt-requestedAt < wait {
		return FromStore(requestedAt)
	}
	return requestedAt + wait
}

// FromPeer returns the confirmation time of an answer of a peer to a request that was sent at
// requestedAt. The peer reports how long it had held the request when the state was staleness old,
// by its own clock.
func FromPeer(requestedAt, held, staleness time.Duration) time.Duration {
	return requestedAt + held - staleness
}

// Update records that the store confirmed the state at a time, unless a newer confirmation is known.
// It reports whether to send it to waiting followers, so that a confirmation passes along a chain of
// balancers at once and the state is little staler at its end than at the balancer that polls the
// store.
func (c *Confirmation) Update(at time.Duration) (renewed bool) {
	if c.known && at <= c.at {
		return false
	}
	renewed = !c.known || at-c.at >= minRenewal
	c.at, c.known = at, true
	return renewed
}

// IsNewerThan reports whether this confirmation is newer, by minRenewal at least, than one of the
// given staleness.
func (c *Confirmation) IsNewerThan(now, staleness time.Duration) bool {
	return c.Staleness(now)+minRenewal <= staleness
}

// Staleness returns the time since the store confirmed the state, neverConfirmed if it never did.
func (c *Confirmation) Staleness(now time.Duration) time.Duration {
	if !c.known {
		return neverConfirmed
	}
	return now - c.at
}
