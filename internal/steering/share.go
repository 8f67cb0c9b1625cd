package steering

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// Load is what balancers know of the work at a back end in the last seconds; each second
// takes a part of it away.
type Load struct {
	// Requests counts those that were begun, of which one that was left without an answer counts as
	// many, and Steady the same over a longer time, by which loads are kept even in large zones.
	Requests, Steady float64
	// Failures counts those that failed by the look of their answers.
	Failures float64
	// Answers counts the answers, and Time is the sum of the seconds until they came.
	Answers, Time float64
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{l.Requests + other.Requests, l.Steady + other.Steady, l.Failures + other.Failures, l.Answers + other.Answers, l.Time + other.Time}
}

// Fading is what a time leaves of loads.
type Decay struct {
	recent, steady float64
}

// FadingOver returns what a time leaves of loads. It costs two powers, and is meant for all loads
// that came in one hello.
func FadingOver(age time.Duration) Decay {
	return Decay{math.Pow(recentDecay, age.Seconds()), math.Pow(steadyDecay, age.Seconds())}
}

// Faded returns what is left of the load.
func (l Load) Faded(by Decay) Load {
	return Load{l.Requests * by.recent, l.Steady * by.steady, l.Failures * by.recent, l.Answers * by.recent, l.Time * by.recent}
}

// SetOthersLoad takes over what other balancers told of the work at each back end; loads is the
// steerer's from then on.
func (s *Steerer) SetOthersLoad(loads map[directory.Tag]Load) {
	for tag, load := range loads {
		load.Failures = min(load.Failures, mostFailures)
		loads[tag] = load
	}
	for id, state := range s.backends {
		if state.others = loads[directory.TagOf(id)]; state.deaf(s.pulse) {
			state.others = Load{}
		}
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
		if member := s.view.Member(id); member != nil {
			s.stateOf(member).hearDoubt(now)
		}
	}
}

// Doubted returns the back ends that this balancer found silent itself, at most count. Where packets get lost, a
// single opening packet without an answer is no word for others: one that has just started does not know of
// the loss, and would take it for a second sign.
func (s *Steerer) Doubted(now time.Duration, count int) []settings.BackendID {
	var doubted []settings.BackendID
	for id, state := range s.backends {
		if state.doubt > 0 && now < state.doubtUntil && !state.pool.lossy() || state.suspected(now) {
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
		if work := state.steadyWork(); work >= minReportedLoad {
			loads = append(loads, BackendLoad{id, Load{Requests: state.work(), Steady: work, Answers: state.answers.count, Time: state.answers.time}})
		}
	}
	slices.SortFunc(loads, func(a, b BackendLoad) int {
		return cmp.Or(cmp.Compare(b.Steady, a.Steady), cmp.Compare(a.Backend, b.Backend))
	})
	return loads[:min(count, len(loads))]
}

// Failures returns how many requests each back end failed lately through this balancer, those that
// failed the most first, at most count. Others hear of them at once.
func (s *Steerer) Failures(count int) []BackendLoad {
	var failing []BackendLoad
	for id, state := range s.backends {
		if state.failures >= minReportedLoad {
			failing = append(failing, BackendLoad{id, Load{Failures: state.failures}})
		}
	}
	slices.SortFunc(failing, func(a, b BackendLoad) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(a.Backend, b.Backend))
	})
	return failing[:min(count, len(failing))]
}

// BackendLoad is the recent work of one balancer at a back end.
type BackendLoad struct {
	Backend settings.BackendID
	Load
}

// leastLoad is the load below which others need not know of it.
const minReportedLoad = 0.1
