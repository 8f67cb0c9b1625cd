package placement

import (
	"testing"

	"gaugeyard/internal/settings"
)

func candidates(count int) []Candidate {
	list := make([]Candidate, count)
	for i := range list {
		list[i] = Candidate{ID: settings.BackendID(i + 1), Weight: 1, Ramp: 1, FlowLimit: 1 << 20, InFlightLimit: 1 << 20}
	}
	return list
}

func TestChoose(t *testing.T) {
	const hash = 42
	preferred := Preferred(hash, candidates(5))
	cases := []struct {
		name   string
		change func([]Candidate)
		result Result
		index  int
	}{
		{"no load chooses the preferred back end", func([]Candidate) {}, AtPreferred, preferred},
		{"a loaded preferred back end diverts the flow", func(c []Candidate) { c[preferred].Flows = 10 }, Diverted, -2},
		{"a closed back end is not preferred", func(c []Candidate) { c[preferred].Closed = true }, AtPreferred, -2},
		{"a preferred back end at its request limit diverts the flow", func(c []Candidate) { c[preferred].InFlightLimit = 0 }, Diverted, -2},
		{"every back end closed", func(c []Candidate) {
			for i := range c {
				c[i].Closed = true
			}
		}, NoneOpen, -1},
		{"every back end at its flow limit", func(c []Candidate) {
			for i := range c {
				c[i].FlowLimit = 0
			}
		}, FlowLimitReached, -1},
		{"every back end at its request limit", func(c []Candidate) {
			for i := range c {
				c[i].InFlightLimit = 0
			}
		}, InFlightLimitReached, -1},
	}
	for _, c := range cases {
		list := candidates(5)
		c.change(list)
		index, result := Choose(hash, list, 1.05)
		if result != c.result || c.index == -2 && index == preferred || c.index != -2 && index != c.index {
			t.Errorf("%s: index %d, result %v", c.name, index, result)
		}
	}
}

// TestChooseBoundsLoad checks that no back end exceeds loadFactor times its share.
func TestChooseBoundsLoad(t *testing.T) {
	for _, factor := range []float64{1, 1.05, 1.25} {
		list := candidates(14)
		for flow := range 5000 {
			index, _ := Choose(Mix(uint64(flow), 9), list, factor)
			list[index].Flows++
		}
		for i := range list {
			if bound := factor*5000/14 + 1; float64(list[i].Flows) > bound {
				t.Errorf("factor %v: %d flows, bound %v", factor, list[i].Flows, bound)
			}
		}
	}
}

// TestAddedBackendTakesOnlyItsShare checks that an added back end moves flows only
// to itself, about its share of them.
func TestAddedBackendTakesOnlyItsShare(t *testing.T) {
	before, after := candidates(14), candidates(15)
	moved := 0
	for flow := range 10000 {
		hash := Mix(uint64(flow), 3)
		if a, b := Preferred(hash, before), Preferred(hash, after); a != b {
			moved++
			if b != 14 {
				t.Fatalf("a flow moved between existing back ends")
			}
		}
	}
	if moved < 500 || moved > 850 {
		t.Errorf("%d of 10000 flows moved, want about 667", moved)
	}
}
