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
	preferred := Default(hash, candidates(5))
	cases := []struct {
		guards string
		change func([]Candidate)
		result Result
		index  int
	}{
		{"an empty fleet gives the default", func([]Candidate) {}, AtDefault, preferred},
		{"a loaded default is left", func(c []Candidate) { c[preferred].Flows = 10 }, Deviates, -2},
		{"a closed default counts for nothing", func(c []Candidate) { c[preferred].Closed = true }, AtDefault, -2},
		{"a default without room for requests is left", func(c []Candidate) { c[preferred].InFlightLimit = 0 }, Deviates, -2},
		{"nothing open", func(c []Candidate) {
			for i := range c {
				c[i].Closed = true
			}
		}, NoneOpen, -1},
		{"every back end full of flows", func(c []Candidate) {
			for i := range c {
				c[i].FlowLimit = 0
			}
		}, FlowsFull, -1},
		{"every back end full of requests", func(c []Candidate) {
			for i := range c {
				c[i].InFlightLimit = 0
			}
		}, InFlightFull, -1},
	}
	for _, c := range cases {
		list := candidates(5)
		c.change(list)
		index, result := Choose(hash, list, 1.05)
		if result != c.result || c.index == -2 && index == preferred || c.index != -2 && index != c.index {
			t.Errorf("%s: index %d, result %v", c.guards, index, result)
		}
	}
}

// TestBoundedLoads guards the dial: no back end rises above its bound.
func TestBoundedLoads(t *testing.T) {
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

// TestDefaultMovesLittle guards flows against a change of the back-end set:
// a new back end takes only its own share.
func TestDefaultMovesLittle(t *testing.T) {
	before, after := candidates(14), candidates(15)
	moved := 0
	for flow := range 10000 {
		hash := Mix(uint64(flow), 3)
		if a, b := Default(hash, before), Default(hash, after); a != b {
			moved++
			if b != 14 {
				t.Fatalf("a flow moved between back ends that stayed")
			}
		}
	}
	if moved < 500 || moved > 850 {
		t.Errorf("%d of 10000 moved; a fifteenth is 667", moved)
	}
}
