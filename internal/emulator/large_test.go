package emulator

import "testing"

// TestLoadsAreEvenInALargeZone, where each balancer sees few of the flows, hears of half of the others
// seldom, and flows that stay differ in how often they ask.
func TestLoadsAreEvenInALargeZone(t *testing.T) {
	t.Parallel()
	const seeds = 2
	scenario, _ := Find("calm")
	spread := func(without Without) float64 {
		sum := 0.0
		for seed := range uint64(seeds) {
			result := Run(Options{
				Scenario: scenario, Seed: 1 + seed, Without: without, Zones: 1, BalancersPerZone: 28,
				Servers: 8, Traffic: 3.6, Leave: 0.1, Varied: true,
			})
			sum += result.Spread / seeds
		}
		return sum
	}
	with, hashed := spread(Without{}), spread(Without{Load: true})
	if with > 0.18 || with > 0.7*hashed {
		t.Errorf("the spread of requests over back ends is %.3f, by hash alone %.3f", with, hashed)
	}
	t.Logf("spread %.3f, by hash alone %.3f", with, hashed)
}
