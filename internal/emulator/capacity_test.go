package emulator

import (
	"testing"

	"gaugeyard/internal/peers"
)

// TestHighCapacityMachinesCallTheStore checks that small machines make few calls to the store, and
// that no rule breaks when the high-capacity ones are down, partitioned or rejected.
func TestHighCapacityMachinesCallTheStore(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		// maxShare is the largest allowed share of store calls that small machines make.
		maxShare float64
	}{
		{"calm", 0.05}, {"release", 0.05}, {"config-storm", 0.05}, {"cold-return", 0.05}, {"balancer-kill", 0.6},
		{"kill-all", 1}, {"cut-sources", 1}, {"store-cut", 1}, {"store-turns-away", 1}, {"store-silent", 1}, {"able-lost", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			scenario, found := Find(test.name)
			if !found {
				t.Fatalf("no scenario %q", test.name)
			}
			for seed := range uint64(2) {
				w := simulate(Options{Scenario: scenario, Seed: seed + 1, BalancersPerZone: 9, HighCapacityPerZone: 1})
				for _, violation := range w.observer.violations {
					t.Errorf("seed %d: %v", seed+1, violation)
				}
				calls, small := 0, 0
				for _, n := range w.nodes {
					calls += n.storeCalls
					if n.capacity < peers.CapacityHigh {
						small += n.storeCalls
					}
				}
				share := float64(small) / float64(calls)
				if share > test.maxShare {
					t.Errorf("seed %d: small machines make %d of %d calls to the store", seed+1, small, calls)
				}
				t.Logf("seed %d: small machines make %.3f of %d calls to the store", seed+1, share, calls)
			}
		})
	}
}
