package steering

import (
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/settings"
)

const (
	// loadSlack is how much load above the bound is no reason to leave the zone,
	// in requests a slot: single requests do not count.
	loadSlack = 1.5
)

// candidate is a back end that may take a new flow, with what the scorers found of it.
type candidate struct {
	member *directory.Member
	state  *backendState
	local  bool
	// score is by the flow's hash, and decides between equals.
	score float64
	// load is the work at the back end relative to its slots, and soon what it will be, counting
	// flows of the last moments.
	load, soon float64
	// even is what is kept even where a request hardly waits: the load, or in a large zone the
	// rate of work over a longer time, relative to slots.
	even float64
	// failures counts the requests that it failed lately, through all balancers.
	failures float64
	// pace is how many times longer than usual a request takes there, 1 at the least.
	pace float64
	// time is how long a request is expected to take there, in usual times.
	time float64
	// trial is set where a flow finds out whether the back end is still slow.
	trial bool
}

// choice is the result of choose; member is nil where no back end may take the flow.
type choice struct {
	member *directory.Member
	part   *part
	// refusal is why none may.
	refusal errkind.Kind
	// turn is the part whose turn it was, and reason why the flow went to the other one.
	scheduled *part
	reason    PartReason
	spilled   bool
	load      float64
	probe     bool
}

// pass is one look at the parts of a service.
type pass struct {
	// tier is an index of tiers.
	tier int
	// skipFailing leaves out a part whose back ends are all out of rotation, or that rests.
	skipFailing bool
}

// passes are in order of preference. A service with one part has none that skips.
var passes = []pass{{tier: 0, skipFailing: true}, {tier: 0}, {tier: 1}, {tier: 2}, {tier: 3}}

// choose picks the back end of a new flow. The part whose turn it is goes first, and another one where it
// can take none. A flow that leaves an earlier place has had its turn.
func (s *Steerer) choose(now time.Duration, hash uint64, service *settings.Service, left *record) choice {
	var avoid *backendState
	var had *part
	if left != nil {
		avoid, had = left.backend, left.turn
	}
	parts := s.rotationOf(service, hash).next(had)
	reason, usual := PartTurn, PartTurn
	if len(parts) < 2 {
		usual = PartOnly
	}
	for i, pass := range passes {
		if len(parts) < 2 && pass.skipFailing {
			continue
		}
		for _, p := range parts {
			s.placing = placing{now: now, hash: hash, group: p.group, pool: s.view.Pool(p.group.Discover), limit: s.warmUpOf(p.group), avoid: avoid}
			able, why := s.evaluate(p, pass)
			if able {
				if p == parts[0] {
					reason = usual
				}
				picked := s.pick(p, service)
				picked.scheduled, picked.reason = parts[0], reason
				return picked
			}
			if i == 0 && p == parts[0] {
				reason = why
			}
		}
	}
	return choice{refusal: s.refusal(parts)}
}

// refusal is why no back end of the parts may take a flow.
func (s *Steerer) refusal(parts []*part) errkind.Kind {
	for _, p := range parts {
		for _, member := range s.view.Pool(p.group.Discover).Open {
			if s.connectionsOf(p.group, member).Refuses(s.observed(member).flows) {
				return errkind.ConnectionsFull
			}
		}
	}
	return errkind.NoBackend
}

// weigh gathers and scores candidates, and tells whether they can take the flow, or why not.
func (s *Steerer) evaluate(p *part, pass pass) (able bool, why PartReason) {
	if !s.gatherCandidates(pass.tier) {
		return false, s.unavailableReason()
	}
	s.scoreCandidates()
	if !pass.skipFailing {
		return true, PartTurn
	}
	// A part that is merely busy keeps its share: with few back ends a request in each slot is usual.
	out := true
	for i := range s.candidates {
		out = out && s.candidates[i].state.out
	}
	switch {
	case out:
		return false, PartOut
	case s.poolOf(p.group.Discover).rest.blocks(s.placing.now):
		return false, PartDark
	}
	return true, PartTurn
}

// whyNone tells why a part has no candidate.
func (s *Steerer) unavailableReason() PartReason {
	p := &s.placing
	if len(p.pool.Open) == 0 {
		return PartEmpty
	}
	reason := PartDark
	for _, member := range p.pool.Open {
		switch state := s.observed(member); {
		case s.withholds(p.now, p.limit, member, state):
			return PartCold
		case s.connectionsOf(p.group, member).Avoids(state.flows):
			reason = PartFull
		}
	}
	return reason
}

// pick returns the best of the candidates, which were scored: the one with the least work in the own
// zone, unless even that has more than the load factor allows above the mean of all zones. Where back
// ends are equal the flow's hash decides, so that balancers that know nothing yet agree and do not
// crowd one.
func (s *Steerer) pick(p *part, service *settings.Service) choice {
	usual := s.placing.typicalLatency
	known := s.poolOf(p.group.Discover)
	known.usual = usual
	turn := known.rotation
	known.rotation++
	local := s.best(usual, true, turn)
	remote := s.best(usual, false, turn)
	best, spilled := local, false
	if local == nil || remote != nil && remote.load < local.load && s.shouldSpill(local, remote, service) {
		best, spilled = remote, true
	}
	return choice{member: best.member, part: p, spilled: spilled, load: best.load, probe: best.trial}
}

// leavesZone tells whether a new flow is better off in another zone: the own one has
// more than its share, or a request would wait there and not elsewhere.
func (s *Steerer) shouldSpill(local, remote *candidate, service *settings.Service) bool {
	if local.busy() && !remote.busy() {
		return true
	}
	return local.load > service.LoadFactor*meanLoad(s.candidates)+loadSlack
}

// full tells whether this balancer alone has a request under way in each slot.
func (c *candidate) busy() bool {
	return c.state.active >= max(c.member.Slots, 1)
}

// meanLoad is the mean over all zones.
func meanLoad(candidates []candidate) float64 {
	sum := 0.0
	for i := range candidates {
		sum += candidates[i].load
	}
	return sum / float64(len(candidates))
}

// best returns the least loaded candidate in or outside the own zone, nil for none. In a
// large zone it compares those alone whose turn it is, unless all of them are full or out of rotation.
func (s *Steerer) best(usual float64, local bool, turn int) *candidate {
	if s.own.Count < manyBalancers {
		return bestIn(s.candidates, usual, local, subset{})
	}
	total := 0
	for i := range s.candidates {
		if s.candidates[i].local == local {
			total++
		}
	}
	best := bestIn(s.candidates, usual, local, s.own.subset(total, turn))
	if best != nil && (best.busy() || best.state.out) {
		return bestIn(s.candidates, usual, local, subset{})
	}
	return best
}

// least returns the candidate in or outside the own zone and in the span where a request
// is expected to take the least time, nil for none.
func bestIn(candidates []candidate, usual float64, local bool, within subset) *candidate {
	var least *candidate
	position := 0
	for i := range candidates {
		c := &candidates[i]
		if c.local != local {
			continue
		}
		position++
		if !within.contains(position - 1) {
			continue
		}
		if least == nil || c.before(least, usual) {
			least = c
		}
	}
	return least
}
