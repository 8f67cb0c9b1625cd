package steering

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

const (
	// lostCallers is how many different callers at least must have sent data again in vain, over
	// all balancers and since anyone saw a sign of life, before a back end counts as lost. A sound
	// one acknowledges data at once, also where its queue is long, unless packets are lost.
	lostCallers = 4
	// lostByChance is how improbable it must be that all of them only lost packets, by how often
	// callers of sound back ends send data again: with less than 3 in 100 four are enough, with 10
	// in 100 it takes six.
	lostByChance = 1e-6
	// lostSilence is how long nobody may have seen a sign of life of it by then.
	lostSilence = 300 * time.Millisecond
	// lostTime is how long it counts as lost, unless it shows a sign of life. After that the
	// packets of flows that are left there try it again.
	lostTime = 2 * time.Second
	// stallLife is how long what another balancer told of a back end counts.
	stallLife = 700 * time.Millisecond
	// maxStalled bounds the callers that are told apart at a back end, and maxStalls the
	// balancers whose words on it are kept.
	maxStalled = 8
	maxStalls  = 32
	// alarmInterval is the shortest time between two alarms.
	alarmInterval = 100 * time.Millisecond
	// livelyTime is how recent signs of life of other back ends must be to show that it is not
	// this balancer that is cut off.
	livelyTime = 500 * time.Millisecond
)

// Stall is what one balancer knows of a back end that leaves callers without a sign of life.
type Stall struct {
	Backend settings.BackendID
	// Callers is how many different callers have sent data again in vain since the last sign of life
	// that this balancer saw, one of them just now; 0 where none has, and from one that contradicts others.
	Callers int
	// Silence is how long ago that sign of life was.
	Silence time.Duration
	// Lost is how much longer the balancer takes the back end for lost, 0 where it does not.
	Lost time.Duration
}

// Reset is an established flow that is ended because its back end is lost.
type Reset struct {
	Flow flow.Key
	// Acknowledged is the caller's position in what it received, from which on it takes a reset.
	Acknowledged uint32
	Backend      settings.BackendID
}

// heardStall is a Stall that another balancer told.
type heardStall struct {
	from    netip.AddrPort
	callers int
	// alive is when the other one last saw a sign of life, by the own clock, and at when it
	// was told.
	alive, at time.Duration
}

// noteStall notes that a caller has sent data again in vain.
func (s *Steerer) noteStall(now time.Duration, known *record) {
	b := known.backend
	if s.config.Mechanisms.NoResets {
		return
	}
	if b.progress >= known.askedAt {
		b.pool.noteRepeated(1)
		return
	}
	b.stalledAt = now
	if caller := known.key.Caller.Addr(); len(b.stalled) < maxStalled && !slices.Contains(b.stalled, caller) {
		b.stalled = append(b.stalled, caller)
	}
	s.raise(now)
}

// raise asks the driver to tell the others at once, not too often.
func (s *Steerer) raise(now time.Duration) {
	if now-s.raised >= alarmInterval {
		s.raised, s.alarm = now, true
	}
}

// TakeAlarm tells, once, that other balancers should hear of Stalls at once.
func (s *Steerer) TakeAlarm() bool {
	alarm := s.alarm
	s.alarm = false
	return alarm
}

// Stalls returns what this balancer knows of back ends that leave callers without a sign of
// life, here or at others, at most count: lost ones first, then those that leave the most callers.
func (s *Steerer) Stalls(now time.Duration, count int) []Stall {
	var stalls []Stall
	for id, b := range s.backends {
		known := Stall{Backend: id, Silence: now - b.progress, Lost: max(b.lostUntil-now, 0)}
		switch {
		case b.freshStall(now):
			// Callers of earlier are no news: others would renew what they know by them.
			known.Callers = len(b.stalled)
			stalls = append(stalls, known)
		case known.Lost > 0:
			stalls = append(stalls, known)
		case len(b.stalls) > 0 && now-b.progress < stallLife:
			stalls = append(stalls, known)
		}
	}
	slices.SortFunc(stalls, func(a, b Stall) int {
		return cmp.Or(cmp.Compare(min(b.Lost, 1), min(a.Lost, 1)), cmp.Compare(b.Callers, a.Callers), cmp.Compare(a.Backend, b.Backend))
	})
	return stalls[:min(count, len(stalls))]
}

// HearStalls takes over what another balancer told of back ends. If this one knows better, it
// raises an alarm in turn.
func (s *Steerer) HearStalls(now time.Duration, from netip.AddrPort, stalls []Stall) {
	if now-s.resumed < resumeTime || s.config.Mechanisms.NoResets {
		// It waited while the process stood still.
		return
	}
	for _, stall := range stalls {
		b := s.backends[stall.Backend]
		if b == nil {
			continue
		}
		b.hearStall(heardStall{from, stall.Callers, now - stall.Silence, now})
		b.hearLost(now, &stall)
		if (stall.Callers > 0 || stall.Lost > 0) && now-b.progress < stallLife {
			s.raise(now)
		}
		if s.lost(now, b) {
			s.resetWaiting(b)
		}
	}
}

