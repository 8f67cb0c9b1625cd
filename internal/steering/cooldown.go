package steering

import "time"

const (
	// cooldownThreshold is how many requests in a row all back ends of a part together must leave
	// unanswered before its flows go to other parts. If a third of the back ends fails, 2 in 5
	// requests fail, and 3 in a row are rare.
	cooldownThreshold = 3
	// minCooldown is the length of the first cooldown; it doubles each time up to maxCooldown.
	minCooldown = 500 * time.Millisecond
	maxCooldown = 8 * time.Second
	// probeTimeout is how long the one flow that probes a part after a cooldown has for an answer:
	// the time to open a flow plus answerPatience.
	probeTimeout = 700 * time.Millisecond
	// overdueFactor is how many typical response times a request must have waited to count: where
	// responses take as long as answerPatience, none in that time is normal.
	overdueFactor = 4
)

// cooldown keeps new flows away from a part whose back ends accept flows but answer no requests.
// For single back ends too few callers would notice it where a part has dozens.
type cooldown struct {
	// lastAnswer is when a back end of the part last answered, and unanswered counts the later
	// requests that were not.
	lastAnswer time.Duration
	unanswered int
	duration   time.Duration
	until      time.Duration
	// probing is set while a flow probes the part.
	probing bool
}

// noteUnanswered counts a request sent at askedAt that stayed unanswered.
func (c *cooldown) noteUnanswered(now, askedAt time.Duration) {
	if c.lastAnswer > 0 && askedAt <= c.lastAnswer {
		// Others were answered meanwhile: the part is slow but responds.
		return
	}
	c.unanswered++
	if c.unanswered < cooldownThreshold || now < c.until && !c.probing {
		// A request that was sent before the cooldown began is no new evidence.
		return
	}
	c.probing = false
	c.duration = min(max(minCooldown, 2*c.duration), maxCooldown)
	c.until = now + c.duration
}

// noteAnswer resets the cooldown after a response.
func (c *cooldown) noteAnswer(now time.Duration) { *c = cooldown{lastAnswer: now} }

// blocks reports whether the part is in cooldown. Once a cooldown is over a single flow probes the
// part.
func (c *cooldown) blocks(now time.Duration) bool {
	if now < c.until {
		return true
	}
	if c.duration > 0 {
		c.until, c.probing = now+probeTimeout, true
	}
	return false
}
