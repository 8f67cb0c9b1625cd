// Package follow decides whom a balancer asks for changes of the desired state, and
// when: another balancer while there is one to follow, else the store; what to do
// when a call fails or the store has lost its history. It is pure: Next says which
// call to make, Done takes its outcome. The process and the emulator carry them out.
//
// # Usage
//
//	f := follow.New(contactBound, follow.StartPause(linkMbps, firstStart))
//	for {
//		call := f.Next(state())
//		contact := f.Done(state(), call, carryOut(call))
//	}
package follow

import "time"

const (
	// listTimeout bounds one listing. Each of its calls has a bound of its own: when
	// a whole fleet starts, the store is busy, and a listing that makes progress must
	// not be begun anew.
	listTimeout = 10 * time.Second
	// PageTimeout bounds each call of a listing.
	PageTimeout = 1500 * time.Millisecond
	// lastListRetry bounds the pause after a failed listing by a balancer that knows
	// nothing; others may know more by then.
	maxListRetry = 1600 * time.Millisecond
	// TransferTimeout bounds an answer from its first byte to its last: a whole
	// configuration takes most of a second over the narrowest links.
	TransferTimeout = 3 * time.Second
	// changesSlack is how much later than asked for the store's answer may come.
	changesSlack = 500 * time.Millisecond
	// minPeerWait is the shortest time that a balancer waits for changes at another one, and
	// peerSlack how much later the answer may come.
	minPeerWait = 100 * time.Millisecond
	peerSlack   = 300 * time.Millisecond
	// catchUpTime bounds a call at a balancer that knows more.
	catchUpTimeout = time.Second
	// firstRetry and lastRetry bound the time after a failed call until the store is asked again;
	// it doubles.
	minRetry = 50 * time.Millisecond
	maxRetry = 400 * time.Millisecond
	// spareRetry is that time where another balancer comes first by rank, after the first
	// failure, and longSpareRetry after more: in an outage the other one asks, and tells when
	// the store is back.
	backupRetry     = 400 * time.Millisecond
	longBackupRetry = 2 * time.Second
	// maxDoublings bounds how often that time doubles.
	maxDoublings = 8
	// pauseStep is how long a balancer that waits to ask the store pauses before it looks
	// whether another one has heard of it meanwhile.
	maxPause = 200 * time.Millisecond
	// storeWaitPart, peerAgePart and gatherPart divide the contact bound. The first is how long
	// the store is waited for, from its last answer on. The second is how old what another
	// balancer tells may be: a call there is answered when the store has confirmed again what is
	// believed, and ends before that is older, so that a balancer which heard nothing from its
	// source asks the store peerSlack after that age at the latest: below the bounds of
	// configuration and draining. The third is the pause after an answer of the store that came
	// early, so that changes which follow each other are read together: each read is priced, and
	// what changes while servers are replaced need not be known faster.
	storeWaitDivisor = 4
	peerAgeDivisor   = 2.5
	batchDivisor     = 10
	// partialAnswer is from how many changes on an answer of the store is taken for a part of what there is:
	// stores bound what one answer has (500 entries here), and do not say that there is more. The rest is asked
	// for at once. With the pause after each part 10,000 servers took 17 s to be known, and a change of settings
	// behind as many changes would come long after its bound.
	minPartialChanges = 128
)

// Follower is the state between calls. It is not safe for concurrent use.
type Follower struct {
	contactBound time.Duration
	// startPause is left of the time before the first listing, and settled is set once anything
	// is known and others have had time to be found.
	startPause time.Duration
	settled    bool
	// narrow is set behind a narrow link, and listsShort while a listing is left to others there if it is long.
	narrowLink, limitsTransfer bool
	// historyLost is set while the next call to the store must list.
	historyLost bool
	// storeTurn is set when a peer was of no use and the store is next.
	storeNext bool
	// catchUp is set while the store is of no use and a peer may know more.
	catchUp bool
	pause   time.Duration
	// asked is the revision at the last call, and answered when the store last answered.
	requestedRevision uint64
	answeredAt        time.Duration
	// turnAt is when it is this balancer's turn to ask the store in place of those that come first
	// by rank, 0 while they are of use; outage is set once it has left its turn to them, since
	// the store answers nobody.
	takeoverAt time.Duration
	outage     bool
	// storeAfter is when the store may be asked again after failures, and failures counts
	// them since it last answered.
	storeAfter   time.Duration
	failures     int
	disconnected bool
}

// New returns a follower. contactBound is the platform's bound for being in touch,
// startPause how long the store is left to others while nothing is known; see StartPause.
func New(contactBound, startPause time.Duration) *Follower {
	return &Follower{contactBound: contactBound, startPause: startPause, narrowLink: startPause > 0, limitsTransfer: startPause == narrowLinkDelay}
}

