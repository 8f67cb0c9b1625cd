package steering

import (
	"math"
	"time"
)

// placedWindow is the time constant of the decaying count of placed flows: a few times the duration
// of a request, so that a newly idle back end receives its share evenly.
const placedWindow = 200 * time.Millisecond

// placedRetention is the age from which on placed flows are negligible in that count.
const placedRetention = 8 * placedWindow

func (b *backendState) recordPlacement(now time.Duration) {
	b.placed, b.placedAt = b.recentPlacements(now)+1, now
	b.recent++
	b.steady++
	b.recentPlaced++
}

// recentPlacements returns the decayed number of flows that were placed at the back end within
// about placedWindow.
func (b *backendState) recentPlacements(now time.Duration) float64 {
	if b.placed == 0 || now-b.placedAt > placedRetention {
		return 0
	}
	return b.placed * math.Exp(-(now-b.placedAt).Seconds()/placedWindow.Seconds())
}

// loadCorrection returns by how much the requests now going to a back end exceed the recent count,
// extrapolated from this balancer's latest placements. Counts that others report half a second
// later show a change too late: all balancers decide by the same loads and rule, and would together
// overload a newly idle back end.
func (s *Steerer) loadCorrection(now time.Duration, state *backendState, local bool) float64 {
	if state.recentPlaced == 0 || s.config.Mechanisms.NoPacing {
		return 0
	}
	placers := s.placers(local)
	counted := min(placers*state.recentPlaced, state.recentLoad()+state.others.Requests)
	return placers*state.recentPlacements(now)*recentWindow/placedWindow.Seconds() - counted
}

// placers returns the number of balancers that place flows at the same back ends: those of the
// zone, or all for back ends elsewhere. It is lower where each compares only a subset.
func (s *Steerer) placers(local bool) float64 {
	zone, fleet := float64(max(s.membership.Count, 1)), float64(max(s.membership.Fleet, s.membership.Count, 1))
	if s.membership.Count >= minBalancersForSubsets {
		zone, fleet = balancersPerBackend, balancersPerBackend*fleet/zone
	}
	if local {
		return zone
	}
	return fleet
}
