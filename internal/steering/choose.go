package steering

import (
	"math"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/placement"
	"gaugeyard/internal/settings"
)

const (
	// coldCost is how much slower a back end is taken to be while it warms up.
	coldCost = 1.6
	// forgetCount is the decayed number of requests below which a group is forgotten.
	forgetCount = 0.01
	// groupDecay is what of a group's count is left after a second.
	groupDecay = 0.97
)

// groupKey names a group of a service.
type groupKey struct {
	service settings.Path
	group   settings.Path
}

// groupState counts how much work a group of a service was given lately.
type groupState struct {
	count float64
}

func (g *groupState) decay() {
	g.count *= groupDecay
}

// chooseGroup returns the group that is furthest below its share of the service's
// work. It follows the shares far more closely than chance would.
func (s *Steerer) chooseGroup(service *settings.Service) (*settings.Group, *groupState) {
	var best *settings.Group
	var bestState *groupState
	bestLoad := math.Inf(1)
	for i := range service.Groups {
		group := &service.Groups[i]
		if group.Share <= 0 {
			continue
		}
		key := groupKey{settings.Path(service.Name), group.Path}
		state := s.groups[key]
		if state == nil {
			state = &groupState{}
			s.groups[key] = state
		}
		if load := (state.count + 1) / group.Share; load < bestLoad {
			best, bestState, bestLoad = group, state, load
		}
	}
	return best, bestState
}

// candidate is a back end that may take a new flow.
type candidate struct {
	member *directory.Member
	state  *backendState
	cost   float64
	score  float64
	local  bool
}

// choice is the result of choose.
type choice struct {
	member  *directory.Member
	spilled bool
}

// choose picks the back end of a new flow among those of the group: the one with
// the least work here, in the own zone unless that is much busier than others.
// Where back ends are equal the flow's hash decides, so that balancers that know
// nothing yet agree and do not crowd one back end.
func (s *Steerer) choose(now time.Duration, hash uint64, group *settings.Group, service *settings.Service, avoid *backendState) choice {
	pool := s.view.Pool(group.Discover)
	s.candidates = s.candidates[:0]
	for _, member := range pool.Open {
		state := s.stateOf(member)
		if s.config.Mechanisms.NoSuspicion || state != avoid && !state.suspected(now) {
			s.addCandidate(now, hash, member, state)
		}
	}
	if len(s.candidates) == 0 {
		s.addLastResorts(now, hash, pool)
	}
	local := best(s.candidates, true)
	remote := best(s.candidates, false)
	switch {
	case local == nil && remote == nil:
		return choice{}
	case local == nil:
		return choice{remote.member, true}
	case remote != nil && overloaded(local) && local.cost > service.Spill*remote.cost:
		return choice{remote.member, true}
	}
	return choice{member: local.member}
}

// overloaded tells whether a new request would wait at the back end.
func overloaded(c *candidate) bool {
	return c.state.active+c.state.opening >= max(c.member.Slots, 1)
}

// addLastResorts adds back ends that are suspected, or else those whose entries
// vanished moments ago, perhaps by mistake.
func (s *Steerer) addLastResorts(now time.Duration, hash uint64, pool *directory.Pool) {
	for _, member := range pool.Open {
		s.addCandidate(now, hash, member, s.stateOf(member))
	}
	if len(s.candidates) > 0 {
		return
	}
	for _, member := range pool.Left {
		if now-member.GoneAt <= s.config.LapseGrace {
			s.addCandidate(now, hash, member, s.stateOf(member))
		}
	}
}

func (s *Steerer) addCandidate(now time.Duration, hash uint64, member *directory.Member, state *backendState) {
	cost := float64(state.active+state.opening+1) + state.recent
	if now < member.ColdUntil {
		cost *= coldCost
	}
	if s.config.Mechanisms.NoLoad {
		cost = 0
	}
	s.candidates = append(s.candidates, candidate{
		member: member,
		state:  state,
		cost:   cost / float64(max(member.Slots, 1)),
		score:  placement.Score(hash, member.ID, 1),
		local:  member.Zone == s.config.Zone,
	})
}

// best returns the cheapest candidate in or outside the own zone, nil for none.
func best(candidates []candidate, local bool) *candidate {
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		if c.local != local {
			continue
		}
		if best == nil || c.cost < best.cost || c.cost == best.cost && c.score > best.score {
			best = c
		}
	}
	return best
}
