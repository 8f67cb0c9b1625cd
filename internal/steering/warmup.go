package steering

import (
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/placement"
	"gaugeyard/internal/settings"
)

// A service may limit the new flows per second that a back end gets from all balancers while it
// warms up, even if these receive no reports from each other. An even share of the limit would be
// less than one flow for each balancer, so only the few of the zone that are nearest to the back
// end by hash place flows there, at a minimum interval. Others use the remaining back ends of any
// zone, and a flow that no back end may take is refused at once.
const (
	// warmUpPlacers is how many balancers place flows at a back end that is warming up: two, since
	// one may have died unnoticed.
	warmUpPlacers = 2
	// warmUpOvercount is how many times more may do so in a partition, or when only some have
	// noticed that a balancer died.
	warmUpOvercount = 2
	// minBoundForTwo is the bound, in flows per second, for two placers. Below it the first flow
	// of each would exhaust the bound.
	minBoundForTwo = 8.0
)

// warmUp limits the new flows to back ends of a group that are warming up. The zero value is no
// limit.
type warmUp struct {
	limited bool
	// placers is how many balancers place flows at each back end, 0 for none, and interval the
	// minimum time between two flows of one balancer.
	placers  int
	interval time.Duration
}

// warmUpOf computes the limit from the group's rate. In any second each placer may send one flow
// more than its rate; all together, the overcount included, stay within the bound.
func (s *Steerer) warmUpOf(group *settings.Group) warmUp {
	if group.WarmUpRate <= 0 || s.config.Mechanisms.NoWarmUpLimit {
		return warmUp{}
	}
	if s.config.Mechanisms.EvenWarmUp {
		count := float64(max(s.membership.Count, 1))
		return warmUp{true, int(count), seconds(count / group.WarmUpRate)}
	}
	bound := group.WarmUpRate*max(s.config.WarmUpOvershoot, 1) + s.config.WarmUpSlack
	placers := warmUpPlacers
	if bound < minBoundForTwo {
		placers = 1
	}
	each := min(bound/float64(placers*warmUpOvercount)-1, group.WarmUpRate/float64(placers))
	if each <= 0 {
		return warmUp{limited: true}
	}
	return warmUp{true, placers, seconds(1 / each)}
}

// maxSeconds is some 146 years: a time on the process's clock plus that does not overflow.
const maxSeconds = float64(1<<62) / float64(time.Second)

// seconds converts a number of seconds, at most maxSeconds.
func seconds(count float64) time.Duration {
	return time.Duration(min(count, maxSeconds) * float64(time.Second))
}

// warmUpBlocks reports whether this balancer must not send a new flow to a back end that is
// warming up: other balancers do, or this one has just done so.
func (s *Steerer) warmUpBlocks(now time.Duration, limit warmUp, member *directory.Member, state *backendState) bool {
	if !limit.limited || now >= member.WarmUpUntil {
		return false
	}
	return limit.placers == 0 || now < state.warmUpNext || !s.isPlacerFor(member, limit.placers, now)
}

// isPlacerFor reports whether this balancer places flows at a back end that is warming up. One
// that has just started, or receives nothing from most of those it knew, does not.
func (s *Steerer) isPlacerFor(member *directory.Member, placers int, now time.Duration) bool {
	if member.Zone != s.config.Zone || now-s.startedAt < settleTime {
		return false
	}
	return s.membership.Neighbours.isNearest(placement.Mix(uint64(member.ID), 0), placers)
}

// Neighbours are the known balancers of the own zone, each by a hash of its address. The zero
// value is a balancer alone.
type Neighbours struct {
	// Own is the hash of this balancer.
	Own uint64
	// Live are those from which a hello was received recently, and Silent is the number of others
	// from which one was received before.
	Live   []uint64
	Silent int
	// Truncated is set where there may be others, all of them farther from Own than those in Live.
	Truncated bool
}

// isNearest reports whether this balancer is among the count nearest to a point. Points outside
// the range of the known balancers belong to others.
func (n *Neighbours) isNearest(point uint64, count int) bool {
	if n.Silent > len(n.Live)+1 {
		return false
	}
	distance := n.Own ^ point
	nearer, widest := 0, uint64(0)
	for _, other := range n.Live {
		if other^point < distance {
			nearer++
		}
		widest = max(widest, other^n.Own)
	}
	return nearer < count && (!n.Truncated || distance <= widest)
}
