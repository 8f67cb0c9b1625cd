package steering

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// An answer looks like a failure if it is shorter than shortAnswerRatio times the lower
	// quartile of the lengths at its address, and its latency is below quickAnswerRatio times the
	// median. Neither criterion is specific enough by itself: 2% of the answers of healthy back ends
	// are that short, and 0.01% are also below half of the median. On long-lived flows failures are
	// mostly missed, since callers delay the acknowledgement of a single packet by about 40 ms.
	shortAnswerRatio = 0.5
	quickAnswerRatio = 1.0 / 3
	// maxBaselines bounds the number of baselines, at about 100 B each.
	maxBaselines = 10_000
	// minBaselineAnswers is the number of answers from which on a baseline is used. Within that many
	// a quantile moves by up to a factor of 2.
	minBaselineAnswers = 30
	// baselineDecay is the factor per second for the counts behind failureRate. They cover about
	// 100 s, so that a short outage does not become the baseline.
	baselineDecay = 0.99
)

// baselineKey identifies a baseline: the address of a service and, for a split service, the part. A
// part may run another version, whose answers must not look like failures.
type baselineKey struct {
	service netip.AddrPort
	part    string
}

func (s *Steerer) baselineKeyOf(rec *record) baselineKey {
	key := baselineKey{service: rec.key.Service}
	if s.view.Settings == nil {
		return key
	}
	if service := s.view.Settings.ServiceAt(key.service); service != nil && len(service.Groups) > 1 {
		key.part = rec.member.Group
	}
	return key
}

// answerBaseline describes the typical answers under one key.
type answerBaseline struct {
	// length is the lower quartile of the lengths in bytes, latency the median latency in seconds.
	length, latency quantile
	// classified counts the answers compared with the baseline, and failures those that look like
	// failures, both decaying.
	classified, failures float64
}

// add learns from an answer and returns its evidence that the back end fails: positive for an
// answer that looks like a failure, 0 while the baseline is unknown.
func (a *answerBaseline) add(length uint32, latency time.Duration) (evidence float64) {
	const lowerQuartile, median = 0.25, 0.5
	ready := a.length.count >= minBaselineAnswers
	failure := ready && float64(length) < shortAnswerRatio*a.length.value && latency.Seconds() < quickAnswerRatio*a.latency.value
	a.length.add(float64(length), lowerQuartile)
	a.latency.add(latency.Seconds(), median)
	if !ready {
		return 0
	}
	rate := a.failureRate()
	a.classified++
	if !failure {
		return -normalEvidence
	}
	a.failures++
	return max(math.Log(failingShare/rate)/evidenceUnit, 0)
}

// failureRate returns the typical share of answers that look like failures.
func (a *answerBaseline) failureRate() float64 {
	return (a.failures + minFailureRate*priorAnswers) / (a.classified + priorAnswers)
}

// decay ages the counts by one second.
func (a *answerBaseline) decay() {
	a.classified *= baselineDecay
	a.failures *= baselineDecay
}

// Baseline describes the typical answers at an address of a service, as one balancer sees them.
type Baseline struct {
	Service netip.AddrPort
	// Length is the lower quartile of the lengths in bytes, Latency the median latency.
	Length  uint32
	Latency time.Duration
	// FailureRate is the number of answers in 100,000 that look like failures.
	FailureRate uint32
}

const failureRateUnit = 1e-5

// Baselines returns the baselines of at most count addresses, those with the most answers first.
// Baselines for parts of split services are not included.
func (s *Steerer) Baselines(count int) []Baseline {
	var baselines []Baseline
	for key, baseline := range s.baselines {
		if key.part == "" && baseline.length.count >= minBaselineAnswers {
			baselines = append(baselines, Baseline{key.service, uint32(baseline.length.value), time.Duration(baseline.latency.value * float64(time.Second)), uint32(baseline.failureRate() / failureRateUnit)})
		}
	}
	slices.SortFunc(baselines, func(a, b Baseline) int {
		return cmp.Or(cmp.Compare(s.baselines[baselineKey{service: b.Service}].length.count, s.baselines[baselineKey{service: a.Service}].length.count), a.Service.Compare(b.Service))
	})
	return baselines[:min(count, len(baselines))]
}

// ReceiveBaselines adopts baselines that another balancer reported where this one has too few
// answers of its own.
func (s *Steerer) ReceiveBaselines(baselines []Baseline) {
	for _, reported := range baselines {
		if reported.Length == 0 || reported.Latency <= 0 || !reported.Service.IsValid() {
			continue
		}
		baseline := s.baselineOf(baselineKey{service: reported.Service})
		if baseline.length.count < minBaselineAnswers {
			baseline.length = quantile{float64(reported.Length), minBaselineAnswers}
			baseline.latency = quantile{reported.Latency.Seconds(), minBaselineAnswers}
			baseline.classified, baseline.failures = priorAnswers, priorAnswers*float64(reported.FailureRate)*failureRateUnit
		}
	}
}

// baselineOf returns the baseline under a key, and creates it if there is none. At maxBaselines all
// are dropped first.
func (s *Steerer) baselineOf(key baselineKey) *answerBaseline {
	baseline := s.baselines[key]
	if baseline == nil {
		if len(s.baselines) >= maxBaselines {
			clear(s.baselines)
		}
		baseline = &answerBaseline{}
		s.baselines[key] = baseline
	}
	return baseline
}
