package steering

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"gaugeyard/internal/settings"
)

const (
	// reportLifetime is how long a report of another balancer is valid.
	reportLifetime = 700 * time.Millisecond
	// maxReports bounds the number of balancers whose reports on a back end are stored.
	maxReports = 32
	// urgentReportInterval is the minimum time between two urgent reports.
	urgentReportInterval = 100 * time.Millisecond
)

// UnresponsiveReport is what one balancer knows of a back end that leaves callers without a
// response.
type UnresponsiveReport struct {
	Backend settings.BackendID
	// Callers is the number of callers that retransmitted data without a response since the last
	// one that the sender saw. It is 0 where none did so recently, and in a report that contradicts
	// others.
	Callers int
	// Silence is the time since that response.
	Silence time.Duration
	// Down is the remaining time for which the sender considers the back end down, 0 if it does
	// not.
	Down time.Duration
}

// receivedReport is an UnresponsiveReport received from another balancer.
type receivedReport struct {
	from    netip.AddrPort
	callers int
	// lastResponse is when the sender last saw a response, and receivedAt when the report arrived,
	// both by this balancer's clock.
	lastResponse, receivedAt time.Duration
}

// requestUrgentReport makes the driver report to other balancers at once, at most every
// urgentReportInterval.
func (s *Steerer) requestUrgentReport(now time.Duration) {
	if now-s.urgentAt >= urgentReportInterval {
		s.urgentAt, s.urgentReport = now, true
	}
}

// TakeUrgentReport reports whether UnresponsiveReports should be sent to other balancers at once,
// and resets the request.
func (s *Steerer) TakeUrgentReport() bool {
	urgent := s.urgentReport
	s.urgentReport = false
	return urgent
}

// UnresponsiveReports returns at most count reports on back ends that are unresponsive here or
// reported so by others: down ones first, then by descending number of callers.
func (s *Steerer) UnresponsiveReports(now time.Duration, count int) []UnresponsiveReport {
	var reports []UnresponsiveReport
	for id, b := range s.backends {
		report := UnresponsiveReport{Backend: id, Silence: now - b.lastResponse, Down: max(b.downUntil-now, 0)}
		switch {
		case b.recentlyUnanswered(now):
			// Older callers are not reported, since they would renew the state of the receivers.
			report.Callers = len(b.unansweredCallers)
			reports = append(reports, report)
		case report.Down > 0:
			reports = append(reports, report)
		case len(b.reports) > 0 && now-b.lastResponse < reportLifetime:
			reports = append(reports, report)
		}
	}
	slices.SortFunc(reports, func(a, b UnresponsiveReport) int {
		return cmp.Or(cmp.Compare(min(b.Down, 1), min(a.Down, 1)), cmp.Compare(b.Callers, a.Callers), cmp.Compare(a.Backend, b.Backend))
	})
	return reports[:min(count, len(reports))]
}

// ReceiveUnresponsive processes reports of another balancer. It requests an urgent report if this
// balancer has seen a later response.
func (s *Steerer) ReceiveUnresponsive(now time.Duration, from netip.AddrPort, reports []UnresponsiveReport) {
	if now-s.resumed < resumeTime || s.config.Mechanisms.NoResets {
		// The report was queued while the process was paused.
		return
	}
	var down []*backendState
	for _, report := range reports {
		member := s.view.Member(report.Backend)
		if member == nil {
			continue
		}
		b := s.stateOf(member)
		if b.ignoresReports(now) {
			continue
		}
		b.storeReport(receivedReport{from, report.Callers, now - report.Silence, now})
		b.receiveDown(now, &report)
		if (report.Callers > 0 || report.Down > 0) && now-b.lastResponse < reportLifetime {
			s.requestUrgentReport(now)
		}
		if s.checkDown(now, b) {
			down = append(down, b)
		}
	}
	if len(down) > 0 {
		s.resetFlowsAt(now, down...)
	}
}

// storeReport stores a report in place of the sender's previous one. Reports of new senders are
// dropped at maxReports.
func (b *backendState) storeReport(report receivedReport) {
	at := slices.IndexFunc(b.reports, func(r receivedReport) bool { return r.from == report.from })
	switch {
	case at >= 0:
		b.reports[at] = report
	case len(b.reports) < maxReports:
		b.reports = append(b.reports, report)
	}
}

// receiveDown adopts the sender's down state for no longer than the sender does. A response that
// the sender has seen since the back end was marked down ends the state.
func (b *backendState) receiveDown(now time.Duration, report *UnresponsiveReport) {
	lastResponse := now - report.Silence
	switch {
	case report.Down > 0 && now-b.lastResponse >= minDownSilence:
		b.downUntil = max(b.downUntil, now+min(report.Down, downPeriod))
	case now < b.downUntil && lastResponse > b.downUntil-downPeriod && report.Silence < minDownSilence:
		b.downUntil, b.unansweredCallers = 0, b.unansweredCallers[:0]
	}
}
