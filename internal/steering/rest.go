package steering

import "time"

const (
	// restFrom is how many requests in a row all back ends of a part together must leave unanswered
	// before its flows go to other parts: if a third of them fails 2 in 5 requests, 3 in a row come
	// once in 400, and cost a rest of half a second.
	cooldownThreshold = 3
	// firstRest is how long a part rests at first; it doubles each time up to longestRest.
	minCooldown = 500 * time.Millisecond
	maxCooldown = 8 * time.Second
	// restTrial is how long the one flow that tries a part after its rest has for an answer: what a caller
	// needs to open the flow, and answerPatience.
	probeTimeout = 700 * time.Millisecond
	// overdue is how many times the usual time of an answer a request must have waited to count: where work
	// takes as long as answerPatience, no answer in that time is nothing unusual.
	overdueFactor = 4
)

// rest is whether a part whose back ends open flows and answer none of their requests rests. Each back end
// alone would need as many callers to show it, which is too many where a part has dozens.
type cooldown struct {
	// answered is when a back end of the part last answered, and vain counts the requests asked after it
	// that were left unanswered.
	lastAnswer time.Duration
	unanswered int
	duration   time.Duration
	until      time.Duration
	// trial is set while a flow tries the part.
	probing bool
}

// noteVain notes that a back end left a request unanswered that was asked at askedAt.
func (r *cooldown) noteUnanswered(now, askedAt time.Duration) {
	if r.lastAnswer > 0 && askedAt <= r.lastAnswer {
		// Others were answered meanwhile: the part is slow, not mute.
		return
	}
	r.unanswered++
	if r.unanswered < cooldownThreshold || now < r.until && !r.probing {
		// One that was asked before the rest began is no news.
		return
	}
	r.probing = false
	r.duration = min(max(minCooldown, 2*r.duration), maxCooldown)
	r.until = now + r.duration
}

// noteAnswer notes that one answered.
func (r *cooldown) noteAnswer(now time.Duration) { *r = cooldown{lastAnswer: now} }

// keeps tells whether the part rests. When a rest is over a single flow tries it.
func (r *cooldown) blocks(now time.Duration) bool {
	if now < r.until {
		return true
	}
	if r.duration > 0 {
		r.until, r.probing = now+probeTimeout, true
	}
	return false
}
