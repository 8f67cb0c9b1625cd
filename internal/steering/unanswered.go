package steering

import "time"

const (
	// lookInterval is how often requests without an answer are looked for.
	lookInterval = 250 * time.Millisecond
	// answerPatience is how long a caller may wait for an answer before its request
	// counts as left without one.
	answerPatience = 400 * time.Millisecond
)

// awaited are the flows with a request whose answer was awaited when they were last
// looked at. They are few beside the flows that rest, so that looking for requests
// without an answer does not grow with the flows that are open.
type awaited struct {
	records []*record
}

// add enters a flow whose caller has asked, unless it is entered already.
func (a *awaited) add(known *record) {
	if known.awaited {
		return
	}
	known.awaited = true
	a.records = append(a.records, known)
}

// look lets visit see each flow that still awaits an answer and was not found without one,
// and leaves out those that await none.
func (a *awaited) look(visit func(known *record)) {
	kept := a.records[:0]
	for _, known := range a.records {
		if known.waiting && !known.unanswered {
			visit(known)
		}
		known.awaited = known.waiting
		if known.awaited {
			kept = append(kept, known)
		}
	}
	clear(a.records[len(kept):])
	a.records = kept
}

// noteUnanswered looks for requests that back ends left without an answer. A request that
// waited while the process stood still says nothing of its back end: its caller has given
// it up, or was answered through another balancer.
func (s *Steerer) noteUnanswered(now time.Duration) {
	if now-s.resumed < answerPatience || s.lagging(now) {
		// What came meanwhile is not known here.
		return
	}
	s.awaited.look(func(known *record) {
		if known.lastSeen < s.resumed+resumeTime {
			known.unanswered = true
			return
		}
		known.noteUnanswered(now)
	})
}

// noteUnanswered counts a request whose caller waits, with nothing more to send, for
// longer than a back end takes: it was reset there, or is never answered, though the
// back end takes new flows.
func (r *record) noteUnanswered(now time.Duration) {
	if !r.waiting || r.unanswered || now-r.lastSeen < answerPatience {
		return
	}
	r.unanswered = true
	r.backend.noteFault(now, r.askedAt)
}
