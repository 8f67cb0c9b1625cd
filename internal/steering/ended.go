package steering

import (
	"slices"
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

// resetFlowsAt resets flows at down back ends: those with a pending request where it may be
// repeated, and, once per down period, idle ones where requests must not be repeated, since the
// caller of the next one might not retry it.
func (s *Steerer) resetFlowsAt(now time.Duration, down ...*backendState) {
	withIdle := down[:0:0]
	for _, b := range down {
		s.resetPending(b)
		if b.flows > 0 && now >= b.idleResetUntil && s.isDownConfirmed(now, b) {
			b.idleResetUntil = max(b.downUntil, now+downPeriod)
			withIdle = append(withIdle, b)
		}
	}
	if len(withIdle) == 0 {
		return
	}
	// One pass over the flows for all back ends.
	s.resetMatching(func(rec *record) bool {
		return slices.Contains(withIdle, rec.backend) && !rec.requestPending && now-rec.lastSeen < idleTimeout && !s.repeatable(rec.key)
	})
}

// isDownConfirmed reports whether more than one balancer's report supports the down state: callers
// here or at two other balancers retransmit without a response, or the entry was removed. A single
// reporter may be isolated itself, and would cause the reset of idle flows at all balancers.
func (s *Steerer) isDownConfirmed(now time.Duration, b *backendState) bool {
	if b.recentlyUnanswered(now) || s.view.IsRemoved(b.id) {
		return true
	}
	reporters := 0
	for _, report := range b.reports {
		if report.callers > 0 && now-report.receivedAt <= reportLifetime {
			reporters++
		}
	}
	return reporters > 1
}

// resetPending resets flows with a pending request that may be repeated.
func (s *Steerer) resetPending(b *backendState) {
	for _, rec := range s.pending.records {
		if rec.backend == b && rec.requestPending && !rec.closed && s.repeatable(rec.key) {
			s.reset(rec)
		}
	}
}

// findReplacements looks in a new view for entries of other back ends at the addresses of removed ones.
func (s *Steerer) findReplacements() {
	var removed []settings.BackendID
	for id, b := range s.removed {
		switch {
		case !s.view.Contains(id):
			if b.flows == 0 {
				delete(s.removed, id)
				delete(s.backends, id)
			}
		case !b.ended && b.flows > 0:
			removed = append(removed, id)
		}
	}
	if len(removed) == 0 {
		return
	}
	replacements := s.view.Replacements(removed)
	for _, id := range removed {
		s.backends[id].replacements = replacements[id]
	}
}

// resetReplaced resets all flows at removed back ends that have ended, since another one answers at the
// address, whether or not requests may be repeated.
func (s *Steerer) resetReplaced() {
	var replaced []settings.BackendID
	for id, b := range s.removed {
		if !b.ended && b.flows > 0 && slices.ContainsFunc(b.replacements, s.hasAnswered) {
			replaced = append(replaced, id)
		}
	}
	if len(replaced) == 0 {
		return
	}
	slices.Sort(replaced)
	for _, id := range replaced {
		b := s.backends[id]
		b.ended = true
		b.recordEvent(Ended, s.pulse-b.lastResponse, 0)
	}
	s.resetMatching(func(rec *record) bool { return rec.backend.ended })
}

// hasAnswered reports whether the back end has answered callers, here or at another balancer. A server drops
// packets for another identifier, so an answer proves that the back end runs at its address.
func (s *Steerer) hasAnswered(id settings.BackendID) bool {
	b := s.backends[id]
	return b != nil && (b.lastResponse > 0 || b.others.Answers > 0)
}

// resetMatching resets the open flows for which matches returns true, in order of flow.
func (s *Steerer) resetMatching(matches func(rec *record) bool) {
	var matching []*record
	for _, rec := range s.flows {
		if !rec.opening && !rec.closed && matches(rec) {
			matching = append(matching, rec)
		}
	}
	slices.SortFunc(matching, func(a, b *record) int { return compareKeys(a.key, b.key) })
	for _, rec := range matching {
		s.reset(rec)
	}
}

func compareKeys(a, b flow.Key) int {
	if order := a.Caller.Compare(b.Caller); order != 0 {
		return order
	}
	return a.Service.Compare(b.Service)
}

func (s *Steerer) reset(rec *record) {
	s.resets = append(s.resets, Reset{rec.key, rec.acknowledged, rec.backend.id})
	s.removeRecord(rec)
}
