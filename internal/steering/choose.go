package steering

import (
	"math"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/placement"
	"gaugeyard/internal/settings"
)

const (
	// loadSlack is how much load above the bound is no reason to leave the zone,
	// in requests a slot: single requests do not count.
	loadSlack = 1.5
	// together is within what time entries vanish at once, and lapseTogether how many
	// times the usual grace they then have: still within the drain bound.
	together      = time.Second
	lapseTogether = 5.0 / 3
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
	time  float64
	score float64
	local bool
	// trial is set where a flow finds out whether the back end is still slow.
	trial bool
}

// choice is the result of choose.
type choice struct {
	member  *directory.Member
	spilled bool
	load    float64
	trial   bool
}

// choose picks the back end of a new flow among those of the group: the one with
// the least work in the own zone, unless even that has more than the load factor
// allows above the mean of all zones. Where back ends are equal the flow's hash
// decides, so that balancers that know nothing yet agree and do not crowd one.
func (s *Steerer) choose(now time.Duration, hash uint64, group *settings.Group, service *settings.Service, avoid *backendState) choice {
	pool, limit := s.view.Pool(group.Discover), s.warmUpOf(group)
	s.candidates = s.candidates[:0]
	for _, member := range pool.Open {
		state := s.stateOf(member)
		if s.withholds(now, limit, member, state) {
			continue
		}
		if s.config.Mechanisms.NoSuspicion || state != avoid && !state.suspected(now) && !s.doubts(now, state) {
			s.addCandidate(now, hash, member, state)
		}
	}
	s.addLapsed(now, hash, pool, limit, avoid)
	if len(s.candidates) == 0 {
		s.addLastResorts(now, hash, pool, limit)
	}
	s.weighFailures()
	usual := s.usualAnswer()
	s.weighSlowness(now, usual)
	s.expectTimes(usual)
	known := s.poolOf(group.Discover)
	known.usual = usual
	turn := known.turn
	known.turn++
	local := s.best(usual, true, turn)
	remote := s.best(usual, false, turn)
	switch {
	case local == nil && remote == nil:
		return choice{}
	case local == nil:
		return choice{remote.member, true, remote.load, remote.trial}
	case remote != nil && remote.load < local.load && s.leavesZone(local, remote, service):
		return choice{remote.member, true, remote.load, remote.trial}
	}
	return choice{member: local.member, load: local.load, trial: local.trial}
}

// doubts tells whether new flows avoid a back end for its silence. Silence counts from
// when this process could have heard an answer.
func (s *Steerer) doubts(now time.Duration, state *backendState) bool {
	if s.lagging(now) {
		s.lagged = max(s.lagged, now-lagTime)
	}
	if state.askedAt != 0 {
		state.askedAt = max(state.askedAt, s.lagged+lagTime)
	}
	until := state.doubtUntil
	doubted := state.doubted(now)
	if state.doubtUntil > until && !state.pool.lossy() {
		// Each balancer of a zone would else send the back end a flow of its own before it hears of
		// this in the next round.
		s.raise(now)
	}
	return doubted
}

// leavesZone tells whether a new flow is better off in another zone: the own one has
// more than its share, or a request would wait there and not elsewhere.
func (s *Steerer) leavesZone(local, remote *candidate, service *settings.Service) bool {
	if local.full() && !remote.full() {
		return true
	}
	return local.load > service.LoadFactor*meanLoad(s.candidates)+loadSlack
}

// full tells whether this balancer alone has a request under way in each slot.
func (c *candidate) full() bool {
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

// addLastResorts adds back ends that are suspected, or else those whose entries
// vanished moments ago, perhaps by mistake.
func (s *Steerer) addLastResorts(now time.Duration, hash uint64, pool *directory.Pool, limit warmUp) {
	for _, member := range pool.Open {
		if state := s.stateOf(member); !s.withholds(now, limit, member, state) {
			s.addCandidate(now, hash, member, state)
		}
	}
	if len(s.candidates) > 0 {
		return
	}
	for _, member := range pool.Left {
		state := s.stateOf(member)
		if now-member.GoneAt <= s.lapseGrace(pool) && !s.withholds(now, limit, member, state) {
			s.addCandidate(now, hash, member, state)
		}
	}
}

// lapseGrace is how long a vanished entry is still used. When all of a group vanish
// at once, the store has most likely lost them in an outage.
func (s *Steerer) lapseGrace(pool *directory.Pool) time.Duration {
	if len(pool.Left) < 2 {
		return s.config.LapseGrace
	}
	first, last := pool.Left[0].GoneAt, pool.Left[0].GoneAt
	for _, member := range pool.Left {
		first, last = min(first, member.GoneAt), max(last, member.GoneAt)
	}
	if last-first > together {
		return s.config.LapseGrace
	}
	return time.Duration(float64(s.config.LapseGrace) * lapseTogether)
}

func (s *Steerer) addCandidate(now time.Duration, hash uint64, member *directory.Member, state *backendState) {
	load := float64(state.active+1) + state.work() + state.others.Requests
	soon := load + s.rush(now, state, member.Zone == s.config.Zone)
	even := load
	if s.own.Count >= manyBalancers {
		even = state.steadyRate()
	}
	failures := state.failures + state.others.Failures
	pace := 1.0
	if now < member.ColdUntil {
		pace = state.pool.coldPace
	}
	if s.config.Mechanisms.NoLoad {
		load, soon, even, failures = 0, 0, 0, 0
	}
	if s.config.Mechanisms.NoPace || s.config.Mechanisms.NoLoad {
		pace = 1
	}
	s.candidates = append(s.candidates, candidate{
		member:   member,
		state:    state,
		load:     load / float64(max(member.Slots, 1)),
		soon:     soon / float64(max(member.Slots, 1)),
		even:     even / float64(max(member.Slots, 1)),
		failures: failures,
		pace:     pace,
		score:    placement.Score(hash, member.ID, 1),
		local:    member.Zone == s.config.Zone,
	})
}

// best returns the least loaded candidate in or outside the own zone, nil for none. In a
// large zone it compares those alone whose turn it is, unless all of them are full or out of rotation.
func (s *Steerer) best(usual float64, local bool, turn int) *candidate {
	if s.own.Count < manyBalancers {
		return least(s.candidates, usual, local, span{})
	}
	total := 0
	for i := range s.candidates {
		if s.candidates[i].local == local {
			total++
		}
	}
	best := least(s.candidates, usual, local, s.own.span(total, turn))
	if best != nil && (best.full() || best.state.out) {
		return least(s.candidates, usual, local, span{})
	}
	return best
}

// least returns the candidate in or outside the own zone and in the span where a request
// is expected to take the least time, nil for none.
func least(candidates []candidate, usual float64, local bool, within span) *candidate {
	var least *candidate
	position := 0
	for i := range candidates {
		c := &candidates[i]
		if c.local != local {
			continue
		}
		position++
		if !within.has(position - 1) {
			continue
		}
		if least == nil || c.before(least, usual) {
			least = c
		}
	}
	return least
}
