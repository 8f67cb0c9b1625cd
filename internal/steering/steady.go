package steering

import (
	"math"
	"time"

	"gaugeyard/internal/directory"
)

const (
	// steadyDecay is the factor per second for the steady count of requests, which covers about 14
	// seconds. Large zones balance by it, since each balancer receives the loads of half of the others
	// about every 5 s, and long flows differ in their request rates: at 50 balancers a zone it lowers
	// the spread of requests by a tenth. In small zones it would send all flows to one back end
	// between two reports, which are frequent there; these use the recent count.
	steadyDecay = 0.93
	// steadyOffset is added to the seconds that the count of a new back end covers, so that it
	// catches up within about a second and not at once.
	steadyOffset = 1
	// settleTime is how long after its own start a balancer assumes that back ends have been
	// running for long.
	settleTime = 5 * time.Second
)

// steadyLoad returns the load of this balancer at the back end over the longer time, in requests.
func (b *backendState) steadyLoad() float64 {
	return b.steady + requestFailureCost*b.requestFailures
}

// steadyRate returns the load of all balancers at the back end in requests per second, over the
// longer time or since it was first known.
func (b *backendState) steadyRate() float64 {
	return (b.steadyLoad() + b.others.Steady) / (steadyOffset + b.steadySpan)
}

// initialSteadySpan returns the seconds that the steady count covers for a back end without
// observations: as long as it has been known here.
func (s *Steerer) initialSteadySpan(member *directory.Member) float64 {
	const maxSpan = 1 / (1 - steadyDecay)
	if member.StartSeenAt-s.startedAt < settleTime {
		return maxSpan
	}
	return maxSpan * (1 - math.Pow(steadyDecay, max(s.pulse-member.StartSeenAt, 0).Seconds()))
}
