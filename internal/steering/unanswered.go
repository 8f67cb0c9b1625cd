package steering

import "time"

const (
	unansweredCheckInterval = 250 * time.Millisecond
	// answerTimeout is how long a request may be pending before it counts as unanswered.
	answerTimeout = 400 * time.Millisecond
)

// pendingRequests are the flows that had a pending request at the last check or since. With them
// the check does not depend on the number of open flows.
type pendingRequests struct {
	records []*record
}

// add adds a flow with a pending request, unless it is present.
func (p *pendingRequests) add(rec *record) {
	if rec.tracked {
		return
	}
	rec.tracked = true
	p.records = append(p.records, rec)
}

// sweep calls visit for each flow whose request is pending and not counted as unanswered, and
// removes the flows without a pending request.
func (p *pendingRequests) sweep(visit func(rec *record)) {
	pending := p.records[:0]
	for _, rec := range p.records {
		if rec.requestPending && !rec.unanswered {
			visit(rec)
		}
		rec.tracked = rec.requestPending
		if rec.tracked {
			pending = append(pending, rec)
		}
	}
	clear(p.records[len(pending):])
	p.records = pending
}

// checkUnanswered looks for unanswered requests. A request that was pending while the process was
// paused is no evidence: its caller abandoned it or was answered through another balancer.
func (s *Steerer) checkUnanswered(now time.Duration) {
	if now-s.resumed < answerTimeout || s.lagging(now) {
		// Answers may have been missed.
		return
	}
	s.pending.sweep(func(rec *record) {
		if rec.lastSeen < s.resumed+resumeTime {
			rec.unanswered = true
			return
		}
		rec.checkUnanswered(now)
	})
}

// checkUnanswered counts a request as unanswered whose caller has waited for answerTimeout: the
// back end has reset it or never answers, though it accepts new flows.
func (r *record) checkUnanswered(now time.Duration) {
	if !r.requestPending || r.unanswered || now-r.lastSeen < answerTimeout {
		return
	}
	r.unanswered = true
	r.backend.recordRequestFailure(now, r.sentAt)
}
