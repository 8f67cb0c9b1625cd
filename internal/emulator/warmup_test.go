package emulator

import (
	"fmt"
	"slices"
	"testing"
)

// warmUpOptions returns a load that far exceeds what a zone's servers may receive during warm-up.
func warmUpOptions(t *testing.T, name string, balancers int) Options {
	t.Helper()
	scenario, found := Find(name)
	if !found {
		t.Fatalf("no scenario %q", name)
	}
	return Options{Scenario: scenario, Seed: 1, BalancersPerZone: balancers, Servers: 2, Traffic: 6}
}

// TestWarmUpLimitHolds guards against exceeding the warm-up rate in zones with few and with many
// balancers.
func TestWarmUpLimitHolds(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"cold-return", "cold-return-kill", "cold-return-split", "cold-return-restart", "cold-evacuation"} {
		for _, balancers := range []int{1, 3, 14} {
			t.Run(fmt.Sprintf("%s, %d balancers a zone", name, balancers), func(t *testing.T) {
				t.Parallel()
				limited := Run(warmUpOptions(t, name, balancers))
				for _, violation := range limited.Violations {
					t.Error(violation)
				}
				if limited.Checks[ruleWarmUp] == 0 {
					t.Error("no flow reached a server during its warm-up")
				}
			})
		}
		t.Run(name+", without the limit", func(t *testing.T) {
			t.Parallel()
			options := warmUpOptions(t, name, 3)
			options.Without = Without{WarmUpLimit: true}
			for ; options.Seed <= maxSeeds; options.Seed++ {
				without := Run(options)
				if !slices.Contains(without.BrokenRules(), ruleWarmUp) {
					continue
				}
				options.Without = Without{}
				if with := Run(options); len(with.Violations) > 0 {
					t.Errorf("seed %d: violation with the limit: %v", options.Seed, with.Violations[0])
				}
				return
			}
			t.Errorf("no violation without the limit in %d seeds", maxSeeds)
		})
	}
}

// TestEvenWarmUpShareExceedsLimit shows why only some balancers of a large zone place flows at a
// server that is warming up: an even share of the rate for each one exceeds the limit.
func TestEvenWarmUpShareExceedsLimit(t *testing.T) {
	t.Parallel()
	options := warmUpOptions(t, "cold-return", 28)
	if limited := Run(options); len(limited.Violations) > 0 {
		t.Errorf("violation with a subset of balancers for each server: %v", limited.Violations[0])
	}
	options.Without = Without{WarmUpPlacers: true}
	if even := Run(options); !slices.Contains(even.BrokenRules(), ruleWarmUp) {
		t.Error("no violation with an even share")
	}
}
