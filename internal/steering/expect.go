package steering

import "math"

const (
	// recentSpan is how many seconds of requests the decaying count of recent ones stands
	// for, on the mean over a second: 1/(1-recentDecay) just before it decays, 1 less after.
	recentSpan = 1/(1-recentDecay) - 0.5
	// mostUse is the use up to which waiting is worked out by the formula of a queue; beyond,
	// it grows as steeply as there.
	mostUse = 0.95
	// hardly is the wait, in usual times, that does not matter yet: half of the slots are in
	// use. Below it back ends are chosen for even loads, above it for short waits.
	hardly = 0.25
	// idleUse is the use up to which nobody waits, also with one slot.
	idleUse = 0.2
)

// expectTimes works out how long a request is expected to take at each candidate, in usual
// times: its work there, and the wait until a slot is free. usual is the usual time of an
// answer in seconds; while it is 0, nothing is known.
func (s *Steerer) expectTimes(usual float64) {
	for i := range s.candidates {
		c := &s.candidates[i]
		use := c.soon / recentSpan * usual * c.pace
		c.time = c.pace
		if use > idleUse {
			c.time *= 1 + waiting(use, max(c.member.Slots, 1))
		}
	}
}

// before tells whether a new flow should rather go to this back end than to another one: to
// the one with less load if a request hardly waits at either, else to the one where it takes
// less time. While nothing is known of the time of answers, the pace multiplies the load.
func (c *candidate) before(other *candidate, usual float64) bool {
	switch {
	case usual == 0:
		return c.less(other, c.load*c.pace, other.load*other.pace)
	case c.time <= 1+hardly && other.time <= 1+hardly:
		return c.less(other, c.even, other.even)
	}
	return c.less(other, c.time, other.time)
}

// less compares by a figure, and by the flow's hash where it is equal.
func (c *candidate) less(other *candidate, mine, others float64) bool {
	return mine < others || mine == others && c.score > other.score
}

// waiting returns the mean wait for a free slot, in times of one request, where a part use of
// the slots is in use: Sakasegawa's approximation for a queue with several servers.
func waiting(use float64, slots int) float64 {
	n := float64(slots)
	power := math.Sqrt(2*(n+1)) - 1
	within := min(use, mostUse)
	wait := math.Pow(within, power) / (n * (1 - within))
	if use > mostUse {
		wait += (use - mostUse) * wait * (power/mostUse + 1/(1-mostUse))
	}
	return wait
}
