package steering

import (
	"maps"
	"slices"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// ignoreReportsTime is how long after a restart reports of other balancers may still concern the
// previous start: until they know of the restart (0.6 s along the longest chains) and their earlier loads have
// decayed (to a tenth within 6 s).
const ignoreReportsTime = 6 * time.Second

// ignoresReports reports whether reports on the back end may concern its previous start.
func (b *backendState) ignoresReports(now time.Duration) bool { return now < b.ignoreReportsUntil }

// handleRestarts discards the observations of back ends that restarted under their identifiers,
// and ends the flows that are older than the restart. The new start does not have them and
// would not answer their next request. Flows that may have opened since stay.
func (s *Steerer) handleRestarts(changed []settings.BackendID) {
	restarted := map[settings.BackendID]*directory.Member{}
	for _, id := range changed {
		b, member := s.backends[id], s.view.Member(id)
		switch {
		case b == nil, member == nil:
		case member.StartTime.DiffersFrom(b.startTime):
			restarted[id] = member
		case b.startTime == 0:
			b.startTime = member.StartTime
		}
	}
	if len(restarted) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(restarted)) {
		previous, member := s.backends[id], restarted[id]
		b := s.newState(member)
		b.ignoreReportsUntil = s.pulse + ignoreReportsTime
		b.recordEvent(Restarted, s.pulse-previous.lastResponse, b.ignoreReportsUntil)
	}
	for _, rec := range s.flows {
		if member := restarted[rec.backend.id]; member != nil {
			rec.backend.removeRecord(rec)
			rec.member, rec.backend = member, s.backends[member.ID]
			rec.backend.addRecord(rec)
		}
	}
	s.resetMatching(func(rec *record) bool {
		member := restarted[rec.backend.id]
		return member != nil && rec.started < member.StartedAfter
	})
}
