package steering

import (
	"slices"
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

// endFlows ends flows at lost back ends. Those whose callers await an answer end where requests may be
// repeated. Those that rest end where requests may run only once, and only once for each loss: their next
// request would go to a back end that answers nobody, and its caller may not repeat it.
func (s *Steerer) endFlows(now time.Duration, lost ...*backendState) {
	resting := lost[:0:0]
	for _, b := range lost {
		s.resetWaiting(b)
		if b.flows > 0 && now >= b.restingUntil && s.severalSay(now, b) {
			b.restingUntil = max(b.lostUntil, now+lostTime)
			resting = append(resting, b)
		}
	}
	if len(resting) == 0 {
		return
	}
	// All flows are looked at once for all of them: 0.4 ms of a whole core at 10,000 flows.
	s.resetAll(func(known *record) bool {
		return slices.Contains(resting, known.backend) && !known.waiting && now-known.lastSeen < restTime && !s.repeatable(known.key)
	})
}

// severalSay tells whether more than one other balancer's word stands behind a loss: callers here ask in vain,
// those of two others do, or the entry is gone. A single one may be cut off itself, and flows that rest would
// end at all balancers for it.
func (s *Steerer) severalSay(now time.Duration, b *backendState) bool {
	if b.freshStall(now) || s.view.Departed(b.id) {
		return true
	}
	tellers := 0
	for _, heard := range b.stalls {
		if heard.callers > 0 && now-heard.at <= stallLife {
			tellers++
		}
	}
	return tellers > 1
}

// resetWaiting ends the flows at a lost back end whose callers await an answer and may ask again.
func (s *Steerer) resetWaiting(b *backendState) {
	for _, known := range s.awaited.records {
		if known.backend == b && known.waiting && !known.closed && s.repeatable(known.key) {
			s.reset(known)
		}
	}
}

// noteEnded looks in a new view for back ends that have ended for certain, since another one started at
// the address. Every flow there is ended: nobody will answer it, whatever its requests are.
func (s *Steerer) noteEnded() {
	var gone []settings.BackendID
	for id, b := range s.departed {
		switch {
		case !s.view.Knows(id):
			if b.flows == 0 {
				delete(s.departed, id)
				delete(s.backends, id)
			}
		case !b.ended && b.flows > 0:
			gone = append(gone, id)
		}
	}
	if len(gone) == 0 {
		return
	}
	slices.Sort(gone)
	replaced := s.view.Replaced(gone)
	for _, id := range replaced {
		b := s.backends[id]
		b.ended = true
		b.note(Ended, s.pulse-b.progress, 0)
	}
	if len(replaced) > 0 {
		s.resetAll(func(known *record) bool { return known.backend.ended })
	}
}

// resetAll ends the flows that have opened and not closed and that the condition holds for, in order
// of flow.
func (s *Steerer) resetAll(condition func(known *record) bool) {
	var ended []*record
	for _, known := range s.flows {
		if !known.opening && !known.closed && condition(known) {
			ended = append(ended, known)
		}
	}
	slices.SortFunc(ended, func(a, b *record) int { return compareKeys(a.key, b.key) })
	for _, known := range ended {
		s.reset(known)
	}
}

func compareKeys(a, b flow.Key) int {
	if order := a.Caller.Compare(b.Caller); order != 0 {
		return order
	}
	return a.Service.Compare(b.Service)
}

// reset ends one flow.
func (s *Steerer) reset(known *record) {
	s.resets = append(s.resets, Reset{known.key, known.acknowledged, known.backend.id})
	s.forget(known)
}
