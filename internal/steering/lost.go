package steering

import (
	"slices"
	"time"

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
	// maxStalled bounds the callers that are told apart at a back end.
	maxStalled = 8
	// livelyTime is how recent signs of life of other back ends must be to show that it is not
	// this balancer that is cut off.
	livelyTime = 500 * time.Millisecond
)

// Reset is an established flow that is ended because its back end is lost or has ended.
type Reset struct {
	Flow flow.Key
	// Acknowledged is the caller's position in what it received, from which on it takes a reset.
	Acknowledged uint32
	Backend      settings.BackendID
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
	if b.ended || now < b.lostUntil {
		return true
	}
	if len(b.stalled) == 0 && len(b.stalls) == 0 || now-b.progress < lostSilence {
		return false
	}
	b.stalls = slices.DeleteFunc(b.stalls, func(h heardStall) bool { return now-h.at > stallLife })
	// One whose entry has vanished is not tried again.
	if !b.freshStall(now) && !s.view.Departed(b.id) && !slices.ContainsFunc(b.stalls, func(h heardStall) bool { return h.callers > 0 }) {
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

// lostCallers returns how many callers must have sent data again in vain before one of the back
// ends counts as lost.
func (p *poolState) lostCallers() int {
	return max(lostCallers, byChance(lostByChance, max(p.repeated.share(), p.repeatedLong.highest())))
}

// cutOff tells whether as many back ends leave callers of this balancer without a sign of life just now
// as show one: then it may well be this balancer that does not reach them. What others told is no sign
// of that: in a large fleet those that others have lost soon outnumber the few that one balancer hears from.
func (s *Steerer) cutOff(now time.Duration) bool {
	silent, lively := 0, 0
	for _, b := range s.backends {
		switch {
		case b.freshStall(now):
			silent++
		case now-b.progress < livelyTime:
			lively++
		}
	}
	return silent >= lively
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
// elsewhere: its back end is lost, and it may run again there, or it has ended and nobody will
// answer. Whether it ran is not known.
func (s *Steerer) givesUp(now time.Duration, b *backendState, packet *Packet) bool {
	return packet.Kind == Established && packet.Payload > 0 && s.lost(now, b) && (b.ended || s.repeatable(packet.Flow))
}
