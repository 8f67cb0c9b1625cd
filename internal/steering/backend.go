package steering

import (
	"net/netip"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

const (
	// minUnansweredFlows is the minimum number of unanswered flows in a row that make a back end
	// silent, and silentFalsePositiveRate the accepted probability that packet loss alone explains
	// them. A copy that leaves a healthy back end is answered twice. While callers retransmit less
	// than 3% of their opening packets two flows are enough, at 10% it takes three.
	minUnansweredFlows      = 2
	silentFalsePositiveRate = 1e-3
	// initialSilentPeriod is how long a silent back end gets no new flows. It doubles with each
	// renewal, up to maxAvoidPeriod.
	initialSilentPeriod = 2 * time.Second
	maxAvoidPeriod      = 8 * time.Second
	// openingAnswerTimeout is how long a back end may take to answer an opening packet before it
	// becomes suspect. A healthy one takes a few milliseconds.
	openingAnswerTimeout = 60 * time.Millisecond
	// initialSuspectPeriod is how long new flows avoid a suspect back end, unless it responds. It
	// doubles with each renewal, up to maxAvoidPeriod.
	initialSuspectPeriod = 500 * time.Millisecond
	// recentResponseWindow is how long a response outweighs reports that the back end is suspect.
	recentResponseWindow = 250 * time.Millisecond
	// recentDecay is the factor by which counts of recent events shrink per second.
	recentDecay = 0.7
	// requestFailureCost is the load, in requests, of an unanswered request.
	requestFailureCost = 12
	// The request failure state begins at requestFailuresHigh unanswered requests, decayed, and
	// ends below requestFailuresLow.
	requestFailuresHigh = 1.5
	requestFailuresLow  = 0.25
)

// backendState is what this balancer observes of one back end through the flows that pass it.
type backendState struct {
	id settings.BackendID
	// startTime is that of the back end's current start. Reports received before
	// ignoreReportsUntil may refer to an earlier start.
	startTime          directory.StartTime
	ignoreReportsUntil time.Duration
	// events are not yet taken by the driver.
	events *[]BackendEvent
	// flows counts those that the caller has not closed, and opening those that have not opened
	// yet.
	flows   int
	opening int
	// pending counts the pending requests.
	pending int
	// recent counts requests through this balancer, decaying; others is the load that other
	// balancers reported.
	recent float64
	others Load
	// steady counts requests over the last steadySpan seconds, decaying.
	steady, steadySpan float64
	// recentPlaced is the part of recent that began with a flow placed here.
	recentPlaced float64
	// placed counts flows placed here within about placedWindow, decayed as of placedAt.
	placed   float64
	placedAt time.Duration
	// requestFailures counts recent requests that the back end left unanswered, decaying.
	requestFailures float64
	// failures counts recent answers that look like failures, decaying. failureEvidence is the
	// evidence from answers through this balancer that the back end fails.
	failures, failureEvidence float64
	// failingRequests is set while there are many request failures. ejected is set while failures
	// through all balancers keep the back end out of rotation.
	failingRequests, ejected bool
	// answers are the recent answers through this balancer, except those during warm-up, from which
	// pool learns.
	answers answers
	pool    *poolState
	// slowdown is the ratio of the latency to the typical one as last measured, 1 unless it is
	// clearly higher.
	slowdown float64
	// probing is set while a flow probes whether a slow back end has recovered.
	probing bool
	// lastResponse is when the back end last responded, 0 if never.
	lastResponse time.Duration
	// unansweredFlows counts flows left unanswered since lastResponse.
	unansweredFlows int
	// unansweredSince is when the first opening packet without a response was sent, 0 for none.
	unansweredSince time.Duration
	// warmUpNext is the earliest time for another new flow from this balancer during warm-up.
	warmUpNext time.Duration
	// suspectUntil is the end of the current suspect period, and suspectPeriod its length.
	suspectUntil, suspectPeriod time.Duration
	// reportedSuspectUntil is the end of a suspect period that another balancer reported.
	reportedSuspectUntil time.Duration
	// unansweredCallers are the callers that retransmitted data without a response since
	// lastResponse, the last of them at lastUnansweredAt. reports are those of other balancers. The
	// back end is down until downUntil.
	unansweredCallers []netip.Addr
	lastUnansweredAt  time.Duration
	reports           []receivedReport
	downUntil         time.Duration
	// replacements are back ends whose entries name the address of this removed one. ended is set once one
	// of them answers. Until idleResetUntil, the idle flows have already been reset for the current down
	// period.
	replacements   []settings.BackendID
	ended          bool
	idleResetUntil time.Duration
	// silentUntil is the end of the current silent period, and silentPeriod its length.
	silentUntil, silentPeriod time.Duration
}

// stateOf returns the state of a back end, and creates it if there is none.
func (s *Steerer) stateOf(member *directory.Member) *backendState {
	state := s.backends[member.ID]
	if state == nil {
		state = s.newState(member)
	}
	return state
}

// observedState returns the state of a back end for reading only. Unobserved back ends share an
// empty state per pool, which saves memory in large fleets.
func (s *Steerer) observedState(member *directory.Member) *backendState {
	if state := s.backends[member.ID]; state != nil {
		return state
	}
	pool := s.poolOf(member.Group)
	if pool.unobserved == nil {
		pool.unobserved = &backendState{pool: pool, slowdown: 1, events: &s.events}
	}
	return pool.unobserved
}

func (s *Steerer) newState(member *directory.Member) *backendState {
	state := &backendState{id: member.ID, startTime: member.StartTime, events: &s.events, pool: s.poolOf(member.Group), slowdown: 1, steadySpan: s.initialSteadySpan(member)}
	s.backends[member.ID] = state
	if member.Removed {
		s.removed[member.ID] = state
	}
	return state
}

// recordEvent adds an observation for the log.
func (b *backendState) recordEvent(observation Observation, silence, until time.Duration) {
	*b.events = append(*b.events, BackendEvent{Observation: observation, Backend: b.id, Silence: silence, Until: until})
}

func (b *backendState) addRecord(rec *record) {
	if !rec.closed {
		b.flows++
	}
	if rec.opening {
		b.opening++
	}
	if rec.requestPending {
		b.pending++
	}
}

func (b *backendState) removeRecord(rec *record) {
	if !rec.closed {
		b.flows--
	}
	if rec.opening {
		b.opening--
	}
	if rec.requestPending {
		b.pending--
	}
}

// recordAnswer records the latency of an answered request. During warm-up it only counts towards
// the warm-up slowdown of the pool.
func (b *backendState) recordAnswer(now, latency time.Duration, warmingUp bool) {
	b.pending--
	b.pool.cooldown.recordAnswer(now)
	if warmingUp {
		b.pool.recordWarmUpLatency(latency)
		return
	}
	if b.probing && b.pool.typicalLatency > 0 {
		b.setSlowdown(latency.Seconds() / b.pool.typicalLatency)
	}
	b.probing = false
	b.answers.add(now, latency)
}

// recordResponse records that the back end responded, and clears its suspect, silent and down
// states.
func (b *backendState) recordResponse(now time.Duration) {
	if b.suspectPeriod > 0 || b.silentPeriod > 0 || b.downUntil > 0 {
		b.recordEvent(Responding, now-b.lastResponse, 0)
	}
	b.lastResponse = now
	b.unansweredFlows = 0
	b.pool.recordRetransmits(len(b.unansweredCallers))
	b.unansweredCallers, b.downUntil, b.idleResetUntil = b.unansweredCallers[:0], 0, 0
	b.silentUntil, b.silentPeriod = 0, 0
	b.unansweredSince, b.suspectUntil, b.suspectPeriod, b.reportedSuspectUntil = 0, 0, 0, 0
}

// recordOpening records that an opening packet was sent.
func (b *backendState) recordOpening(now time.Duration) {
	if b.unansweredSince == 0 {
		b.unansweredSince = now
	}
}

// checkSuspect reports whether new flows avoid the back end because it has not answered an opening
// packet in time, and starts a suspect period where it is due. Copies still go there, since a lost
// packet looks the same. After the period a single flow may try the back end.
func (b *backendState) checkSuspect(now time.Duration) bool {
	if now < b.suspectUntil || now < b.reportedSuspectUntil {
		return true
	}
	if b.unansweredSince == 0 {
		return false
	}
	if now-b.unansweredSince < openingAnswerTimeout {
		return b.suspectPeriod > 0
	}
	silence := now - b.unansweredSince
	b.unansweredSince = 0
	b.suspectPeriod = min(max(initialSuspectPeriod, 2*b.suspectPeriod), maxAvoidPeriod)
	b.suspectUntil = now + b.suspectPeriod
	b.recordEvent(Suspect, silence, b.suspectUntil)
	return true
}

// receiveSuspect records a report that the back end is suspect, unless it has responded here
// recently.
func (b *backendState) receiveSuspect(now time.Duration) {
	if b.ignoresReports(now) {
		return
	}
	if b.lastResponse == 0 || now-b.lastResponse > recentResponseWindow {
		b.reportedSuspectUntil = now + initialSuspectPeriod
	}
}

// recordUnansweredFlow counts a flow whose packet, sent at sentAt, was not answered.
func (b *backendState) recordUnansweredFlow(now, sentAt time.Duration) {
	if b.lastResponse >= sentAt {
		return
	}
	b.unansweredFlows++
	required := b.pool.minUnansweredFlows()
	switch {
	case now < b.reportedSuspectUntil && !b.pool.lossy():
		// The other balancer's report counts as one more unanswered flow.
		b.unansweredFlows++
	case b.pool.justStarted(now):
		// One more while this balancer has too few samples to estimate the packet loss.
		required++
	}
	if b.unansweredFlows < required {
		return
	}
	b.unansweredFlows = 0
	b.silentPeriod = min(max(initialSilentPeriod, 2*b.silentPeriod), maxAvoidPeriod)
	b.silentUntil = now + b.silentPeriod
	b.recordEvent(Silent, now-sentAt, b.silentUntil)
}

// isUnresponsive reports whether the back end gets neither new flows nor copies of opening packets,
// because it is silent or down.
func (b *backendState) isUnresponsive(now time.Duration) bool {
	return now < b.silentUntil || now < b.downUntil
}

// recordRequestFailure counts a request sent at sentAt that was left unanswered.
func (b *backendState) recordRequestFailure(now, sentAt time.Duration) {
	b.requestFailures++
	b.pool.recordUnanswered(now, sentAt)
	if b.requestFailures >= requestFailuresHigh && !b.failingRequests {
		b.failingRequests = true
		b.recordEvent(RequestFailures, now-sentAt, 0)
	}
}

// recentLoad returns the recent load from this balancer, in requests. An unanswered request counts as
// requestFailureCost, since another back end would have answered it.
func (b *backendState) recentLoad() float64 {
	return b.recent + requestFailureCost*b.requestFailures
}

// minObservation is the decayed value below which an observation is dropped.
const minObservation = 0.01

// idle reports whether the state holds no more than a new one.
func (b *backendState) idle(now time.Duration) bool {
	if b.flows > 0 || b.opening > 0 || b.pending > 0 || now-max(b.lastResponse, b.placedAt) < idleTimeout {
		return false
	}
	if b.failingRequests || b.ejected || b.ended || b.probing || b.slowdown > 1 || b.unansweredSince != 0 || len(b.unansweredCallers) > 0 {
		return false
	}
	if now < max(b.ignoreReportsUntil, b.suspectUntil, b.reportedSuspectUntil, b.silentUntil, b.downUntil, b.idleResetUntil, b.warmUpNext) {
		return false
	}
	own := b.recent + b.steady + b.recentPlaced + b.requestFailures + b.failures + b.failureEvidence + b.answers.count
	others := b.others.Requests + b.others.Steady + b.others.Failures + b.others.Answers
	return own < minObservation && others < minObservation
}

// decay ages the counts by one second.
func (b *backendState) decay(now time.Duration) {
	b.recent *= recentDecay
	b.steady *= steadyDecay
	b.steadySpan = b.steadySpan*steadyDecay + 1
	b.recentPlaced *= recentDecay
	b.requestFailures *= recentDecay
	b.failures *= recentDecay
	b.failureEvidence *= longDecay
	if b.requestFailures < requestFailuresLow {
		b.failingRequests = false
	}
	b.answers.decay(now)
}
