package emulator

import "testing"

// TestReusedPortDoesNotMixUpFlows guards against forwarding a flow to the server of an earlier one
// from the same port: routers moved the earlier flow away from a balancer, which did not see it
// close, and move the new one there.
func TestReusedPortDoesNotMixUpFlows(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		scenario  string
		balancers int
	}{{"ports-reused", 3}, {"ports-reused", 8}, {"ports-reused-lossy", 3}} {
		scenario, _ := Find(test.scenario)
		for seed := uint64(1); seed <= 4; seed++ {
			for _, violation := range Run(Options{Scenario: scenario, Seed: seed, BalancersPerZone: test.balancers}).Violations {
				t.Errorf("%s, %d balancers a zone, seed %d: %v", test.scenario, test.balancers, seed, violation)
			}
		}
	}
}
