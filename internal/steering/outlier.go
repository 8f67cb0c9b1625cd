package steering

import (
	"math"
	"time"
)

const (
	// failingShare is the assumed share of failures among the answers of a failing back end.
	// minFailureRate is the prior share of answers of healthy back ends that look like failures,
	// weighted as priorAnswers answers.
	failingShare   = 0.75
	minFailureRate = 0.001
	priorAnswers   = 200
	// minEvidence is the evidence from which on an answer that looks like a failure counts. Where
	// more than 0.4% of the answers look so, that takes two or more through one balancer. It is low
	// since a balancer in a large zone sees few answers per back end: two suspicious ones must
	// not raise the baseline so far that a third is ignored.
	minEvidence = 0.8
	// A back end is ejected at ejectFailures, the decayed number of failures through all balancers
	// (two within two seconds), and restored below restoreFailures: 7 s after two failures, 11 s
	// after ten. Below negligibleFailures it may
	// again have less load than the others.
	ejectFailures      = 1.5
	restoreFailures    = 0.2
	negligibleFailures = 0.04
	// maxEjectedShare is the share of ejected candidates above which ejection is ignored: the
	// service itself is failing, or the others could not take the load.
	maxEjectedShare = 0.5
	// maxReportedFailures bounds the failures accepted from reports, so that a wrong report decays
	// within 16 s.
	maxReportedFailures = 64
	// maxEvidence bounds the evidence that a back end fails, so that normal answers soon outweigh
	// it.
	maxEvidence = 1.5
)

// evidenceUnit is the log-likelihood ratio of one answer that looks like a failure, at an address
// with minFailureRate of these. Evidence is measured in this unit. A healthy back end with r
// answers per second, of which a share p looks like failures, is ejected by mistake at most about 2
// (r p)^2 times per second: at 8 answers once in two hours for a share of 0.1%, once in eight minutes
// for 0.4%.
var evidenceUnit = math.Log(failingShare / minFailureRate)

// normalEvidence is the evidence of a normal answer against a failing back end.
var normalEvidence = -math.Log(1-failingShare) / evidenceUnit

// classifyAnswer evaluates the answer to a flow's last request, once the next request or the end of
// the flow shows that it is complete.
func (s *Steerer) classifyAnswer(now time.Duration, rec *record) {
	if s.config.Mechanisms.NoOutliers || rec.member.WarmUpUntil > now {
		return
	}
	evidence := s.baselineOf(s.baselineKeyOf(rec)).add(rec.acknowledged-rec.responseStart, rec.responseLatency)
	rec.responseLatency = 0
	b := rec.backend
	b.failureEvidence = min(max(b.failureEvidence+evidence, 0), maxEvidence)
	if evidence > 0 && b.failureEvidence >= minEvidence {
		b.failures++
		s.requestUrgentReport(now)
	}
}

// applyEjection raises the load of ejected back ends, which are idle and would otherwise attract
// all new flows: to at least the mean load plus, per failure, the mean load or requestFailureCost
// requests, whichever is more. A restored back end has at least the mean load for a while, so that
// its first flows show whether it still fails.
func (s *Steerer) applyEjection() {
	ejected := 0
	for i := range s.candidates {
		if c := &s.candidates[i]; c.state.updateEjected(c.failures) {
			ejected++
		}
	}
	if float64(ejected) > maxEjectedShare*float64(len(s.candidates)) {
		return
	}
	mean := meanLoads(s.candidates)
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.failures < negligibleFailures {
			continue
		}
		c.load, c.expectedLoad, c.balanceLoad = max(c.load, mean.load), max(c.expectedLoad, mean.expectedLoad), max(c.balanceLoad, mean.balanceLoad)
		if !c.state.ejected {
			continue
		}
		minLoad := requestFailureCost / float64(max(c.member.Slots, 1))
		c.load += c.failures * max(mean.load, minLoad)
		c.expectedLoad += c.failures * max(mean.expectedLoad, minLoad)
		c.balanceLoad += c.failures * max(mean.balanceLoad, minLoad/recentWindow)
	}
}

// updateEjected ejects or restores a back end by its number of failures, and reports whether it is
// ejected.
func (b *backendState) updateEjected(failures float64) bool {
	ejected := failures >= ejectFailures || b.ejected && failures >= restoreFailures
	if ejected == b.ejected {
		return ejected
	}
	b.ejected = ejected
	observation := Restored
	if ejected {
		observation = Ejected
	}
	*b.events = append(*b.events, BackendEvent{Observation: observation, Backend: b.id, Failures: failures})
	return ejected
}

// meanLoads returns the mean loads as a candidate.
func meanLoads(candidates []candidate) candidate {
	var mean candidate
	for i := range candidates {
		c := &candidates[i]
		mean.load += c.load
		mean.expectedLoad += c.expectedLoad
		mean.balanceLoad += c.balanceLoad
	}
	n := float64(max(len(candidates), 1))
	mean.load, mean.expectedLoad, mean.balanceLoad = mean.load/n, mean.expectedLoad/n, mean.balanceLoad/n
	return mean
}
