package emulator

import "testing"

// TestLoadIsEvenInALargeZone covers a zone in which each balancer sees few of the flows and rarely
// receives hellos from half of its peers, and long-lived flows differ in their request rates.
func TestLoadIsEvenInALargeZone(t *testing.T) {
	t.Parallel()
	const seeds = 2
	scenario, _ := Find("calm")
	spread := func(without Without) float64 {
		sum := 0.0
		for seed := range uint64(seeds) {
			result := Run(Options{
				Scenario: scenario, Seed: 1 + seed, Without: without, Zones: 1, BalancersPerZone: 28,
				Servers: 8, Traffic: 3.6, FlowCloseShare: 0.1, VariedPauses: true,
			})
			sum += result.Spread / seeds
		}
		return sum
	}
	with, byHash := spread(Without{}), spread(Without{Load: true})
	if with > 0.18 || with > 0.7*byHash {
		t.Errorf("the spread of requests over back ends is %.3f, by hash alone %.3f", with, byHash)
	}
	t.Logf("spread %.3f, by hash alone %.3f", with, byHash)
}
