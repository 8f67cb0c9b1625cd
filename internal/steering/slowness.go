package steering

import (
	"slices"
	"time"
)

const (
	// knownAnswers is how many answers of the last seconds, through all balancers, make a mean
	// time that counts.
	knownAnswers = 5
	// slowFrom is how many times the usual time of an answer a back end may take before it
	// counts as slow, slowMost the most that its slowness counts.
	slowFrom = 1.6
	slowMost = 8
	// ownAnswers is how many answers through this balancer alone make a mean that counts before
	// that of all: it follows a change at once. ownGain is the weight of each in it, and ownLife
	// how long it counts without another one.
	ownAnswers = 5
	ownGain    = 0.2
	ownLife    = 3 * time.Second
	// trialAfter is how long new flows avoid a slow back end of which too few answers are seen,
	// before one of them finds out whether it still is.
	trialAfter = 3 * time.Second
)

// answers are those of a back end through this balancer. The zero value is none.
type answers struct {
	// count and time are how many came in the last seconds and the sum of their times.
	count, time float64
	// mean is that of the newest ones, in seconds, of which there were newest, up to ownAnswers.
	mean   float64
	newest int
	last   time.Duration
}

// add counts an answer.
func (a *answers) add(now, latency time.Duration) {
	a.count++
	a.time += latency.Seconds()
	a.last = now
	a.newest = min(a.newest+1, ownAnswers)
	if a.newest == 1 {
		a.mean = latency.Seconds()
	}
	a.mean += ownGain * (latency.Seconds() - a.mean)
}

// decay lets a second pass.
func (a *answers) decay(now time.Duration) {
	a.count *= recentDecay
	a.time *= recentDecay
	if now-a.last > ownLife {
		a.mean, a.newest = 0, 0
	}
}

// meanAnswer returns the mean time of an answer of the back end in the last seconds, in seconds,
// 0 while it is not known: of those through this balancer if there are enough, else through all.
func (b *backendState) meanAnswer() float64 {
	if b.answers.newest >= ownAnswers {
		return b.answers.mean
	}
	count := b.answers.count + b.others.Answers
	if count < knownAnswers {
		return 0
	}
	return (b.answers.time + b.others.Time) / count
}

// usualAnswer is the lower median of the candidates' mean times of an answer, 0 while unknown.
func (s *Steerer) usualAnswer() float64 {
	s.means = s.means[:0]
	for i := range s.candidates {
		if mean := s.candidates[i].state.meanAnswer(); mean > 0 {
			s.means = append(s.means, mean)
		}
	}
	if len(s.means) == 0 {
		return 0
	}
	slices.Sort(s.means)
	return s.means[(len(s.means)-1)/2]
}

// weighSlowness finds the back ends that take much longer to answer than is usual in the
// group: the same work there is more. New flows avoid them, so that few answers show whether
// they still are; one flow finds out.
func (s *Steerer) weighSlowness(now time.Duration, usual float64) {
	if usual == 0 || s.config.Mechanisms.NoPace {
		return
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		mean := c.state.meanAnswer()
		switch {
		case mean > 0:
			c.state.noteSlowness(mean / usual)
		case c.state.slowness > 1 && !c.state.trial && now-c.state.placedAt > trialAfter:
			c.trial = true
			continue
		}
		c.pace = max(c.pace, c.state.slowness)
	}
}

// noteSlowness takes over how many times longer than usual answers take.
func (b *backendState) noteSlowness(slowness float64) {
	b.slowness = 1
	if slowness > slowFrom {
		b.slowness = min(slowness, slowMost)
	}
}
