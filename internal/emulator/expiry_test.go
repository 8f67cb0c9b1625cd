package emulator

import "testing"

// TestFirstReturningServersAreNotOverloaded guards against sending all flows to the few servers
// that are first to register after an outage in which all entries expired.
func TestFirstReturningServersAreNotOverloaded(t *testing.T) {
	t.Parallel()
	const seeds = 4
	scenario, _ := Find("lapse")
	mean := func(without Without) (busiest float64) {
		for seed := range uint64(seeds) {
			// Only new flows are placed, so each flow has one request.
			busiest += Run(Options{Scenario: scenario, Seed: 1 + seed, Traffic: 2, FlowCloseShare: 1, Without: without}).BusiestDuringReturn / seeds
		}
		return busiest
	}
	with, without := mean(Without{}), mean(Without{Lapsed: true})
	if with > 2.1 || without < 1.4*with {
		t.Errorf("busiest over mean %.2f, %.2f without the use of expired entries", with, without)
	}
	t.Logf("busiest over mean %.2f, %.2f without the use of expired entries", with, without)
}

// TestRestartedBalancersUseTheSnapshot guards against overloading the first servers to register
// when the balancers lost their state as well.
func TestRestartedBalancersUseTheSnapshot(t *testing.T) {
	t.Parallel()
	const seeds = 4
	scenario, _ := Find("lapse-power")
	mean := func(without Without) (busiest float64) {
		for seed := range uint64(seeds) {
			busiest += Run(Options{Scenario: scenario, Seed: 1 + seed, Traffic: 2, FlowCloseShare: 1, Without: without}).BusiestDuringReturn / seeds
		}
		return busiest
	}
	with, without := mean(Without{}), mean(Without{Snapshot: true})
	t.Logf("busiest over mean %.2f, %.2f without a snapshot", with, without)
	if with > 2.1 || without < 1.4*with {
		t.Errorf("busiest over mean %.2f, %.2f without a snapshot", with, without)
	}
}