func (b *backendState) hearStall(heard heardStall) {
	at := slices.IndexFunc(b.stalls, func(h heardStall) bool { return h.from == heard.from })
	switch {
	case at >= 0:
		b.stalls[at] = heard
	case len(b.stalls) < maxStalls:
		b.stalls = append(b.stalls, heard)
	}
}

// hearLost takes over that another balancer takes the back end for lost, for no longer than that one does:
// one that has just started would else need callers of its own to find out. A sign of life that another
// balancer saw since then ends it.
func (b *backendState) hearLost(now time.Duration, stall *Stall) {
	alive := now - stall.Silence
	switch {
	case stall.Lost > 0 && now-b.progress >= lostSilence:
		b.lostUntil = max(b.lostUntil, now+min(stall.Lost, lostTime))
	case now < b.lostUntil && alive > b.lostUntil-lostTime && stall.Silence < lostSilence:
		b.lostUntil, b.stalled = 0, b.stalled[:0]
	}
}

// freshStall tells whether a caller has sent data again in vain just now. Callers that did earlier count
// with it, but not by themselves: nothing may have gone to the back end since, and it may be well again.
// Without this a zone whose servers stood still for 5 s had flows reset there for as long as a run went
// on by balancers that let no packet through (14 of 20 runs with 14 balancers a zone).
func (b *backendState) freshStall(now time.Duration) bool {
	return len(b.stalled) > 0 && now-b.stalledAt < stallLife
}

// lost tells whether a back end does not answer anyone any more: several callers have sent
// data again in vain, here and at other balancers, and none of them saw a sign of life.
func (s *Steerer) lost(now time.Duration, b *backendState) bool {
	if now < b.lostUntil {
		return true
	}
	if len(b.stalled) == 0 && len(b.stalls) == 0 || now-b.progress < lostSilence {
		return false
	}
	b.stalls = slices.DeleteFunc(b.stalls, func(h heardStall) bool { return now-h.at > stallLife })
	if !b.freshStall(now) && !s.departed(b.id) && !slices.ContainsFunc(b.stalls, func(h heardStall) bool { return h.callers > 0 }) {
		return false
	}
	callers := len(b.stalled)
	for _, heard := range b.stalls {
		if now-heard.alive < lostSilence {
			return false
		}
		callers += heard.callers
	}
	if callers < b.pool.lostCallers() || s.cutOff(now) {
		return false
	}
	b.lostUntil = now + lostTime
	b.note(Lost, now-b.progress, b.lostUntil)
	s.raise(now)
	return true
}

// departed tells whether the entry of a back end has vanished: one that several callers asked in vain is
// not tried again then.
func (s *Steerer) departed(id settings.BackendID) bool {
	for _, member := range s.view.Tagged(directory.TagOf(id)) {
		if member.ID == id {
			return member.Gone
		}
	}
	return false
}

// lostCallers returns how many callers must have sent data again in vain before one of the back
// ends counts as lost.
func (p *poolState) lostCallers() int {
	vain := max(p.repeated.share(), p.repeatedLong.highest())
	if vain >= 1 {
		return math.MaxInt
	}
	return max(lostCallers, int(math.Ceil(math.Log(lostByChance)/math.Log(vain))))
}

// cutOff tells whether as many back ends are silent here as show signs of life: then it may
// well be this balancer that does not reach them.
func (s *Steerer) cutOff(now time.Duration) bool {
	silent, lively := 0, 0
	for _, b := range s.backends {
		switch {
		case len(b.stalled) > 0 || now < b.lostUntil:
			silent++
		case now-b.progress < livelyTime:
			lively++
		}
	}
	return silent >= lively
}

// resetWaiting ends the flows at a lost back end whose callers await an answer and may ask again.
func (s *Steerer) resetWaiting(b *backendState) {
	for _, known := range s.awaited.records {
		if known.backend != b || !known.waiting || known.closed || !s.repeatable(known.key) {
			continue
		}
		s.resets = append(s.resets, Reset{known.key, known.acknowledged, b.id})
		s.forget(known)
	}
}

// TakeResets returns the flows that were ended since the last call, mostly none.
func (s *Steerer) TakeResets() []Reset {
	if len(s.resets) == 0 {
		return nil
	}
	resets := s.resets
	s.resets = nil
	return resets
}

// repeatable tells whether the requests of a flow may run again.
func (s *Steerer) repeatable(key flow.Key) bool {
	if s.view.Settings == nil {
		return false
	}
	service := s.view.Settings.ServiceAt(key.Service)
	return service != nil && service.Repeatable
}

// givesUp tells whether a request on an established flow is refused, so that its caller asks
// elsewhere: its back end is lost, and it may run again there. Whether it ran is not known.
func (s *Steerer) givesUp(now time.Duration, b *backendState, packet *Packet) bool {
	return packet.Kind == Established && packet.Payload > 0 && s.lost(now, b) && s.repeatable(packet.Flow)
}
