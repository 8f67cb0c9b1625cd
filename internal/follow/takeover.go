package follow

import "time"

const (
	// primaryPollers is how many balancers of a zone, in order of rank, poll the store once the state of
	// their upstream is stale. It makes it unlikely that all of them are cut off from a store that serves
	// others: where a third of the balancers is, once in 6,000 cases.
	primaryPollers = 8
	// takeoverStep is the time between one of them and the next.
	takeoverStep = 30 * time.Millisecond
	// backupDelayDivisor sets the delay of all others, as a fraction of the contact bound. By then they
	// receive the state from a primary that got a response.
	backupDelayDivisor = 10
	// minPeersWithoutStore is how many peers must report that the store does not respond to them for an outage;
	// backups then poll the store outageRetry later.
	minPeersWithoutStore = 4
	outageRetry          = 8 * time.Second
)

// takeoverDelay returns how long this balancer leaves the store to those of lower rank, once the state
// from its upstream is stale. One that the store responded to recently continues.
func (f *Follower) takeoverDelay(state State) time.Duration {
	if !state.Backup || f.disconnected || f.answeredAt > 0 && state.Now-f.answeredAt < f.contactBound/2 {
		return 0
	}
	switch {
	case f.takeoverAt > 0:
	case state.ZoneRank >= primaryPollers:
		f.takeoverAt = state.Now + f.contactBound/backupDelayDivisor
	default:
		f.takeoverAt = state.Now + time.Duration(state.ZoneRank)*takeoverStep
	}
	if remaining := f.takeoverAt - state.Now; remaining > 0 {
		return remaining
	}
	f.takeoverAt = 0
	if f.outage || !state.isOutage() {
		return 0
	}
	f.outage = true
	f.storeAfter = state.Now + outageRetry
	return outageRetry
}

// isOutage reports whether the store is known to respond to nobody, and other balancers are the ones that
// detect its return.
func (s *State) isOutage() bool {
	return s.Backup && s.ZoneRank >= primaryPollers && s.PeersWithoutStore >= minPeersWithoutStore
}
