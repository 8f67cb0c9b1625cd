package steering

import (
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/settings"
)

const (
	// loadSlack is how far the load, in requests per slot, may exceed the bound before flows leave
	// the zone.
	loadSlack = 1.5
)

// candidate is a back end that may take a new flow, with the values that the scorers fill in.
type candidate struct {
	member *directory.Member
	state  *backendState
	local  bool
	// hashScore is the rendezvous score for the flow's hash. It breaks ties.
	hashScore float64
	// load is in requests per slot, and expectedLoad includes flows placed in the last
	// moments.
	load, expectedLoad float64
	// balanceLoad is compared where requests hardly wait: load, or in a large zone the longer-term
	// rate per slot.
	balanceLoad float64
	// failures counts recent failed requests, through all balancers.
	failures float64
	// slowdown is the latency relative to the typical one, at least 1.
	slowdown float64
	// expectedTime is in multiples of the typical latency.
	expectedTime float64
	// probe is set where the flow would test whether a slow back end has recovered.
	probe bool
}

// choice is the result of choose. member is nil where no back end may take the flow.
type choice struct {
	member *directory.Member
	part   *part
	// refusal is the reason where member is nil.
	refusal errkind.Kind
	// scheduled is the part that the rotation named, and reason why the flow went to it or
	// elsewhere.
	scheduled *part
	reason    PartReason
	spilled   bool
	load      float64
	probe     bool
}

// pass is one round over the parts of a service.
type pass struct {
	tier int
	// skipFailing skips parts in cooldown or with all back ends ejected.
	skipFailing bool
}

// passes are in order of preference. Services with one part use only those without skipFailing.
var passes = []pass{{tier: 0, skipFailing: true}, {tier: 0}, {tier: 1}, {tier: 2}, {tier: 3}}

// choose picks the back end of a new flow, from the scheduled part if possible. A flow that moves
// away from previous keeps its scheduled part.
func (s *Steerer) choose(now time.Duration, hash uint64, service *settings.Service, previous *record) choice {
	var avoid *backendState
	var previousPart *part
	if previous != nil {
		avoid, previousPart = previous.backend, previous.part
	}
	parts := s.rotationOf(service, hash).next(previousPart)
	reason, scheduledReason := PartScheduled, PartScheduled
	if len(parts) < 2 {
		scheduledReason = PartOnly
	}
	for i, pass := range passes {
		if len(parts) < 2 && pass.skipFailing {
			continue
		}
		for _, p := range parts {
			s.placement = placementState{now: now, hash: hash, group: p.group, pool: s.view.Pool(p.group.Discover), limit: s.warmUpOf(p.group), avoid: avoid}
			usable, unusableReason := s.evaluate(p, pass)
			if usable {
				if p == parts[0] {
					reason = scheduledReason
				}
				picked := s.pick(p, service)
				picked.scheduled, picked.reason = parts[0], reason
				return picked
			}
			if i == 0 && p == parts[0] {
				reason = unusableReason
			}
		}
	}
	return choice{refusal: s.refusal(parts)}
}

// refusal returns why no back end of the parts may take a flow.
func (s *Steerer) refusal(parts []*part) errkind.Kind {
	for _, p := range parts {
		for _, member := range s.view.Pool(p.group.Discover).Open {
			if s.connectionsOf(p.group, member).HardLimitReached(s.observedState(member).flows) {
				return errkind.ConnectionsFull
			}
		}
	}
	return errkind.NoBackend
}

// evaluate gathers and scores the candidates of a part, and reports whether it can take the flow.
func (s *Steerer) evaluate(p *part, pass pass) (usable bool, reason PartReason) {
	if !s.gatherCandidates(pass.tier) {
		return false, s.unavailableReason()
	}
	s.scoreCandidates()
	if !pass.skipFailing {
		return true, PartScheduled
	}
	// Being busy is no failure: with few back ends a request for each slot is normal.
	allEjected := true
	for i := range s.candidates {
		allEjected = allEjected && s.candidates[i].state.ejected
	}
	switch {
	case allEjected:
		return false, PartEjected
	case s.poolOf(p.group.Discover).cooldown.blocks(s.placement.now):
		return false, PartUnresponsive
	}
	return true, PartScheduled
}

// unavailableReason returns why a part has no candidate.
func (s *Steerer) unavailableReason() PartReason {
	p := &s.placement
	if len(p.pool.Open) == 0 {
		return PartEmpty
	}
	reason := PartUnresponsive
	for _, member := range p.pool.Open {
		switch state := s.observedState(member); {
		case s.warmUpBlocks(p.now, p.limit, member, state):
			return PartWarmingUp
		case s.connectionsOf(p.group, member).SoftLimitReached(state.flows):
			reason = PartFull
		}
	}
	return reason
}

// pick returns the best candidate of the own zone, or of another one if shouldSpill. Ties are
// broken by the flow's hash, so that balancers without load reports agree and do not overload one
// back end.
func (s *Steerer) pick(p *part, service *settings.Service) choice {
	typicalLatency := s.placement.typicalLatency
	pool := s.poolOf(p.group.Discover)
	pool.typicalLatency = typicalLatency
	offset := pool.subsetOffset
	pool.subsetOffset++
	local := s.best(typicalLatency, true, offset)
	remote := s.best(typicalLatency, false, offset)
	best, spilled := local, false
	if local == nil || remote != nil && remote.load < local.load && s.shouldSpill(local, remote, service) {
		best, spilled = remote, true
	}
	return choice{member: best.member, part: p, spilled: spilled, load: best.load, probe: best.probe}
}

// shouldSpill reports whether another zone is better: the own one exceeds the load factor, or a
// request would wait here and not there.
func (s *Steerer) shouldSpill(local, remote *candidate, service *settings.Service) bool {
	if local.busy() && !remote.busy() {
		return true
	}
	return local.load > service.LoadFactor*meanLoad(s.candidates)+loadSlack
}

// busy reports whether this balancer alone has a pending request for each slot.
func (c *candidate) busy() bool {
	return c.state.pending >= max(c.member.Slots, 1)
}

// meanLoad is over all zones.
func meanLoad(candidates []candidate) float64 {
	sum := 0.0
	for i := range candidates {
		sum += candidates[i].load
	}
	return sum / float64(len(candidates))
}

// best returns the best candidate inside or outside the own zone, or nil. In a large zone it
// compares the current subset only, unless the best of that is busy or ejected.
func (s *Steerer) best(typicalLatency float64, local bool, offset int) *candidate {
	if s.membership.Count < minBalancersForSubsets {
		return bestIn(s.candidates, typicalLatency, local, subset{})
	}
	total := 0
	for i := range s.candidates {
		if s.candidates[i].local == local {
			total++
		}
	}
	best := bestIn(s.candidates, typicalLatency, local, s.membership.subset(total, offset))
	if best != nil && (best.busy() || best.state.ejected) {
		return bestIn(s.candidates, typicalLatency, local, subset{})
	}
	return best
}

// bestIn returns the best candidate of the subset, inside or outside the own zone, or nil.
func bestIn(candidates []candidate, typicalLatency float64, local bool, within subset) *candidate {
	var best *candidate
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
		if best == nil || c.preferredTo(best, typicalLatency) {
			best = c
		}
	}
	return best
}