// MaxPeerAge is how old beliefs of another balancer may be, for a contact bound.
func MaxPeerAge(contactBound time.Duration) time.Duration {
	return time.Duration(float64(contactBound) / peerAgeDivisor)
}

// Next returns the call to make.
func (f *Follower) Next(state State) Call {
	f.requestedRevision = state.Revision
	if f.catchUp && state.Freshest.IsValid() {
		f.catchUp = false
		return Call{Kind: AskPeer, Peer: state.Freshest, Timeout: catchUpTimeout}
	}
	f.catchUp = false
	if state.Revision == 0 {
		f.pause = max(f.pause, f.startPause)
	}
	f.startPause = 0
	if state.Revision > 0 && !f.settled {
		// What another balancer has just told is fresh, and whom to follow shows in a moment.
		f.settled = true
		if !state.Upstream.IsValid() {
			f.pause = f.contactBound / batchDivisor
		}
	}
	if f.pause > 0 {
		call := Call{Kind: Pause, Wait: f.pause}
		f.pause = 0
		return call
	}
	if state.Upstream.IsValid() && state.Revision > 0 && !f.storeNext {
		wait := max(MaxPeerAge(f.contactBound)-max(state.UpstreamAge, 0), minPeerWait)
		return Call{Kind: AskPeer, Peer: state.Upstream, Wait: wait, Timeout: wait + peerSlack}
	}
	f.storeNext = false
	if f.defersToPeers(state) {
		return Call{Kind: Pause, Wait: startPollInterval}
	}
	if left := f.storeAfter - state.Now; left > 0 {
		return f.waitForStore(left)
	}
	if f.historyLost || state.Revision == 0 {
		call := Call{Kind: ListStore, Timeout: listTimeout}
		if f.limitsTransfer && state.Revision == 0 {
			call.Transfer = LongTransfer
		}
		return call
	}
	if left := f.takeoverDelay(state); left > 0 {
		return f.waitForStore(left)
	}
	wait := f.watchTime(state.Now)
	return Call{Kind: WatchStore, Wait: wait, Timeout: wait + changesSlack}
}

// waitForStore returns a pause before the store may be asked. Meanwhile others that know more
// are.
func (f *Follower) waitForStore(left time.Duration) Call {
	f.catchUp = true
	return Call{Kind: Pause, Wait: min(left, maxPause)}
}

// watchTime returns how long the store is waited for: until storeWaitPart of the bound after its
// last answer, so that a pause since then makes nothing older.
func (f *Follower) watchTime(now time.Duration) time.Duration {
	longest := f.contactBound / storeWaitDivisor
	return min(max(f.answeredAt+longest-now, longest/4), longest)
}

// Done takes the outcome of a call, with the state after it, and tells whether contact with the
// store changed.
func (f *Follower) Done(state State, call Call, outcome Outcome) Contact {
	switch call.Kind {
	case Pause:
		return Unchanged
	case AskPeer:
		if outcome.Result == Overtaken {
			f.catchUp = true
			return Unchanged
		}
		f.storeNext = outcome.Result != Done || outcome.Age > MaxPeerAge(f.contactBound)
		if f.storeNext {
			return Unchanged
		}
		return f.storeConfirmed()
	}
	switch outcome.Result {
	case HistoryLost:
		f.historyLost = true
		return Unchanged
	case Overtaken:
		f.catchUp = true
		return Unchanged
	case TooLong:
		f.limitsTransfer, f.pause = false, longListingDelay
		return Unchanged
	case Failed:
		return f.storeFailed(state, call)
	}
	if call.Kind == ListStore {
		f.historyLost = false
	}
	f.answeredAt = state.Now
	if state.Revision != f.requestedRevision && outcome.Changes < minPartialChanges {
		f.pause = f.contactBound / batchDivisor
	}
	return f.storeConfirmed()
}

// regained notes that the store's word has arrived, directly or through a peer.
func (f *Follower) storeConfirmed() Contact {
	f.failures, f.storeAfter, f.takeoverAt, f.outage = 0, 0, 0, false
	if !f.disconnected {
		return Unchanged
	}
	f.disconnected = false
	return Regained
}

func (f *Follower) storeFailed(state State, call Call) Contact {
	f.catchUp = true
	f.storeAfter = state.Now + f.retryTime(state, call)
	f.failures++
	if f.disconnected {
		return Unchanged
	}
	f.disconnected = true
	return Lost
}

// retryTime returns how long after a failed call the store is asked again.
func (f *Follower) retryTime(state State, call Call) time.Duration {
	last := maxRetry
	switch {
	case call.Kind == ListStore:
		last = maxListRetry
	case state.isOutage():
		return outageRetry
	case state.Backup && f.failures == 0 && state.FailingPeers < minFailingPeers:
		return backupRetry
	case state.Backup:
		return longBackupRetry
	}
	return min(minRetry<<min(f.failures, maxDoublings), last)
}
