package steering

import (
	"slices"
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

const (
	// minDownCallers is the minimum number of callers, over all balancers, that must have
	// retransmitted data without a response before a back end is down. A healthy one acknowledges
	// data at once, even with a long queue.
	minDownCallers = 4
	// downFalsePositiveRate is the accepted probability that packet loss alone explains these
	// retransmissions, given how often callers of healthy back ends retransmit. Below 3% four callers
	// are enough, at 10% it takes six.
	downFalsePositiveRate = 1e-6
	// minDownSilence is the minimum time without a response at any balancer before a back end is
	// down.
	minDownSilence = 300 * time.Millisecond
	// downPeriod is how long a back end is down, unless it responds. After that, packets of its
	// remaining flows are forwarded to it again.
	downPeriod = 2 * time.Second
	// maxUnansweredCallers bounds the callers that are stored per back end.
	maxUnansweredCallers = 8
	// responsiveWindow is how long a response of another back end shows that this balancer is not
	// isolated.
	responsiveWindow = 500 * time.Millisecond
)

// Reset is an established flow that is reset because its back end is down or has ended.
type Reset struct {
	Flow flow.Key
	// Acknowledged is the caller's position in the data it received; the caller accepts a reset
	// from there on.
	Acknowledged uint32
	Backend      settings.BackendID
}

// recordUnansweredCaller records that a caller has retransmitted data without a response.
func (s *Steerer) recordUnansweredCaller(now time.Duration, rec *record) {
	b := rec.backend
	if s.config.Mechanisms.NoResets {
		return
	}
	if b.lastResponse >= rec.sentAt {
		b.pool.recordRetransmits(1)
		return
	}
	b.lastUnansweredAt = now
	if caller := rec.key.Caller.Addr(); len(b.unansweredCallers) < maxUnansweredCallers && !slices.Contains(b.unansweredCallers, caller) {
		b.unansweredCallers = append(b.unansweredCallers, caller)
	}
	s.requestUrgentReport(now)
}

// recentlyUnanswered reports whether a caller has recently retransmitted data without a response.
// Older retransmissions alone do not count: nothing may have been sent to the back end since, and
// it may have recovered. A balancer that gets no packets through would otherwise keep resetting
// flows.
func (b *backendState) recentlyUnanswered(now time.Duration) bool {
	return len(b.unansweredCallers) > 0 && now-b.lastUnansweredAt < reportLifetime
}

// checkDown reports whether the back end is down, and marks it down once enough callers here and at
// other balancers have retransmitted data and no balancer has seen a response.
func (s *Steerer) checkDown(now time.Duration, b *backendState) bool {
	if b.ended || now < b.downUntil {
		return true
	}
	if len(b.unansweredCallers) == 0 && len(b.reports) == 0 || now-b.lastResponse < minDownSilence {
		return false
	}
	b.reports = slices.DeleteFunc(b.reports, func(r receivedReport) bool { return now-r.receivedAt > reportLifetime })
	// A back end whose entry was removed is not retried.
	if !b.recentlyUnanswered(now) && !s.view.IsRemoved(b.id) && !slices.ContainsFunc(b.reports, func(r receivedReport) bool { return r.callers > 0 }) {
		return false
	}
	callers := len(b.unansweredCallers)
	for _, report := range b.reports {
		if now-report.lastResponse < minDownSilence {
			return false
		}
		callers += report.callers
	}
	if callers < b.pool.minDownCallers() || s.likelyIsolated(now) {
		return false
	}
	b.downUntil = now + downPeriod
	b.recordEvent(Down, now-b.lastResponse, b.downUntil)
	s.requestUrgentReport(now)
	return true
}

// minDownCallers returns how many callers must have retransmitted data without a response before a
// back end of the pool is down, given the retransmission rate.
func (p *poolState) minDownCallers() int {
	return max(minDownCallers, minRunLength(downFalsePositiveRate, max(p.retransmits.share(), p.retransmitsLong.upperBound())))
}

// likelyIsolated reports whether at least as many back ends are unresponsive as responsive to this
// balancer's callers, so that the balancer itself may be cut off. Reports do not count: in a large
// fleet they can outnumber what one balancer observes.
func (s *Steerer) likelyIsolated(now time.Duration) bool {
	unresponsive, responsive := 0, 0
	for _, b := range s.backends {
		switch {
		case b.recentlyUnanswered(now):
			unresponsive++
		case now-b.lastResponse < responsiveWindow:
			responsive++
		}
	}
	return unresponsive >= responsive
}

// TakeResets returns the flows that were reset since the last call.
func (s *Steerer) TakeResets() []Reset {
	if len(s.resets) == 0 {
		return nil
	}
	resets := s.resets
	s.resets = nil
	return resets
}

// repeatable reports whether the requests of a flow may be executed more than once.
func (s *Steerer) repeatable(key flow.Key) bool {
	if s.view.Settings == nil {
		return false
	}
	service := s.view.Settings.ServiceAt(key.Service)
	return service != nil && service.Repeatable
}

// rejectsRequest reports whether a request on an established flow is refused, so that its caller
// retries elsewhere: its back end has ended, or it is down and the request may be repeated. Whether
// the request was executed is unknown.
func (s *Steerer) rejectsRequest(now time.Duration, b *backendState, packet *Packet) bool {
	return packet.Kind == Established && packet.Payload > 0 && s.checkDown(now, b) && (b.ended || s.repeatable(packet.Flow))
}
