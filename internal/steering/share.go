package steering

import (
	"cmp"
	"slices"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// Load is what balancers know of the work at a back end in the last seconds; each second
// takes a part of it away.
type Load struct {
	// Requests counts those that were begun; one that was left without an answer counts as many.
	Requests float64
	// Answers counts the answers, and Time is the sum of the seconds until they came.
	Answers, Time float64
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{l.Requests + other.Requests, l.Answers + other.Answers, l.Time + other.Time}
}

// Times returns the load multiplied by a factor.
func (l Load) Times(factor float64) Load {
	return Load{l.Requests * factor, l.Answers * factor, l.Time * factor}
}

// SetOthersLoad takes over what other balancers told of the work at each back end.
func (s *Steerer) SetOthersLoad(loads map[directory.Tag]Load) {
	for id, state := range s.backends {
		state.others = loads[directory.TagOf(id)]
	}
	for tag, load := range loads {
		for _, member := range s.view.Tagged(tag) {
			if s.backends[member.ID] == nil {
				s.newState(member).others = load
			}
		}
	}
}

// SetPlace takes over where this balancer stands among those of its zone.
func (s *Steerer) SetPlace(place Place) { s.own = place }

// SetOthersDoubts takes over which back ends other balancers doubt at present.
func (s *Steerer) SetOthersDoubts(now time.Duration, doubted []settings.BackendID) {
	for _, id := range doubted {
		if state := s.backends[id]; state != nil {
			state.hearDoubt(now)
		}
	}
}

// Doubted returns the back ends that this balancer found silent itself, at most count.
func (s *Steerer) Doubted(now time.Duration, count int) []settings.BackendID {
	var doubted []settings.BackendID
	for id, state := range s.backends {
		if state.doubt > 0 && now < state.doubtUntil || state.suspected(now) {
			doubted = append(doubted, id)
		}
	}
	slices.Sort(doubted)
	return doubted[:min(count, len(doubted))]
}

// RecentLoad returns how much work this balancer gave to each back end lately, the largest
// first, at most count.
func (s *Steerer) RecentLoad(count int) []BackendLoad {
	var loads []BackendLoad
	for id, state := range s.backends {
		if work := state.work(); work >= leastLoad {
			loads = append(loads, BackendLoad{id, Load{work, state.answers.count, state.answers.time}})
		}
	}
	slices.SortFunc(loads, func(a, b BackendLoad) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Backend, b.Backend))
	})
	return loads[:min(count, len(loads))]
}

// BackendLoad is the recent work of one balancer at a back end.
type BackendLoad struct {
	Backend settings.BackendID
	Load
}

// leastLoad is the load below which others need not know of it.
const leastLoad = 0.1
