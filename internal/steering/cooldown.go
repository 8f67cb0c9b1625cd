package steering

import "time"

const (
	// cooldownThreshold is how many requests in a row the back ends of a part must leave
	// unanswered. If a third of them fails two in five requests, three in a row come once in 400
	// requests, and cost a cooldown of half a second.
	cooldownThreshold = 3
	// minCooldown is the length of the first cooldown; it doubles each time up to maxCooldown.
	minCooldown = 500 * time.Millisecond
	maxCooldown = 8 * time.Second
	// probeTimeout is how long a probe has for an answer: the time to open a flow plus
	// answerTimeout.
	probeTimeout = 700 * time.Millisecond
	// overdueFactor is how many typical latencies an unanswered request must have waited to count,
	// since responses may normally take longer than answerTimeout.
	overdueFactor = 4
)

// cooldown keeps new flows away from a part whose back ends accept flows but answer no requests.
// In a large part each back end has too few callers to show that alone.
type cooldown struct {
	// lastAnswer is the time of the last response of the part, and unanswered counts later
	// requests without one.
	lastAnswer time.Duration
	unanswered int
	duration   time.Duration
	until      time.Duration
	// probing is set while a flow probes the part.
	probing bool
}

// recordUnanswered counts a request sent at sentAt that stayed unanswered.
func (c *cooldown) recordUnanswered(now, sentAt time.Duration) {
	if c.lastAnswer > 0 && sentAt <= c.lastAnswer {
		// Others were answered meanwhile: the part is slow but responds.
		return
	}
	c.unanswered++
	if c.unanswered < cooldownThreshold || now < c.until && !c.probing {
		// Requests from before the cooldown are no new evidence.
		return
	}
	c.probing = false
	c.duration = min(max(minCooldown, 2*c.duration), maxCooldown)
	c.until = now + c.duration
}

// recordAnswer resets the cooldown after a response.
func (c *cooldown) recordAnswer(now time.Duration) { *c = cooldown{lastAnswer: now} }

// blocks reports whether the part is in cooldown. After a cooldown a single flow probes the part.
func (c *cooldown) blocks(now time.Duration) bool {
	if now < c.until {
		return true
	}
	if c.duration > 0 {
		c.until, c.probing = now+probeTimeout, true
	}
	return false
}
