package steering

import (
	"math"
	"time"
)

const (
	// initialWarmUpSlowdown is assumed for back ends that are warming up until it is measured, and
	// warmUpSlowdownGain is the weight of each response.
	initialWarmUpSlowdown = 1.6
	warmUpSlowdownGain    = 0.1
	// priorRetransmitShare is the assumed share of retransmitted requests at healthy back ends,
	// with the weight of priorRequests requests.
	priorRetransmitShare = 0.03
	priorRequests        = 10
	// retransmitMargin is the upper bound's distance from the estimate in standard deviations. It
	// keeps a few lost packets from ending flows at a healthy back end: without it four callers whose
	// packets were lost by chance did so, at 5% loss.
	retransmitMargin = 2
	// lossyShare is the share of retransmitted requests at healthy back ends from which an
	// unanswered packet is most likely lost. Suspects are then not reported urgently, which costs
	// a datagram per balancer, and do not confirm each other. At 5% loss open flows were otherwise
	// reset by a second back end.
	lossyShare = 0.04
	// lossyOpeningShare is the same for opening packets. Above it a copy that moves may be answered
	// by two back ends. A single retransmission among few flows reaches it: when it took two, such
	// flows were reset more often.
	lossyOpeningShare = 0.1
	// longDecay is the factor per second for counts over about half a minute.
	longDecay = 0.97
)

// poolState holds what this balancer has observed of the back ends that announce one name.
type poolState struct {
	// unobserved is shared by all back ends without observations. It is never written to.
	unobserved *backendState
	// startedAt is when this balancer began to observe.
	startedAt time.Duration
	// subsetOffset counts the placements in the pool and moves the subset around the ring.
	subsetOffset int
	// typicalLatency is the typical latency at the last placement in seconds, 0 while unknown.
	typicalLatency float64
	// warmUpSlowdown is the measured slowdown of back ends that are warming up.
	warmUpSlowdown float64
	// cooldown keeps flows of split services away while no back end answers requests.
	cooldown cooldown
	// retransmits and retransmitsLong count requests retransmitted though the back end was
	// healthy: over seconds, which follows changes, and over half a minute, which varies less.
	retransmits, retransmitsLong retransmitStats
	// openingRetransmits counts retransmitted opening packets over half a minute.
	openingRetransmits retransmitStats
}

// poolOf returns the state of the back ends that announce the name, creating it if needed.
func (s *Steerer) poolOf(discover string) *poolState {
	pool := s.pools[discover]
	if pool == nil {
		pool = &poolState{warmUpSlowdown: initialWarmUpSlowdown, startedAt: s.startedAt}
		s.pools[discover] = pool
	}
	return pool
}

// lossy reports whether loss at healthy back ends may explain a single unanswered packet.
func (p *poolState) lossy() bool {
	return p.retransmitsLong.upperBound() >= lossyShare || p.losesAnswers()
}

// losesAnswers reports whether two lost answers to opening packets in a row are likely.
func (p *poolState) losesAnswers() bool {
	return p.openingRetransmits.upperBound() >= lossyOpeningShare
}

// minUnansweredFlows returns how many flows in a row must go unanswered before a back end of the
// pool is silent.
func (p *poolState) minUnansweredFlows() int {
	return max(minUnansweredFlows, minRunLength(silentFalsePositiveRate, p.openingRetransmits.upperBound()))
}

// justStarted reports whether too little was observed to estimate packet loss.
func (p *poolState) justStarted(now time.Duration) bool { return now-p.startedAt < settleTime }

// minRunLength returns the smallest number of consecutive events, each with the given probability,
// that has a joint probability of at most maxProbability.
func minRunLength(maxProbability, probability float64) int {
	if probability >= 1 {
		return math.MaxInt
	}
	return int(math.Ceil(math.Log(maxProbability) / math.Log(probability)))
}

// recordOpened counts an opened flow; copied is set if that took a copy of its opening packet.
func (p *poolState) recordOpened(copied bool) {
	p.openingRetransmits.requests++
	if copied {
		p.openingRetransmits.retransmitted++
	}
}

// recordUnanswered counts an unanswered request that has waited much longer than is typical.
func (p *poolState) recordUnanswered(now, sentAt time.Duration) {
	if (now - sentAt).Seconds() >= overdueFactor*p.typicalLatency {
		p.cooldown.recordUnanswered(now, sentAt)
	}
}

// recordWarmUpLatency updates the slowdown with a response of a back end that is warming up.
func (p *poolState) recordWarmUpLatency(latency time.Duration) {
	if p.typicalLatency > 0 {
		p.warmUpSlowdown += warmUpSlowdownGain * (min(max(latency.Seconds()/p.typicalLatency, 1), maxSlowdown) - p.warmUpSlowdown)
	}
}

// recordRequest counts a request that was sent.
func (p *poolState) recordRequest() {
	p.retransmits.requests++
	p.retransmitsLong.requests++
}

// recordRetransmits counts requests that were retransmitted though the back end was healthy.
func (p *poolState) recordRetransmits(count int) {
	p.retransmits.retransmitted += float64(count)
	p.retransmitsLong.retransmitted += float64(count)
}

// decay ages the counts by one second.
func (p *poolState) decay() {
	p.retransmits.decay(recentDecay)
	p.retransmitsLong.decay(longDecay)
	p.openingRetransmits.decay(longDecay)
}

// retransmitStats counts requests and those that were retransmitted, both decaying.
type retransmitStats struct {
	requests, retransmitted float64
}

func (r *retransmitStats) decay(factor float64) {
	r.requests *= factor
	r.retransmitted *= factor
}

// share estimates the share of retransmitted requests, starting from priorRetransmitShare.
func (r *retransmitStats) share() float64 {
	return (r.retransmitted + priorRetransmitShare*priorRequests) / (r.requests + priorRequests)
}

// upperBound returns the upper bound of share.
func (r *retransmitStats) upperBound() float64 {
	return r.share() + retransmitMargin*math.Sqrt(r.retransmitted)/(r.requests+priorRequests)
}
