package steering

import (
	"slices"
	"time"
)

const (
	// minAnswers is the number of recent answers through all balancers from which on their mean
	// latency is used.
	minAnswers = 5
	// minSlowdown is the ratio to the typical latency above which a back end counts as slow, and
	// maxSlowdown the upper bound of that ratio.
	minSlowdown = 1.6
	maxSlowdown = 8
	// minLocalAnswers is the number of answers through this balancer from which on their moving
	// average, with weight localGain per answer, is preferred to the mean of all balancers, since
	// it follows changes at once. It expires localLifetime after the last answer.
	minLocalAnswers = 5
	localGain       = 0.2
	localLifetime   = 3 * time.Second
	// probeInterval is how long new flows avoid a slow back end without enough answers before one
	// of them probes it.
	probeInterval = 3 * time.Second
)

// answers holds the latencies of a back end's answers through this balancer. The zero value is
// empty.
type answers struct {
	// count and totalLatency are the decaying number of answers and the sum of their latencies in seconds.
	count, totalLatency float64
	// mean is the moving average of the newest latencies in seconds, and recentCount their number,
	// up to minLocalAnswers.
	mean        float64
	recentCount int
	last        time.Duration
}

func (a *answers) add(now, latency time.Duration) {
	a.count++
	a.totalLatency += latency.Seconds()
	a.last = now
	a.recentCount = min(a.recentCount+1, minLocalAnswers)
	if a.recentCount == 1 {
		a.mean = latency.Seconds()
	}
	a.mean += localGain * (latency.Seconds() - a.mean)
}

// decay ages the counts by one second.
func (a *answers) decay(now time.Duration) {
	a.count *= recentDecay
	a.totalLatency *= recentDecay
	if now-a.last > localLifetime {
		a.mean, a.recentCount = 0, 0
	}
}

// meanLatency returns the back end's recent mean latency in seconds, 0 while unknown: of the answers
// through this balancer if there are enough, else of all.
func (b *backendState) meanLatency() float64 {
	if b.answers.recentCount >= minLocalAnswers {
		return b.answers.mean
	}
	count := b.answers.count + b.others.Answers
	if count < minAnswers {
		return 0
	}
	return (b.answers.totalLatency + b.others.TotalLatency) / count
}

// typicalLatency returns the lower median of the candidates' mean latencies in seconds, 0 while
// unknown.
func (s *Steerer) typicalLatency() float64 {
	s.latencies = s.latencies[:0]
	for i := range s.candidates {
		if mean := s.candidates[i].state.meanLatency(); mean > 0 {
			s.latencies = append(s.latencies, mean)
		}
	}
	if len(s.latencies) == 0 {
		return 0
	}
	slices.Sort(s.latencies)
	return s.latencies[(len(s.latencies)-1)/2]
}

// applySlowdown raises the slowdown of candidates that answer clearly slower than typical. Too few
// flows then go there to show a recovery; a single flow probes it.
func (s *Steerer) applySlowdown(now time.Duration, typical float64) {
	if typical == 0 || s.config.Mechanisms.NoPace {
		return
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		mean := c.state.meanLatency()
		switch {
		case mean > 0:
			c.state.setSlowdown(mean / typical)
		case c.state.slowdown > 1 && !c.state.probing && now-c.state.placedAt > probeInterval:
			c.probe = true
			continue
		}
		c.slowdown = max(c.slowdown, c.state.slowdown)
	}
}

// setSlowdown sets the slowdown from the ratio of the latency to the typical one.
func (b *backendState) setSlowdown(ratio float64) {
	b.slowdown = 1
	if ratio > minSlowdown {
		b.slowdown = min(ratio, maxSlowdown)
	}
}
