package steering

import (
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/placement"
	"gaugeyard/internal/settings"
)

// Some services bound the new flows that a back end may get while it warms up, in each second and
// over all balancers, whether those hear of each other or not. Loads that are told every half second
// are too old to keep such a bound, and an even share for each balancer of a zone is too small to use
// it: with 30 balancers one flow each is already three times what a back end with 4 a second may get.
// So few balancers of the back end's zone place flows there, those that are nearest to it by hash, and
// each spaces them out. The others use back ends that are warm, here or elsewhere; a flow that no back end
// may take is refused at once.
const (
	// warmUpPlacers is how many balancers place flows at a back end that warms up. Of two, one may be
	// about to be found dead.
	warmUpPlacers = 2
	// warmUpDoubles is how many times as many may believe that they do: a zone may be split in two, or
	// some have heard of a balancer's death and others have not.
	warmUpOvercount = 2
	// leastForTwo is the bound, in flows a second, from which on there are two of them: below it the
	// first flow of each would use the bound up.
	minBoundForTwo = 8.0
)

// warmUp is how new flows go to the back ends of a group while these warm up. The zero value is
// no limit.
type warmUp struct {
	limited bool
	// placers is how many balancers place flows at each, and interval the least time between two of
	// one balancer; 0 placers is none at all.
	placers  int
	interval time.Duration
}

// warmUpOf works out the spacing from the group's rate. Within any second each of those that place,
// doubles included, sends one flow more than its rate; all of them together stay within the bound.
func (s *Steerer) warmUpOf(group *settings.Group) warmUp {
	if group.WarmUpRate <= 0 || s.config.Mechanisms.NoWarmUpLimit {
		return warmUp{}
	}
	if s.config.Mechanisms.EvenWarmUp {
		count := float64(max(s.own.Count, 1))
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

func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}

// withholds tells whether this balancer must not send a new flow to the back end now, because it
// warms up and others do, or this one has just done so.
func (s *Steerer) withholds(now time.Duration, limit warmUp, member *directory.Member, state *backendState) bool {
	if !limit.limited || now >= member.ColdUntil {
		return false
	}
	return limit.placers == 0 || now < state.warmUpNext || !s.isPlacerFor(member, limit.placers, now)
}

// placesAt tells whether this balancer is one of those that place flows at a back end that warms up. One
// that has just started, or does not hear most of those that it knew, cannot tell.
func (s *Steerer) isPlacerFor(member *directory.Member, placers int, now time.Duration) bool {
	if member.Zone != s.config.Zone || now-s.startedAt < settleTime {
		return false
	}
	return s.own.Zone.isNearest(placement.Mix(uint64(member.ID), 0), placers)
}

// Neighbours are the balancers of the own zone that this one knows, each by a hash of its address. The
// zero value is a balancer alone.
type Neighbours struct {
	// Own is the hash of this balancer itself.
	Own uint64
	// Live are those that were heard lately, Silent how many others were heard before.
	Live   []uint64
	Silent int
	// Bounded is set where there may be others, all of them farther away from Own than those here.
	Bounded bool
}

// nearest tells whether this balancer is one of the count nearest to a point. It is certain among
// those that it knows; a point outside of their range belongs to others.
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
	return nearer < count && (!n.Bounded || distance <= widest)
}
