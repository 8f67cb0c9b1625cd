package steering

import (
	"slices"
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

// resetFlowsAt resets flows at down back ends. Flows with a pending request are reset where
// requests may be repeated. Idle flows are reset where requests must not be repeated, once per down
// period: the next request would be sent to a back end that does not answer, and its caller may not
// retry it.
func (s *Steerer) endFlows(now time.Duration, lost ...*backendState) {
	resting := lost[:0:0]
	for _, b := range lost {
		s.resetPending(b)
		if b.flows > 0 && now >= b.idleResetUntil && s.isDownConfirmed(now, b) {
			b.idleResetUntil = max(b.lostUntil, now+downPeriod)
			resting = append(resting, b)
		}
	}
	if len(resting) == 0 {
		return
	}
	// One pass over the flows for all back ends.
	s.resetAll(func(known *record) bool {
		return slices.Contains(resting, known.backend) && !known.waiting && now-known.lastSeen < idleTimeout && !s.repeatable(known.key)
	})
}

// isDownConfirmed reports whether more than one balancer's report supports the down state: callers
// here or at two other balancers retransmit without a response, or the entry was removed. A single
// reporter may be isolated itself, and would cause the reset of idle flows at all balancers.
func (s *Steerer) isDownConfirmed(now time.Duration, b *backendState) bool {
	if b.recentlyUnanswered(now) || s.view.Departed(b.id) {
		return true
	}
	tellers := 0
	for _, heard := range b.reports {
		if heard.callers > 0 && now-heard.receivedAt <= reportLifetime {
			tellers++
		}
	}
	return tellers > 1
}

// resetPending resets the flows at a down back end with a pending request that may be repeated.
func (s *Steerer) resetPending(b *backendState) {
	for _, known := range s.awaited.records {
		if known.backend == b && known.waiting && !known.closed && s.repeatable(known.key) {
			s.reset(known)
		}
	}
}

// resetReplaced looks in a new view for back ends that have ended because another one started at
// the address. All flows there are reset, whether or not requests may be repeated.
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

// resetMatching resets the open flows that the condition holds for, in order of flow.
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

// reset resets one flow.
func (s *Steerer) reset(known *record) {
	s.resets = append(s.resets, Reset{known.key, known.acknowledged, known.backend.id})
	s.forget(known)
}
