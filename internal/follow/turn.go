package follow

import "time"

const (
	// firstAskers is how many balancers of a zone, by rank, ask the store once their source's word
	// is old, turnStep one after the other; the rest waits the part restPart of the contact
	// bound. By then they hear from those that were answered; where enoughFailing others say that
	// the store does not answer them, it is an outage, and the rest asks restRetry later.
	// That all of the first are cut off while the store serves others is what the number is for:
	// where a third is turned away, as much as the users tell of, it is one in 6,000.
	firstAskers   = 8
	turnStep      = 30 * time.Millisecond
	restPart      = 10
	enoughFailing = 4
	restRetry     = 8 * time.Second
)

// untilTurn returns how long those that come first by rank are left to ask the store, once what
// they told is too old. One that has asked lately goes on.
func (f *Follower) untilTurn(state State) time.Duration {
	if !state.Spare || f.broken || f.answered > 0 && state.Now-f.answered < f.contactBound/2 {
		return 0
	}
	switch {
	case f.turnAt > 0:
	case state.Index >= firstAskers:
		f.turnAt = state.Now + f.contactBound/restPart
	default:
		f.turnAt = state.Now + time.Duration(state.Index)*turnStep
	}
	if left := f.turnAt - state.Now; left > 0 {
		return left
	}
	f.turnAt = 0
	if f.outage || !state.isOutage() {
		return 0
	}
	f.outage = true
	f.storeAfter = state.Now + restRetry
	return restRetry
}

// isOutage tells whether the store answers nobody, as far as is known, and whether it is others
// that find out when it does again.
func (s *State) isOutage() bool {
	return s.Spare && s.Index >= firstAskers && s.Failing >= enoughFailing
}
