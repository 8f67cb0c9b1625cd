package steering

import "time"

const (
	// restFrom is how many requests in a row all back ends of a part together must leave unanswered
	// before its flows go to other parts: if a third of them fails 2 in 5 requests, 3 in a row come
	// once in 400, and cost a rest of half a second.
	restFrom = 3
	// firstRest is how long a part rests at first; it doubles each time up to longestRest.
	firstRest   = 500 * time.Millisecond
	longestRest = 8 * time.Second
	// restTrial is how long the one flow that tries a part after its rest has for an answer: what a caller
	// needs to open the flow, and answerPatience.
	restTrial = 700 * time.Millisecond
	// overdue is how many times the usual time of an answer a request must have waited to count: where work
	// takes as long as answerPatience, no answer in that time is nothing unusual.
	overdue = 4
)

// rest is whether a part whose back ends open flows and answer none of their requests rests. Each back end
// alone would need as many callers to show it, which is too many where a part has dozens.
type rest struct {
	// answered is when a back end of the part last answered, and vain counts the requests asked after it
	// that were left unanswered.
	answered time.Duration
	vain     int
	length   time.Duration
	until    time.Duration
	// trial is set while a flow tries the part.
	trial bool
}

// noteVain notes that a back end left a request unanswered that was asked at askedAt.
func (r *rest) noteVain(now, askedAt time.Duration) {
	if r.answered > 0 && askedAt <= r.answered {
		// Others were answered meanwhile: the part is slow, not mute.
		return
	}
	r.vain++
	if r.vain < restFrom || now < r.until && !r.trial {
		// One that was asked before the rest began is no news.
		return
	}
	r.trial = false
	r.length = min(max(firstRest, 2*r.length), longestRest)
	r.until = now + r.length
}

// noteAnswer notes that one answered.
func (r *rest) noteAnswer(now time.Duration) { *r = rest{answered: now} }

// keeps tells whether the part rests. When a rest is over a single flow tries it.
func (r *rest) keeps(now time.Duration) bool {
	if now < r.until {
		return true
	}
	if r.length > 0 {
		r.until, r.trial = now+restTrial, true
	}
	return false
}
