package emulator

import (
	"math"
	"testing"
)

// TestAMutePartIsNoticedByManyBalancers guards against slow detection of a failing group in large
// fleets, where each balancer sees few of its requests and needs several unanswered ones of its
// own.
func TestAMutePartIsNoticedByManyBalancers(t *testing.T) {
	t.Parallel()
	found, _ := Find("split-mute")
	for seed := uint64(1); seed <= 2; seed++ {
		result := Run(Options{Scenario: found, Seed: seed, BalancersPerZone: 8})
		if result.LookupsWithinTarget < 0.95 {
			t.Errorf("seed %d: %.3f of the split route's requests were answered within their latency target", seed, result.LookupsWithinTarget)
		}
	}
}

// TestSharesAfterFaults checks that after a fault of a group, or a shift of its weight, the shares
// follow the weights again, and that the other group served the requests meanwhile.
func TestSharesAfterFaults(t *testing.T) {
	t.Parallel()
	for scenario, c := range map[string]struct {
		perZone         int
		minWithinTarget float64
	}{"split-dark": {8, 0.95}, "split-mute": {3, 0.95}, "split-empty": {8, 0.98}, "split-release": {8, 0.98}, "split-shift": {8, 0.98}} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			found, _ := Find(scenario)
			const seeds = 2
			small, lookups := 0.0, 0.0
			for seed := uint64(1); seed <= seeds; seed++ {
				result := Run(Options{Scenario: found, Seed: seed, BalancersPerZone: c.perZone})
				if len(result.Violations) > 0 {
					t.Errorf("seed %d: %+v", seed, result.Violations[0])
				}
				small += result.SmallShare / seeds
				lookups += result.LookupsWithinTarget / seeds
			}
			if math.Abs(small-0.3) > 0.02 {
				t.Errorf("the group with weight 0.3 received %.3f of the requests", small)
			}
			if lookups < c.minWithinTarget {
				t.Errorf("%.3f of the split route's requests were answered within their latency target", lookups)
			}
			t.Logf("share %.3f, lookups within target %.3f", small, lookups)
		})
	}
}
