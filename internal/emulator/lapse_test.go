package emulator

import "testing"

// TestFewThatAreBackFirstDoNotTakeEverything: entries that lapsed in an outage are back one by one.
func TestFewThatAreBackFirstDoNotTakeEverything(t *testing.T) {
	t.Parallel()
	const seeds = 4
	scenario, _ := Find("lapse")
	mean := func(without Without) (busiest float64) {
		for seed := range uint64(seeds) {
			// Flows of one request each, since only new flows can be placed.
			busiest += Run(Options{Scenario: scenario, Seed: 1 + seed, Traffic: 2, Leave: 1, Without: without}).BusiestBack / seeds
		}
		return busiest
	}
	with, without := mean(Without{}), mean(Without{Lapsed: true})
	if with > 2.1 || without < 1.4*with {
		t.Errorf("busiest over mean %.2f, %.2f where lapsed servers are left alone", with, without)
	}
	t.Logf("busiest over mean %.2f, %.2f where lapsed servers are left alone", with, without)
}

// TestBalancersThatLostAllFindServersInTheSnapshot, and do not crowd those that are back first.
func TestBalancersThatLostAllFindServersInTheSnapshot(t *testing.T) {
	t.Parallel()
	const seeds = 4
	scenario, _ := Find("lapse-power")
	mean := func(without Without) (busiest float64) {
		for seed := range uint64(seeds) {
			busiest += Run(Options{Scenario: scenario, Seed: 1 + seed, Traffic: 2, Leave: 1, Without: without}).BusiestBack / seeds
		}
		return busiest
	}
	with, without := mean(Without{}), mean(Without{Snapshot: true})
	t.Logf("busiest over mean %.2f, %.2f without a snapshot", with, without)
	if with > 2.1 || without < 1.4*with {
		t.Errorf("busiest over mean %.2f, %.2f without a snapshot", with, without)
	}
}
