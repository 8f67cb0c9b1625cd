package steering

import (
	"time"

	"gaugeyard/internal/directory"
)

const (
	// silentFlows is how many flows must go unanswered, with no sign of life
	// between, before a back end is suspected: one may be a lost packet.
	silentFlows = 2
	// suspectTime is how long a suspected back end gets no new flows at first;
	// it doubles each time the suspicion is renewed, up to maxSuspectTime.
	suspectTime    = 2 * time.Second
	maxSuspectTime = 8 * time.Second
	// latencyGain is the weight of a new sample in the mean latency.
	latencyGain = 0.2
	// recentDecay is what of the recent requests is left after a second.
	recentDecay = 0.7
)

// backendState is what this balancer observes of one back end through the flows
// that pass here.
type backendState struct {
	// flows are the flows at the back end that the caller has not closed.
	flows int
	// opening are those of flows that have not opened yet.
	opening int
	// active are the requests under way.
	active int
	// recent is the number of requests begun lately, decaying.
	recent float64
	// latency is the mean time of an answer, in seconds; 0 while unknown.
	latency float64
	// progress is when the back end last showed a sign of life.
	progress time.Duration
	// silent counts flows unanswered since.
	silent int
	// suspectUntil ends the present suspicion; suspicion is how long it was.
	suspectUntil, suspicion time.Duration
}

func (s *Steerer) stateOf(member *directory.Member) *backendState {
	state := s.backends[member.ID]
	if state == nil {
		state = &backendState{}
		s.backends[member.ID] = state
	}
	return state
}

// join counts a new record.
func (b *backendState) join(known *record) {
	b.flows++
	if known.opening {
		b.opening++
	}
}

// leave takes a record out of the counts.
func (b *backendState) leave(known *record) {
	if !known.closed {
		b.flows--
	}
	if known.opening {
		b.opening--
	}
	if known.waiting {
		b.active--
	}
}

func (b *backendState) begin(now time.Duration) {
	b.active++
	b.recent++
}

// finish notes that a request was answered after latency.
func (b *backendState) finish(latency time.Duration) {
	b.active--
	if b.latency == 0 {
		b.latency = latency.Seconds()
		return
	}
	b.latency += latencyGain * (latency.Seconds() - b.latency)
}

// noteProgress clears what spoke against the back end.
func (b *backendState) noteProgress(now time.Duration) {
	b.progress = now
	b.silent = 0
	b.suspectUntil, b.suspicion = 0, 0
}

// noteSilence counts a flow that was asked for at askedAt and not answered.
func (b *backendState) noteSilence(now, askedAt time.Duration) {
	if b.progress >= askedAt {
		return
	}
	b.silent++
	if b.silent < silentFlows {
		return
	}
	b.silent = 0
	b.suspicion = min(max(suspectTime, 2*b.suspicion), maxSuspectTime)
	b.suspectUntil = now + b.suspicion
}

// suspected tells whether the back end gets no new flow for now.
func (b *backendState) suspected(now time.Duration) bool {
	return now < b.suspectUntil
}

func (b *backendState) decay() {
	b.recent *= recentDecay
}
