package steering

import (
	"math"
	"time"
)

// placedSpan is how long the decaying count of flows placed in the last moments stands for: a
// few times what a request takes, so that a back end which has just become free gets its share
// evenly and not all at once.
const placedSpan = 200 * time.Millisecond

// longPlaced is the time after which next to nothing is left of a placed flow in that count.
const longPlaced = 8 * placedSpan

// notePlaced notes that a flow was placed at the back end.
func (b *backendState) notePlaced(now time.Duration) {
	b.placed, b.placedAt = b.placedLately(now)+1, now
	b.recent++
	b.steady++
	b.fresh++
}

// placedLately returns how many flows were placed at the back end in the last moments.
func (b *backendState) placedLately(now time.Duration) float64 {
	if b.placed == 0 || now-b.placedAt > longPlaced {
		return 0
	}
	return b.placed * math.Exp(-(now-b.placedAt).Seconds()/placedSpan.Seconds())
}

// rush returns by how much the requests begun lately at a back end understate, or overstate, those
// that go there now.
//
// The part that comes with new flows is worked out from what this balancer placed in the last
// moments. Counted over recentSpan, and told by others half a second later, it would show too
// late: others hear the same loads and choose by the same rule, so that each will have done what
// this one did, and together they would crowd a back end that has just become free.
func (s *Steerer) rush(now time.Duration, state *backendState, local bool) float64 {
	if state.fresh == 0 || s.config.Mechanisms.NoPacing {
		return 0
	}
	placers := s.placers(local)
	known := min(placers*state.fresh, state.work()+state.others.Requests)
	return placers*state.placedLately(now)*recentSpan/placedSpan.Seconds() - known
}

// placers returns how many balancers place flows at back ends as this one does: those of its
// zone, or all for back ends elsewhere. Where each compares a part of them, they are fewer.
func (s *Steerer) placers(local bool) float64 {
	zone, fleet := float64(max(s.own.Count, 1)), float64(max(s.own.Fleet, s.own.Count, 1))
	if s.own.Count >= manyBalancers {
		zone, fleet = spanEach, spanEach*fleet/zone
	}
	if local {
		return zone
	}
	return fleet
}
