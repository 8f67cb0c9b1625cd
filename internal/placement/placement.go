// Package placement decides which back end receives a new flow. It is pure: no
// clock, no input or output, no randomness but the hashes it is given.
package placement

import (
	"math"

	"gaugeyard/internal/settings"
)

// Candidate is one back end as the deciding node sees it.
type Candidate struct {
	ID settings.BackendID
	// Weight is the share from the settings tree. It decides the default
	// place, and must be the same on every node.
	Weight float64
	// Ramp scales the share that this node fills, in (0, 1]: slow start and
	// load reports lower it. It never changes the default place.
	Ramp float64
	// Flows is the node's own count of flows at the back end.
	Flows int
	// InFlight is the node's own count of requests at the back end.
	InFlight int
	// FlowLimit and InFlightLimit are the node's share of the back end's limits.
	FlowLimit, InFlightLimit int
	// Closed back ends (draining, quarantined) receive no new flow.
	Closed bool
}

// Mix combines two 64-bit values into one well-spread hash (SplitMix64 finalizer).
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Score is the weighted rendezvous score of a back end for a flow; the highest
// score is the default place.
func Score(hash uint64, id settings.BackendID, weight float64) float64 {
	uniform := (float64(Mix(hash, uint64(id))>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// Default returns the index of the flow's default place among the open
// candidates, or -1 when all are closed. It depends on identifiers, weights and
// Closed alone.
func Default(hash uint64, candidates []Candidate) int {
	best, bestScore := -1, math.Inf(-1)
	for i := range candidates {
		if candidates[i].Closed {
			continue
		}
		score := Score(hash, candidates[i].ID, candidates[i].Weight)
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// Result says how Choose decided.
type Result int

// The results of Choose.
const (
	// AtDefault means that the flow is at its default place.
	AtDefault Result = iota
	// Deviates means that load moved the flow from its default place.
	Deviates
	// NoneOpen means that no back end takes new flows.
	NoneOpen
	// FlowsFull means that every open back end holds its limit of flows.
	FlowsFull
	// InFlightFull means that every other open back end has its limit of requests.
	InFlightFull
)

// Choose picks the back end of a new flow by consistent hashing with bounded
// loads: the flow stays at its highest-scored back end whose flows and
// requests are at most loadFactor times its share of the mean. When no back
// end is within the bound, the least loaded one below its limits is taken.
func Choose(hash uint64, candidates []Candidate, loadFactor float64) (int, Result) {
	total := totals{}
	for i := range candidates {
		total.add(&candidates[i])
	}
	preferred := Default(hash, candidates)
	if preferred < 0 {
		return -1, NoneOpen
	}
	best, bestScore := -1, math.Inf(-1)
	least, leastLoad := -1, math.Inf(1)
	flowsFull := true
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Closed || candidate.Flows >= candidate.FlowLimit {
			continue
		}
		flowsFull = false
		if candidate.InFlight >= candidate.InFlightLimit {
			continue
		}
		if load := total.relativeLoad(candidate); load < leastLoad {
			least, leastLoad = i, load
		}
		score := Score(hash, candidate.ID, candidate.Weight)
		if score > bestScore && total.withinBound(candidate, loadFactor) {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		best = least
	}
	switch {
	case flowsFull:
		return -1, FlowsFull
	case best < 0:
		return -1, InFlightFull
	case best == preferred:
		return best, AtDefault
	}
	return best, Deviates
}

// totals sums what the open candidates hold.
type totals struct {
	flows, inFlight int
	share           float64
}

func (t *totals) add(candidate *Candidate) {
	if candidate.Closed {
		return
	}
	t.flows += candidate.Flows
	t.inFlight += candidate.InFlight
	t.share += candidate.Weight * candidate.Ramp
}

// withinBound tells whether one more flow and request keep the candidate at
// most factor above its share. Ceil admits one flow when counts are small.
func (t *totals) withinBound(candidate *Candidate, factor float64) bool {
	share := candidate.Weight * candidate.Ramp / t.share
	flowBound := math.Ceil(factor * share * float64(t.flows+1))
	requestBound := math.Ceil(factor * share * float64(t.inFlight+1))
	return float64(candidate.Flows+1) <= flowBound && float64(candidate.InFlight+1) <= requestBound
}

// relativeLoad is the candidate's load after one more flow, relative to its share.
func (t *totals) relativeLoad(candidate *Candidate) float64 {
	share := candidate.Weight * candidate.Ramp / t.share
	return float64(candidate.InFlight+1)/share + float64(candidate.Flows+1)/share/float64(t.flows+1)
}
