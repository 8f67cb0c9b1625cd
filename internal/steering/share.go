package steering

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// Load is the recent load at a back end. All counts decay each second.
type Load struct {
	// Requests counts the requests that were sent. One that stayed unanswered counts as several.
	// Steady is the same over a longer time, by which loads are balanced in large zones.
	Requests, Steady float64
	// Failures counts the requests whose responses look like failures.
	Failures float64
	// Answers counts the responses, and TotalLatency is the sum of their latencies in seconds.
	Answers, TotalLatency float64
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{l.Requests + other.Requests, l.Steady + other.Steady, l.Failures + other.Failures, l.Answers + other.Answers, l.TotalLatency + other.TotalLatency}
}

// Decay holds the factors that age a load by some time.
type Decay struct {
	recent, steady float64
}

// DecayOver returns the factors for an age. Compute them once for all loads of a hello: they cost
// two exponentiations.
func DecayOver(age time.Duration) Decay {
	return Decay{math.Pow(recentDecay, age.Seconds()), math.Pow(steadyDecay, age.Seconds())}
}

// Decayed returns the load after decay.
func (l Load) Decayed(by Decay) Load {
	return Load{l.Requests * by.recent, l.Steady * by.steady, l.Failures * by.recent, l.Answers * by.recent, l.TotalLatency * by.recent}
}

// SetPeerLoads replaces the loads that other balancers reported for each back end. The steerer
// owns the map from then on and may change it.
func (s *Steerer) SetPeerLoads(loads map[directory.Tag]Load) {
	for tag, load := range loads {
		load.Failures = min(load.Failures, maxReportedFailures)
		loads[tag] = load
	}
	for id, state := range s.backends {
		if state.others = loads[directory.TagOf(id)]; state.ignoresReports(s.pulse) {
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

// SetMembership sets this balancer's position among those of its zone.
func (s *Steerer) SetMembership(membership Membership) { s.membership = membership }

// ReceiveSuspects marks the back ends that other balancers suspect at present.
func (s *Steerer) ReceiveSuspects(now time.Duration, suspects []settings.BackendID) {
	for _, id := range suspects {
		if member := s.view.Member(id); member != nil {
			s.stateOf(member).receiveSuspect(now)
		}
	}
}

// Suspects returns at most count back ends that this balancer itself found unresponsive. Under
// packet loss a single unanswered opening packet is left out: a receiver that does not know of the
// loss would count it as a confirmation.
func (s *Steerer) Suspects(now time.Duration, count int) []settings.BackendID {
	var suspects []settings.BackendID
	for id, state := range s.backends {
		if state.suspectPeriod > 0 && now < state.suspectUntil && !state.pool.lossy() || state.isUnresponsive(now) {
			suspects = append(suspects, id)
		}
	}
	slices.Sort(suspects)
	return suspects[:min(count, len(suspects))]
}

// RecentLoad returns the recent load of this balancer at each back end, largest first, at most
// count.
func (s *Steerer) RecentLoad(count int) []BackendLoad {
	var loads []BackendLoad
	for id, state := range s.backends {
		if steady := state.steadyLoad(); steady >= minReportedLoad {
			loads = append(loads, BackendLoad{id, Load{Requests: state.recentLoad(), Steady: steady, Answers: state.answers.count, TotalLatency: state.answers.totalLatency}})
		}
	}
	slices.SortFunc(loads, func(a, b BackendLoad) int {
		return cmp.Or(cmp.Compare(b.Steady, a.Steady), cmp.Compare(a.Backend, b.Backend))
	})
	return loads[:min(count, len(loads))]
}

// Failures returns the recent failures of each back end through this balancer, largest first, at
// most count. They are reported at once.
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

// BackendLoad is the recent load of one balancer at a back end.
type BackendLoad struct {
	Backend settings.BackendID
	Load
}

// minReportedLoad is the load below which nothing is reported.
const minReportedLoad = 0.1
