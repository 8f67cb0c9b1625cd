package steering

import (
	"slices"
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

// endFlows ends flows at a lost back end: those whose callers await an answer and may ask again, and
// once a loss those that rest and whose requests may run once alone. Their next request would be sent
// to a back end that answers nobody, and whoever sends it on an open flow may not repeat it.
func (s *Steerer) endFlows(now time.Duration, b *backendState) {
	s.resetWaiting(b)
	if now < b.restingUntil {
		return
	}
	b.restingUntil = max(b.lostUntil, now+lostTime)
	s.resetAll(func(known *record) bool {
		return known.backend == b && !known.waiting && now-known.lastSeen < restTime && !s.repeatable(known.key)
	})
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
	for id, b := range s.backends {
		switch departed := s.view.Departed(id); {
		case !departed:
			b.ended = false
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
