// Package follow decides from where and when a balancer requests changes of the desired
// state: from another balancer while there is one to follow, else from the store. It also
// decides what to do when a call fails or the store has lost its history. It does no I/O:
// Next returns the call to make, and Done takes its outcome. The process and the emulator
// carry out the calls.
//
// The staleness of a state is the time since the store confirmed it, at most: whatever may lie
// between giving an answer and reading it counts as age, also a pause of this process or of a peer.
// A balancer whose own state is staler than MaxPeerStaleness requests it from the store,
// however fresh its upstream claims to be. So a change is known everywhere within
// MaxPeerStaleness, peerSlack, the time for which balancers of lower rank come first and a call to
// the store.
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
	// listTimeout bounds a listing. Each of its calls has a timeout of its own, so that a
	// listing from a busy store continues while it makes progress.
	listTimeout = 10 * time.Second
	// PageTimeout bounds each call of a listing.
	PageTimeout = 1500 * time.Millisecond
	// maxListRetry bounds the delay after a failed listing; peers may have the state by then.
	maxListRetry = 1600 * time.Millisecond
	// TransferTimeout bounds a response from its first byte to its last: a whole
	// configuration takes most of a second over the narrowest links.
	TransferTimeout = 3 * time.Second
	// changesSlack is how long after Call.Wait the store's response may come.
	changesSlack = 500 * time.Millisecond
	// minPeerWait is the shortest wait for changes from another balancer, and peerSlack how
	// long after it the response may come.
	minPeerWait = 100 * time.Millisecond
	peerSlack   = 300 * time.Millisecond
	// maxCatchUpTime bounds a request to a balancer with a newer revision.
	maxCatchUpTime = time.Second
	// minRetry and maxRetry bound the time after a failed call until the next request to the
	// store. It doubles with each failure.
	minRetry = 50 * time.Millisecond
	maxRetry = 400 * time.Millisecond
	// backupRetry is that time for a backup after the first failure, and longBackupRetry after
	// further ones: in an outage balancers of lower rank poll the store and report its return.
	backupRetry     = 400 * time.Millisecond
	longBackupRetry = 2 * time.Second
	// maxDoublings bounds how often that time doubles.
	maxDoublings = 8
	// maxPause is how long a balancer that waits to poll the store pauses before it checks
	// whether a peer has a newer revision.
	maxPause = 200 * time.Millisecond
	// watchRepeatTime is how long it takes to repeat a request to the store that failed: minRetry and
	// the response.
	watchRepeatTime = 150 * time.Millisecond
	// storeWaitDivisor sets the longest wait for changes from the store, as a fraction of the contact
	// bound, and minWatchDivisor the shortest one, as a fraction of the longest.
	storeWaitDivisor = 4
	minWatchDivisor  = 4
	// peerStalenessDivisor sets the maximum staleness of another balancer's state, as a fraction of the
	// contact bound. A call there ends before the own state is older, so that a balancer whose
	// upstream is silent polls the store at most peerSlack after that, within the bounds
	// of configuration and draining.
	peerStalenessDivisor = 2.5
	// batchDivisor sets the pause after an early response of the store, as a fraction of the
	// contact bound, so that consecutive changes are read together: stores charge for each read.
	batchDivisor = 10
	// minPartialChanges is the number of changes from which on a response of the store may be
	// partial: stores limit a response (to 500 entries here) without saying that there is more.
	// The next one is requested at once, so that a change behind many others is within its bound: with a
	// pause after each response 10,000 servers took 17 s to be known.
	minPartialChanges = 128
)

// Follower holds the state between calls. It is not safe for concurrent use.
type Follower struct {
	contactBound time.Duration
	// startPause is the remaining delay before the first listing. settled is set once there is
	// state and there was time to discover peers.
	startPause time.Duration
	settled    bool
	// narrowLink is set behind a narrow link, and limitsTransfer while a long listing there is left to others.
	narrowLink, limitsTransfer bool
	// historyLost is set while the next call to the store must list.
	historyLost bool
	// storeNext is set when a call to a peer was of no use and the store is next.
	storeNext bool
	// catchUp is set while the store is of no use and a peer may have a newer revision.
	catchUp bool
	pause   time.Duration
	// requestedRevision is the revision at the last call, and answeredAt when the store last responded.
	requestedRevision uint64
	answeredAt        time.Duration
	// takeoverAt is when this balancer polls the store instead of those of lower rank, 0 if that is not
	// pending. outage is set once it has deferred that because the store responds to nobody.
	takeoverAt time.Duration
	outage     bool
	// storeAfter is the earliest time of the next call to the store after failures, and failures
	// counts them since its last response.
	storeAfter   time.Duration
	failures     int
	disconnected bool
}

// New returns a follower. contactBound is the platform's bound for contact with the store,
// and startPause the delay before the first listing; see StartPause.
func New(contactBound, startPause time.Duration) *Follower {
	return &Follower{contactBound: contactBound, startPause: startPause, narrowLink: startPause > 0, limitsTransfer: startPause == narrowLinkDelay}
}

