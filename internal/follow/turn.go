package follow

import "time"

const (
	// firstAskers is how many balancers of a zone, by rank, ask the store once their source's word
	// is old, turnStep one after the other; the rest waits the part restPart of the contact
	// bound. By then they hear from those that were answered; where enoughFailing others say that
	// the store does not answer them, it is an outage, and the rest asks restRetry later.
	// That all of the first are cut off while the store serves others is what the number is for:
	// where a third is turned away, as much as the users tell of, it is one in 6,000.
	primaryPollers     = 8
	takeoverStep       = 30 * time.Millisecond
	backupDelayDivisor = 10
	minFailingPeers    = 4
	outageRetry        = 8 * time.Second
)

// untilTurn returns how long those that come first by rank are left to ask the store, once what
// they told is too old. One that has asked lately goes on.
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
	if left := f.takeoverAt - state.Now; left > 0 {
		return left
	}
	f.takeoverAt = 0
	if f.outage || !state.isOutage() {
		return 0
	}
	f.outage = true
	f.storeAfter = state.Now + outageRetry
	return outageRetry
}

// isOutage tells whether the store answers nobody, as far as is known, and whether it is others
// that find out when it does again.
func (s *State) isOutage() bool {
	return s.Backup && s.ZoneRank >= primaryPollers && s.FailingPeers >= minFailingPeers
}
