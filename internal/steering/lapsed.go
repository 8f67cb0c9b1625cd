package steering

import (
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// Back ends whose entries vanished in an outage of the store are candidates like others for a moment
// after its return, so that the few whose entries are back first do not take what was meant for
// all. What is observed here decides: one that is doubted, suspected or lost is none.

// addLapsed makes the lapsed back ends of the pool candidates that the filters leave.
func (s *Steerer) addLapsed(filters []filter) {
	p := &s.placing
	if p.now >= p.pool.LapsedUntil || s.config.Mechanisms.NoLapsed {
		return
	}
	for _, member := range p.pool.Left {
		if p.now < member.LapsedUntil {
			s.addCandidate(member, filters)
		}
	}
}

// keepsLapsed tells whether copies of an opening packet may still go to a lapsed back end of the pool.
func (s *Steerer) keepsLapsed(now time.Duration, pool *directory.Pool, id settings.BackendID) bool {
	if now >= pool.LapsedUntil || s.config.Mechanisms.NoLapsed {
		return false
	}
	for _, member := range pool.Left {
		if member.ID == id {
			return now < member.LapsedUntil
		}
	}
	return false
}
