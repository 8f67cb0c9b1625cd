package steering

import (
	"math"
	"time"
)

const (
	// firstColdPace is how many times longer than usual a request is taken to need at a back
	// end that warms up, until answers have shown it, and coldGain the weight of each of those.
	initialWarmUpSlowdown = 1.6
	warmUpSlowdownGain    = 0.1
	// firstVain is which part of the requests at sound back ends is taken to be sent again in
	// vain until it is seen, and counts as much as firstAsked requests.
	priorRetransmitShare = 0.03
	priorRequests        = 10
	// vainMargin is by how many standard deviations that part may be higher than was seen: of 127
	// requests 3 were sent again where 6 were to be expected, and four callers that lost packets by
	// chance then ended flows at a sound back end (1 of 80 runs at 5% loss).
	retransmitMargin = 2
	// lossyPart is the part of requests sent again at sound back ends from which on a doubt is most
	// likely a lost packet: it is not told at once then, which costs a datagram to every balancer known,
	// and does not count beside another one. With 5% of the packets lost 2 of 60 runs broke FLOW else.
	lossyShare = 0.04
	// lossyOpenings is the same of opening packets that sound back ends answered only when the caller
	// had sent them again. Answers to these may be lost where nothing else is: a doubt
	// that counted would move copies to a second back end, which answers as well.
	// A single copied opening is enough where few flows have opened: with two at the least 4 of some 450 runs
	// broke such flows, 2 of 1,000 without.
	lossyOpeningShare = 0.1
	// longDecay is what of a count over half a minute is left after a second.
	longDecay = 0.97
)

// poolState is what is known of the back ends that announce one name together.
type poolState struct {
	// blank stands for the back ends of which nothing is observed; it is never written.
	blank *backendState
	// begun is when this balancer began to observe.
	startedAt time.Duration
	// turn counts the flows that were placed among them.
	rotation int
	// usual is the usual time of their answers when a flow was last placed, in seconds, 0 while
	// unknown.
	usual float64
	// coldPace is how many times longer answers took while back ends warmed up.
	warmUpSlowdown float64
	// rest is what keeps flows of split services away that other parts can take.
	rest cooldown
	// repeated tells how often requests were sent again in vain though their back end was well:
	// in the last seconds, which follows a change, and in the last half minute, which varies less.
	repeated, repeatedLong repetitions
	// openings tells how often opening packets were sent again in vain, in the last half minute.
	openingRetransmits repetitions
}

// poolOf returns the state of the back ends that announce the name.
func (s *Steerer) poolOf(discover string) *poolState {
	pool := s.pools[discover]
	if pool == nil {
		pool = &poolState{warmUpSlowdown: initialWarmUpSlowdown, startedAt: s.startedAt}
		s.pools[discover] = pool
	}
	return pool
}

// lossy tells whether packets may well be lost on the way to sound back ends.
func (p *poolState) lossy() bool {
	return p.repeatedLong.highest() >= lossyShare || p.losesAnswers()
}

// losesAnswers tells whether answers to opening packets are lost so often that a second one in a row
// is no wonder.
func (p *poolState) losesAnswers() bool { return p.openingRetransmits.highest() >= lossyOpeningShare }

// silentFlows returns how many flows must go unanswered before one of the back ends is suspected.
func (p *poolState) silentFlows() int {
	return max(silentFlows, byChance(silentByChance, p.openingRetransmits.highest()))
}

// young tells whether this balancer has seen so little that none of it lost is luck.
func (p *poolState) young(now time.Duration) bool { return now-p.startedAt < settleTime }

// byChance returns how many events in a row are less probable than a chance, where one has the probability each.
func byChance(maxProbability, each float64) int {
	if each >= 1 {
		return math.MaxInt
	}
	return int(math.Ceil(math.Log(maxProbability) / math.Log(each)))
}

// noteOpened counts a flow that has opened, and tells whether only after a copy of its opening packet.
func (p *poolState) noteOpened(copied bool) {
	p.openingRetransmits.asked++
	if copied {
		p.openingRetransmits.vain++
	}
}

// noteVain notes a request that was left unanswered for so long that the back ends may answer nobody.
func (p *poolState) noteVain(now, askedAt time.Duration) {
	if (now - askedAt).Seconds() >= overdueFactor*p.usual {
		p.rest.noteUnanswered(now, askedAt)
	}
}

// noteCold learns from an answer of a back end that warms up.
func (p *poolState) noteCold(latency time.Duration) {
	if p.usual > 0 {
		p.warmUpSlowdown += warmUpSlowdownGain * (min(max(latency.Seconds()/p.usual, 1), slowMost) - p.warmUpSlowdown)
	}
}

// noteAsked counts a request that was begun.
func (p *poolState) noteAsked() {
	p.repeated.asked++
	p.repeatedLong.asked++
}

// noteRepeated counts requests that callers sent again though their back end was well.
func (p *poolState) noteRepeated(count int) {
	p.repeated.vain += float64(count)
	p.repeatedLong.vain += float64(count)
}

// decay lets a second pass.
func (p *poolState) decay() {
	p.repeated.decay(recentDecay)
	p.repeatedLong.decay(longDecay)
	p.openingRetransmits.decay(longDecay)
}

// repetitions counts requests, and those that were sent again in vain, both decaying.
type repetitions struct {
	asked, vain float64
}

func (r *repetitions) decay(left float64) {
	r.asked *= left
	r.vain *= left
}

// share is the part of requests that is sent again in vain: firstVain until more is known.
func (r *repetitions) share() float64 {
	return (r.vain + priorRetransmitShare*priorRequests) / (r.asked + priorRequests)
}

// highest is the same, as high as it may well be by what was seen.
func (r *repetitions) highest() float64 {
	return r.share() + retransmitMargin*math.Sqrt(r.vain)/(r.asked+priorRequests)
}
