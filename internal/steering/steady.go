package steering

import (
	"math"
	"time"

	"gaugeyard/internal/directory"
)

const (
	// steadyDecay is what is left of the steady count of requests after a second, so that it stands
	// for 14 seconds. In a zone of many balancers each hears of half of the others about every
	// 5 seconds, and flows that stay for long differ in how often they ask; there loads are kept even
	// by this count. In small zones all hear of each other twice a second, and all would go to one
	// back end until they have. Spread of the requests of a zone's back ends (standard deviation over
	// mean, mean of the zones) at 50 balancers a zone: 0.160 for 0.180 by the recent count where
	// back ends live all day, 0.362 for 0.406 where they come and go.
	steadyDecay = 0.93
	// leastSteady is added to the time for which the count of a new back end stands, in seconds, so
	// that it catches up with the rate of the others within about a second and not at once.
	steadyOffset = 1
	// settleTime is how long after its own start a balancer takes the back ends that it meets for
	// old ones.
	settleTime = 5 * time.Second
)

// steadyWork is what this balancer gave to the back end over the longer time, in requests.
func (b *backendState) steadyWork() float64 {
	return b.steady + faultCost*b.faults
}

// steadyRate is how much work all balancers gave to the back end, in requests a second, over the
// longer time or since it can have had any.
func (b *backendState) steadyRate() float64 {
	return (b.steadyWork() + b.others.Steady) / (steadyOffset + b.spanned)
}

// firstSpan is for how many seconds of requests the steady count of a back end stands that nothing was observed
// of until now: as long as it is known here.
func (s *Steerer) firstSpan(member *directory.Member) float64 {
	const longest = 1 / (1 - steadyDecay)
	if member.Since-s.startedAt < settleTime {
		return longest
	}
	return longest * (1 - math.Pow(steadyDecay, max(s.pulse-member.Since, 0).Seconds()))
}
