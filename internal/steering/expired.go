package steering

import (
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// Back ends whose entries expired in an outage of the store remain candidates for a short time
// after its return, so that the few whose entries are restored first do not get all new flows.
// Suspect, silent and down ones are still excluded.

// addExpired adds the expired back ends of the pool that pass the filters to the candidates.
func (s *Steerer) addExpired(filters []filter) {
	p := &s.placement
	if p.now >= p.pool.UsableUntil || s.config.Mechanisms.NoLapsed {
		return
	}
	for _, member := range p.pool.Removed {
		if p.now < member.UsableUntil {
			s.addCandidate(member, filters)
		}
	}
}

// acceptsExpired reports whether copies of an opening packet may still go to an expired back end of
// the pool.
func (s *Steerer) acceptsExpired(now time.Duration, pool *directory.Pool, id settings.BackendID) bool {
	if now >= pool.UsableUntil || s.config.Mechanisms.NoLapsed {
		return false
	}
	for _, member := range pool.Removed {
		if member.ID == id {
			return now < member.UsableUntil
		}
	}
	return false
}