// MaxPeerStaleness returns the maximum staleness of the state of a balancer to follow.
func MaxPeerStaleness(contactBound time.Duration) time.Duration {
	return time.Duration(float64(contactBound) / peerStalenessDivisor)
}

// Next returns the call to make.
func (f *Follower) Next(state State) Call {
	f.requestedRevision = state.Revision
	if f.catchUp && state.Freshest.IsValid() {
		f.catchUp = false
		return Call{Kind: QueryPeer, Peer: state.Freshest, Timeout: f.catchUpTimeout(state.Staleness)}
	}
	f.catchUp = false
	if state.Revision == 0 {
		f.pause = max(f.pause, f.startPause)
	}
	f.startPause = 0
	if state.Revision > 0 && !f.settled {
		// State just received is fresh, so there is time to discover an upstream.
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
		wait := f.peerWait(max(state.UpstreamStaleness, state.Staleness, 0))
		return Call{Kind: QueryPeer, Peer: state.Upstream, Wait: wait, Timeout: wait + peerSlack}
	}
	f.storeNext = false
	if f.defersToPeers(state) {
		return Call{Kind: Pause, Wait: startPollInterval}
	}
	if remaining := f.storeAfter - state.Now; remaining > 0 {
		return f.waitForStore(remaining)
	}
	if f.historyLost || state.Revision == 0 {
		call := Call{Kind: ListStore, Timeout: listTimeout}
		if f.limitsTransfer && state.Revision == 0 {
			call.Transfer = LongTransfer
		}
		return call
	}
	if remaining := f.takeoverDelay(state); remaining > 0 {
		return f.waitForStore(remaining)
	}
	// Stores count in milliseconds.
	wait := f.watchTime(state.Staleness).Truncate(time.Millisecond)
	return Call{Kind: WatchStore, Wait: wait, Timeout: wait + changesSlack}
}

// peerWait returns how long a peer may delay its answer to a balancer whose state, or the peer's, is of
// the given staleness.
func (f *Follower) peerWait(staleness time.Duration) time.Duration {
	return max(MaxPeerStaleness(f.contactBound)-staleness, minPeerWait)
}

// catchUpTimeout returns the timeout of a request to a balancer with a newer revision. A silent one must
// not delay the request to the store that the own staleness calls for.
func (f *Follower) catchUpTimeout(staleness time.Duration) time.Duration {
	if f.disconnected {
		return maxCatchUpTime
	}
	return min(f.peerWait(staleness)+peerSlack, maxCatchUpTime)
}

// waitForStore returns a pause before the next call to the store. Peers with a newer revision are
// queried meanwhile.
func (f *Follower) waitForStore(remaining time.Duration) Call {
	f.catchUp = true
	return Call{Kind: Pause, Wait: min(remaining, maxPause)}
}

// watchTime returns how long to wait for the store. The wait counts from the last confirmation, so that
// neither a pause since then nor a response that may be old makes the state staler.
func (f *Follower) watchTime(staleness time.Duration) time.Duration {
	longest := f.longestWatch()
	return min(max(longest-staleness, longest/minWatchDivisor), longest)
}

// longestWatch returns the longest wait for the store. If it is not answered, the repeated request must be
// before followers find the state too stale: otherwise all of them would poll the store at once.
func (f *Follower) longestWatch() time.Duration {
	longest := f.contactBound / storeWaitDivisor
	return max(min(longest, MaxPeerStaleness(f.contactBound)-changesSlack-watchRepeatTime), longest/minWatchDivisor)
}

// batchPause returns the pause after a response with changes. It ends in time for another watch.
func (f *Follower) batchPause(staleness time.Duration) time.Duration {
	return min(f.contactBound/batchDivisor, max(f.longestWatch()-staleness, 0))
}

// Done takes the outcome of a call, with the state after it, and returns how contact with the
// store changed.
func (f *Follower) Done(state State, call Call, outcome Outcome) Contact {
	switch call.Kind {
	case Pause:
		return Unchanged
	case QueryPeer:
		if outcome.Result == Superseded {
			f.catchUp = true
			return Unchanged
		}
		f.storeNext = outcome.Result != Done || state.Staleness > MaxPeerStaleness(f.contactBound)
		if f.storeNext {
			return Unchanged
		}
		return f.storeConfirmed()
	}
	switch outcome.Result {
	case HistoryLost:
		f.historyLost = true
		return Unchanged
	case Superseded:
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
		f.pause = f.batchPause(state.Staleness)
	}
	return f.storeConfirmed()
}

// storeConfirmed resets failures after a confirmation by the store, received directly or through a peer.
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

// retryTime returns the time after a failed call until the next call to the store.
func (f *Follower) retryTime(state State, call Call) time.Duration {
	limit := maxRetry
	switch {
	case call.Kind == ListStore:
		limit = maxListRetry
	case state.isOutage():
		return outageRetry
	case state.Backup && f.failures == 0 && state.PeersWithoutStore < minPeersWithoutStore:
		return backupRetry
	case state.Backup:
		return longBackupRetry
	}
	return min(minRetry<<min(f.failures, maxDoublings), limit)
}
