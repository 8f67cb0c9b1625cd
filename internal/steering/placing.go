package steering

import (
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/placement"
	"gaugeyard/internal/settings"
)

// placing is the decision on one new flow: what its filters and scorers read.
type placing struct {
	now   time.Duration
	hash  uint64
	group *settings.Group
	pool  *directory.Pool
	// limit is how new flows go to back ends of the group while these warm up.
	limit warmUp
	// avoid is the back end that a copy of an opening packet leaves, nil for none.
	avoid *backendState
	// usual is the usual time of an answer among the candidates, in seconds, 0 while unknown.
	typicalLatency float64
}

// filter is one concern that keeps new flows away from a back end: true leaves it out.
type filter func(s *Steerer, p *placing, member *directory.Member, state *backendState) bool

// scorer is one concern that weighs the candidates against each other. Scorers run in order, and
// a later one may read what an earlier one found.
type scorer func(s *Steerer, p *placing)

// tier is a list of back ends and the concerns that thin it out. A flow goes to a back end of the
// first tier that has any.
type tier struct {
	members func(pool *directory.Pool) []*directory.Member
	filters []filter
	// lapsed is set where back ends whose entries lapsed in an outage are candidates as well.
	includeExpired bool
}

// tiers are in order of preference: back ends that are well; those near their limit; those that are silent,
// where no other is left; those whose entries vanished moments ago, perhaps by mistake.
var tiers = []tier{
	{openMembers, []filter{filterCold, filterLeft, filterSilent, filterConnections}, true},
	{openMembers, []filter{filterCold, filterLeft, filterSilent, filterFull}, true},
	{openMembers, []filter{filterCold, filterFull}, false},
	{removedMembers, []filter{filterLapsed, filterCold, filterFull}, false},
}

// scorers fill the candidates: first the work at each, then what makes the same work more.
var scorers = []scorer{scoreLoad, scoreWarmUp, scoreFailures, scoreTypicalLatency, scoreSlowness, scoreTime}

func openMembers(pool *directory.Pool) []*directory.Member { return pool.Open }

func removedMembers(pool *directory.Pool) []*directory.Member { return pool.Left }

// gather makes those back ends candidates that a tier leaves, and tells whether there are any.
func (s *Steerer) gatherCandidates(tier int) bool {
	s.candidates = s.candidates[:0]
	from := &tiers[tier]
	for _, member := range from.members(s.placing.pool) {
		s.addCandidate(member, from.filters)
	}
	if from.includeExpired {
		s.addLapsed(from.filters)
	}
	return len(s.candidates) > 0
}

// addCandidate makes a back end a candidate that the filters leave.
func (s *Steerer) addCandidate(member *directory.Member, filters []filter) {
	state := s.observed(member)
	if s.filtered(filters, member, state) {
		return
	}
	s.candidates = append(s.candidates, candidate{
		member: member,
		state:  state,
		pace:   1,
		score:  placement.Score(s.placing.hash, member.ID, 1),
		local:  member.Zone == s.config.Zone,
	})
}

func (s *Steerer) filtered(filters []filter, member *directory.Member, state *backendState) bool {
	for _, leavesOut := range filters {
		if leavesOut(s, &s.placing, member, state) {
			return true
		}
	}
	return false
}

// score lets each concern weigh the candidates.
func (s *Steerer) scoreCandidates() {
	for _, weigh := range scorers {
		weigh(s, &s.placing)
	}
}
