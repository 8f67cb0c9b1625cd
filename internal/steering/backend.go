package steering

import (
	"net/netip"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

const (
	// silentFlows is how many flows at least must go unanswered, with no sign of life
	// between, before a back end is suspected: one may be a lost packet. silentByChance is how improbable it
	// must be that all of them are: copies of opening packets leave a suspected back end, and if it is sound both
	// answer. With less than 3 in 100 opening packets sent again two are enough, with 10 in 100 it takes three.
	silentFlows    = 2
	silentByChance = 1e-3
	// suspectTime is how long a suspected back end gets no new flows at first;
	// it doubles each time the suspicion is renewed, up to maxSuspectTime.
	suspectTime    = 2 * time.Second
	maxSuspectTime = 8 * time.Second
	// answerTime is how long a back end may take to answer an opening packet before
	// new flows avoid it; a sound one takes a few milliseconds.
	answerTime = 60 * time.Millisecond
	// doubtTime is how long new flows avoid it at first, unless it shows a sign of
	// life; it doubles up to maxSuspectTime.
	doubtTime = 500 * time.Millisecond
	// freshProgress is how recent a sign of life outweighs another balancer's doubt.
	freshProgress = 250 * time.Millisecond
	// recentDecay is what of the recent requests is left after a second.
	recentDecay = 0.7
	// faultCost is how many requests one that was left unanswered counts as.
	faultCost = 12
	// faultyFrom and faultyUntil are the decayed numbers of such requests from which a
	// back end is called faulty, and until which.
	faultyFrom  = 1.5
	faultyUntil = 0.25
)

// backendState is what this balancer observes of one back end through the flows
// that pass here.
type backendState struct {
	id settings.BackendID
	// born tells by which start of the back end all of this was earned, and deafUntil ends the time in
	// which what others say of it may still be of the start before.
	born      directory.Birth
	deafUntil time.Duration
	// events collects observations until the driver takes them.
	events *[]BackendEvent
	// flows are those at the back end that the caller has not closed.
	flows int
	// opening are those of flows that have not opened yet.
	opening int
	// active are the requests under way.
	active int
	// recent is the number of requests begun lately through this balancer, decaying;
	// others is what other balancers say of theirs.
	recent float64
	others Load
	// steady is the number over a longer time, and spanned for how many seconds of requests it
	// stands: fewer at a back end that is new.
	steady, spanned float64
	// fresh is the part of recent that began with a flow placed here.
	fresh float64
	// placed is the number of flows placed there by this balancer in the last moments, decaying
	// since placedAt.
	placed   float64
	placedAt time.Duration
	// faults counts the requests lately that the back end left unanswered, decaying.
	faults float64
	// failures counts those that it failed by the look of their answers, decaying, and failing is the
	// evidence through this balancer that it does.
	failures, failing float64
	// faulty is set while there are many faults, and out while there are so many failures through all
	// balancers that the back end is out of rotation.
	faulty, out bool
	// answers are those of the last seconds through this balancer, but for those that came while
	// the back end warmed up; pool learns from these.
	answers answers
	pool    *poolState
	// slowness is how many times longer than usual answers took when enough of them were last
	// seen, 1 unless that is much longer.
	slowness float64
	// trial is set while a flow finds out whether a slow back end still is.
	trial bool
	// progress is when the back end last showed a sign of life.
	progress time.Duration
	// silent counts flows unanswered since.
	silent int
	// askedAt is when the first opening packet went there that no sign of life has
	// followed, 0 for none.
	askedAt time.Duration
	// warmUpNext is when this balancer may next send a new flow there while it warms up.
	warmUpNext time.Duration
	// doubtUntil ends the present doubt; doubt is how long it is.
	doubtUntil, doubt time.Duration
	// heardDoubtUntil ends the doubt that another balancer spoke of.
	heardDoubtUntil time.Duration
	// stalled are the callers that sent data again in vain since the last sign of life, the last time at
	// stalledAt; stalls is what other balancers told of theirs, and lostUntil ends the time in which the
	// back end counts as lost.
	stalled   []netip.Addr
	stalledAt time.Duration
	stalls    []heardStall
	lostUntil time.Duration
	// ended is set once it is certain that the back end has ended, and restingUntil ends the time in
	// which the flows that rest there were ended for the present loss.
	ended        bool
	restingUntil time.Duration
	// suspectUntil ends the present suspicion; suspicion is how long it was.
	suspectUntil, suspicion time.Duration
}

// stateOf returns what is observed of a back end, from now on where nothing was.
func (s *Steerer) stateOf(member *directory.Member) *backendState {
	state := s.backends[member.ID]
	if state == nil {
		state = s.newState(member)
	}
	return state
}

// observed returns what is observed of a back end, to be read alone: of most in a large fleet nothing is, by
// any one balancer, and these share one state. A state for each of 10,000 took 5 MB and a few ms of each second.
func (s *Steerer) observed(member *directory.Member) *backendState {
	if state := s.backends[member.ID]; state != nil {
		return state
	}
	pool := s.poolOf(member.Group)
	if pool.blank == nil {
		pool.blank = &backendState{pool: pool, slowness: 1, events: &s.events}
	}
	return pool.blank
}

func (s *Steerer) newState(member *directory.Member) *backendState {
	state := &backendState{id: member.ID, born: member.Born, events: &s.events, pool: s.poolOf(member.Group), slowness: 1, spanned: s.firstSpan(member)}
	s.backends[member.ID] = state
	if member.Gone {
		s.departed[member.ID] = state
	}
	return state
}

// note adds an observation for the log.
func (b *backendState) note(observation Observation, silence, until time.Duration) {
	*b.events = append(*b.events, BackendEvent{Observation: observation, Backend: b.id, Silence: silence, Until: until})
}

// join counts a record that was not counted here.
func (b *backendState) join(known *record) {
	if !known.closed {
		b.flows++
	}
	if known.opening {
		b.opening++
	}
	if known.waiting {
		b.active++
	}
}

// leave takes a record out of the counts.
func (b *backendState) leave(known *record) {
	if !known.closed {
		b.flows--
	}
	if known.opening {
		b.opening--
	}
	if known.waiting {
		b.active--
	}
}

// finish notes that a request was answered after latency. While the back end warms up, that
// says nothing of the time after.
func (b *backendState) finish(now, latency time.Duration, cold bool) {
	b.active--
	b.pool.rest.noteAnswer(now)
	if cold {
		b.pool.noteCold(latency)
		return
	}
	if b.trial && b.pool.usual > 0 {
		b.noteSlowness(latency.Seconds() / b.pool.usual)
	}
	b.trial = false
	b.answers.add(now, latency)
}

// noteProgress clears what spoke against the back end.
func (b *backendState) noteProgress(now time.Duration) {
	if b.doubt > 0 || b.suspicion > 0 || b.lostUntil > 0 {
		b.note(Answers, now-b.progress, 0)
	}
	b.progress = now
	b.silent = 0
	b.pool.noteRepeated(len(b.stalled))
	b.stalled, b.lostUntil, b.restingUntil = b.stalled[:0], 0, 0
	b.suspectUntil, b.suspicion = 0, 0
	b.askedAt, b.doubtUntil, b.doubt, b.heardDoubtUntil = 0, 0, 0, 0
}

// asked notes that an opening packet was sent to the back end.
func (b *backendState) asked(now time.Duration) {
	if b.askedAt == 0 {
		b.askedAt = now
	}
}

// doubted tells whether new flows avoid the back end for now: it has not answered
// lately. Copies still go there, since one lost packet looks the same. When the
// doubt ends, a single flow may try it.
func (b *backendState) doubted(now time.Duration) bool {
	if now < b.doubtUntil || now < b.heardDoubtUntil {
		return true
	}
	if b.askedAt == 0 {
		return false
	}
	if now-b.askedAt < answerTime {
		return b.doubt > 0
	}
	silence := now - b.askedAt
	b.askedAt = 0
	b.doubt = min(max(doubtTime, 2*b.doubt), maxSuspectTime)
	b.doubtUntil = now + b.doubt
	b.note(Doubted, silence, b.doubtUntil)
	return true
}

// hearDoubt notes that another balancer doubts the back end, unless it has just
// shown a sign of life here.
func (b *backendState) hearDoubt(now time.Duration) {
	if b.deaf(now) {
		return
	}
	if b.progress == 0 || now-b.progress > freshProgress {
		b.heardDoubtUntil = now + doubtTime
	}
}

// noteSilence counts a flow that was asked for at askedAt and not answered.
func (b *backendState) noteSilence(now, askedAt time.Duration) {
	if b.progress >= askedAt {
		return
	}
	b.silent++
	wanted := b.pool.silentFlows()
	switch {
	case now < b.heardDoubtUntil && !b.pool.lossy():
		// Another balancer has not been answered either.
		b.silent++
	case b.pool.young(now):
		// One more: of 8 openings in the first second none was lost where a tenth is, and two that
		// followed each other were.
		wanted++
	}
	if b.silent < wanted {
		return
	}
	b.silent = 0
	b.suspicion = min(max(suspectTime, 2*b.suspicion), maxSuspectTime)
	b.suspectUntil = now + b.suspicion
	b.note(Suspected, now-askedAt, b.suspectUntil)
}

// suspected tells whether the back end gets no new flow for now, nor copies of opening packets: it
// left two flows without an answer, or it is lost.
func (b *backendState) suspected(now time.Duration) bool {
	return now < b.suspectUntil || now < b.lostUntil
}

// noteFault counts a request that was left unanswered since askedAt.
func (b *backendState) noteFault(now, askedAt time.Duration) {
	b.faults++
	b.pool.noteVain(now, askedAt)
	if b.faults >= faultyFrom && !b.faulty {
		b.faulty = true
		b.note(Faulty, now-askedAt, 0)
	}
}

// work is what this balancer gave to the back end lately, in requests. One that was
// left unanswered counts as many: whatever the reason, others would have answered it.
func (b *backendState) work() float64 {
	return b.recent + faultCost*b.faults
}

// leastTold is what an observation must still be worth to be kept.
const leastTold = 0.01

// idle tells whether nothing is left of what was observed: a new state would say the same.
func (b *backendState) idle(now time.Duration) bool {
	if b.flows > 0 || b.opening > 0 || b.active > 0 || now-max(b.progress, b.placedAt) < restTime {
		return false
	}
	if b.faulty || b.out || b.ended || b.trial || b.slowness > 1 || b.askedAt != 0 || len(b.stalled) > 0 {
		return false
	}
	if now < max(b.deafUntil, b.doubtUntil, b.heardDoubtUntil, b.suspectUntil, b.lostUntil, b.restingUntil, b.warmUpNext) {
		return false
	}
	told := b.recent + b.steady + b.fresh + b.faults + b.failures + b.failing + b.answers.count
	others := b.others.Requests + b.others.Steady + b.others.Failures + b.others.Answers
	return told < leastTold && others < leastTold
}

// decay lets a second pass.
func (b *backendState) decay(now time.Duration) {
	b.recent *= recentDecay
	b.steady *= steadyDecay
	b.spanned = b.spanned*steadyDecay + 1
	b.fresh *= recentDecay
	b.faults *= recentDecay
	b.failures *= recentDecay
	b.failing *= longDecay
	if b.faults < faultyUntil {
		b.faulty = false
	}
	b.answers.decay(now)
}
