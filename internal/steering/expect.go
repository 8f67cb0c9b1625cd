package steering

import "math"

const (
	// recentWindow is the number of seconds that the decaying count of recent requests covers, on
	// average over a second: 1/(1-recentDecay) just before it decays, 1 less after.
	recentWindow = 1/(1-recentDecay) - 0.5
	// maxUtilization is the utilization up to which the queueing formula is used. Above, the wait
	// grows linearly with the slope at that point.
	maxUtilization = 0.95
	// negligibleWait is the wait, in typical latencies, up to which back ends are chosen for even
	// loads, and above which for short waits. It corresponds to half of the slots in use.
	negligibleWait = 0.25
	// idleUtilization is the utilization up to which no wait is expected, even with one slot.
	idleUtilization = 0.2
)

// estimateTimes estimates the time of a request at each candidate, in typical latencies: the
// processing time and the wait for a free slot. typical is the typical latency in seconds, 0 while
// unknown.
func (s *Steerer) estimateTimes(typical float64) {
	for i := range s.candidates {
		c := &s.candidates[i]
		utilization := c.expectedLoad / recentWindow * typical * c.slowdown
		c.expectedTime = c.slowdown
		if utilization > idleUtilization {
			c.expectedTime *= 1 + queueWait(utilization, max(c.member.Slots, 1))
		}
	}
}

// preferredTo reports whether a new flow should go to this back end rather than to the other one:
// the one with less load if the wait is negligible at both, else the one with the shorter time.
// While the typical latency is unknown, loads are multiplied by the slowdown.
func (c *candidate) preferredTo(other *candidate, typical float64) bool {
	switch {
	case typical == 0:
		return c.less(other, c.load*c.slowdown, other.load*other.slowdown)
	case c.expectedTime <= 1+negligibleWait && other.expectedTime <= 1+negligibleWait:
		return c.less(other, c.balanceLoad, other.balanceLoad)
	}
	return c.less(other, c.expectedTime, other.expectedTime)
}

// less compares two values; on a tie the higher score by the flow's hash wins.
func (c *candidate) less(other *candidate, value, otherValue float64) bool {
	return value < otherValue || value == otherValue && c.hashScore > other.hashScore
}

// queueWait returns the mean wait for a free slot, in units of one request's time, at the given
// utilization of the slots: Sakasegawa's approximation for a queue with several servers.
func queueWait(utilization float64, slots int) float64 {
	n := float64(slots)
	power := math.Sqrt(2*(n+1)) - 1
	capped := min(utilization, maxUtilization)
	wait := math.Pow(capped, power) / (n * (1 - capped))
	if utilization > maxUtilization {
		wait += (utilization - maxUtilization) * wait * (power/maxUtilization + 1/(1-maxUtilization))
	}
	return wait
}
