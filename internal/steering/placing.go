package steering

import (
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/placement"
	"gaugeyard/internal/settings"
)

// placementState holds what filters and scorers read for the placement of one flow.
type placementState struct {
	now   time.Duration
	hash  uint64
	group *settings.Group
	pool  *directory.Pool
	// limit bounds the new flows to back ends of the group that are warming up.
	limit warmUp
	// avoid is the back end that a copy of an opening packet moves away from, or nil.
	avoid *backendState
	// typicalLatency is the typical latency of the candidates in seconds, 0 while unknown.
	typicalLatency float64
}

// filter reports whether a back end is excluded from a placement.
type filter func(s *Steerer, p *placementState, member *directory.Member, state *backendState) bool

// scorer fills in one value of all candidates. Scorers run in order, and a later one may read what
// an earlier one filled in.
type scorer func(s *Steerer, p *placementState)

// tier is a list of back ends and the filters that apply to it. A flow goes to the first tier that
// has a candidate.
type tier struct {
	members func(pool *directory.Pool) []*directory.Member
	filters []filter
	// includeExpired adds back ends whose entries expired in an outage of the store.
	includeExpired bool
}

// tiers are in order of preference: healthy back ends, those near their limit of flows,
// unresponsive ones, and those whose entries were removed recently, perhaps by mistake.
var tiers = []tier{
	{openMembers, []filter{filterWarmingUp, filterPrevious, filterUnresponsive, filterConnections}, true},
	{openMembers, []filter{filterWarmingUp, filterPrevious, filterUnresponsive, filterFull}, true},
	{openMembers, []filter{filterWarmingUp, filterFull}, false},
	{removedMembers, []filter{filterPastGrace, filterWarmingUp, filterFull}, false},
}

// scorers set the load first, then what makes the same load slower.
var scorers = []scorer{scoreLoad, scoreWarmUp, scoreFailures, scoreTypicalLatency, scoreSlowdown, scoreTime}

func openMembers(pool *directory.Pool) []*directory.Member { return pool.Open }

func removedMembers(pool *directory.Pool) []*directory.Member { return pool.Removed }

// gatherCandidates collects the back ends of a tier, and reports whether there are any.
func (s *Steerer) gatherCandidates(tier int) bool {
	s.candidates = s.candidates[:0]
	t := &tiers[tier]
	for _, member := range t.members(s.placement.pool) {
		s.addCandidate(member, t.filters)
	}
	if t.includeExpired {
		s.addExpired(t.filters)
	}
	return len(s.candidates) > 0
}

// addCandidate adds a back end if it passes the filters.
func (s *Steerer) addCandidate(member *directory.Member, filters []filter) {
	state := s.observedState(member)
	if s.filtered(filters, member, state) {
		return
	}
	s.candidates = append(s.candidates, candidate{
		member:    member,
		state:     state,
		slowdown:  1,
		hashScore: placement.Score(s.placement.hash, member.ID, 1),
		local:     member.Zone == s.config.Zone,
	})
}

func (s *Steerer) filtered(filters []filter, member *directory.Member, state *backendState) bool {
	for _, excludes := range filters {
		if excludes(s, &s.placement, member, state) {
			return true
		}
	}
	return false
}

// scoreCandidates runs all scorers.
func (s *Steerer) scoreCandidates() {
	for _, score := range scorers {
		score(s, &s.placement)
	}
}
