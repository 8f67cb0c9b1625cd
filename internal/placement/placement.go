// Package placement selects the back end of a new flow. Its results depend only
// on the arguments: it has no clock, no input or output and no randomness.
package placement

import (
	"math"

	"gaugeyard/internal/settings"
)

// Candidate is a back end as the selecting node sees it.
type Candidate struct {
	ID settings.BackendID
	// Weight is the weight from the settings tree. It determines the preferred
	// back end and must be the same on every node.
	Weight float64
	// Ramp scales the back end's share on this node, in (0, 1]. Slow start and
	// load reports lower it. It never changes the preferred back end.
	Ramp float64
	// Flows is the number of this node's flows pinned to the back end.
	Flows int
	// InFlight is the number of this node's requests in flight to the back end.
	InFlight int
	// FlowLimit and InFlightLimit are this node's shares of the back end's limits.
	FlowLimit, InFlightLimit int
	// Closed back ends (draining, quarantined) receive no new flow.
	Closed bool
}

// Mix hashes two 64-bit values into one with the SplitMix64 finalizer.
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Score returns the weighted rendezvous score of a back end for a flow. The back
// end with the highest score is the preferred one.
func Score(hash uint64, id settings.BackendID, weight float64) float64 {
	uniform := (float64(Mix(hash, uint64(id))>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// Preferred returns the index of the open candidate with the highest score, or
// -1 when all are closed. It depends only on ID, Weight and Closed.
func Preferred(hash uint64, candidates []Candidate) int {
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

// Result is the outcome of Choose.
type Result int

// The results of Choose.
const (
	// AtPreferred means that the preferred back end was chosen.
	AtPreferred Result = iota
	// Diverted means that load or a limit ruled out the preferred back end.
	Diverted
	// NoneOpen means that every candidate is closed.
	NoneOpen
	// FlowLimitReached means that every open back end is at its flow limit.
	FlowLimitReached
	// InFlightLimitReached means that every open back end below its flow limit is
	// at its limit of requests in flight.
	InFlightLimitReached
)

// Choose selects the back end of a new flow by consistent hashing with bounded
// loads: the highest-scored candidate below its limits whose flows and requests
// stay within loadFactor times its share. When none is within that bound, it
// selects the least loaded candidate below its limits. The index is -1 when no
// candidate is available.
func Choose(hash uint64, candidates []Candidate, loadFactor float64) (int, Result) {
	sum := totals{}
	for i := range candidates {
		sum.add(&candidates[i])
	}
	preferred := Preferred(hash, candidates)
	if preferred < 0 {
		return -1, NoneOpen
	}
	best, bestScore := -1, math.Inf(-1)
	leastLoaded, leastLoad := -1, math.Inf(1)
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
		if load := sum.relativeLoad(candidate); load < leastLoad {
			leastLoaded, leastLoad = i, load
		}
		score := Score(hash, candidate.ID, candidate.Weight)
		if score > bestScore && sum.withinBound(candidate, loadFactor) {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		best = leastLoaded
	}
	switch {
	case flowsFull:
		return -1, FlowLimitReached
	case best < 0:
		return -1, InFlightLimitReached
	case best == preferred:
		return best, AtPreferred
	}
	return best, Diverted
}

// totals are the sums over the open candidates.
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

// withinBound reports whether the candidate stays within factor times its share
// after one more flow and request. Rounding up admits one flow when counts are small.
func (t *totals) withinBound(candidate *Candidate, factor float64) bool {
	share := candidate.Weight * candidate.Ramp / t.share
	flowBound := math.Ceil(factor * share * float64(t.flows+1))
	requestBound := math.Ceil(factor * share * float64(t.inFlight+1))
	return float64(candidate.Flows+1) <= flowBound && float64(candidate.InFlight+1) <= requestBound
}

// relativeLoad returns the candidate's load after one more flow and request,
// relative to its share.
func (t *totals) relativeLoad(candidate *Candidate) float64 {
	share := candidate.Weight * candidate.Ramp / t.share
	return float64(candidate.InFlight+1)/share + float64(candidate.Flows+1)/share/float64(t.flows+1)
}
