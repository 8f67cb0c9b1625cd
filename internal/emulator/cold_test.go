package emulator

import (
	"fmt"
	"slices"
	"testing"
)

// coldOptions are a load at which a zone's servers would be given many times what they may get while
// they warm up.
func coldOptions(t *testing.T, name string, balancers int) Options {
	t.Helper()
	scenario, found := Find(name)
	if !found {
		t.Fatalf("no scenario %q", name)
	}
	return Options{Scenario: scenario, Seed: 1, BalancersPerZone: balancers, Servers: 2, Traffic: 6}
}

// TestColdServersGetNoMoreThanTheirLimit, in zones of few and of many balancers.
func TestColdServersGetNoMoreThanTheirLimit(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"cold-return", "cold-return-kill", "cold-return-split", "cold-return-restart", "cold-evacuation"} {
		for _, balancers := range []int{1, 3, 14} {
			t.Run(fmt.Sprintf("%s, %d balancers a zone", name, balancers), func(t *testing.T) {
				t.Parallel()
				limited := Run(coldOptions(t, name, balancers))
				for _, violation := range limited.Violations {
					t.Error(violation)
				}
				if limited.Checks[ruleWarmUp] == 0 {
					t.Error("no flow reached a cold server")
				}
			})
		}
		t.Run(name+", without the limit", func(t *testing.T) {
			t.Parallel()
			options := coldOptions(t, name, 3)
			options.Without = Without{WarmUpLimit: true}
			if without := Run(options); !slices.Contains(without.Broken(), ruleWarmUp) {
				t.Error("without the limit nothing breaks")
			}
		})
	}
}

// TestAnEvenShareOfTheLimitIsTooMuch where a zone has many balancers: that is why few of them place
// flows at a cold server.
func TestAnEvenShareOfTheLimitIsTooMuch(t *testing.T) {
	t.Parallel()
	options := coldOptions(t, "cold-return", 28)
	if limited := Run(options); len(limited.Violations) > 0 {
		t.Errorf("with few balancers for each server: %v", limited.Violations[0])
	}
	options.Without = Without{WarmUpPlacers: true}
	if even := Run(options); !slices.Contains(even.Broken(), ruleWarmUp) {
		t.Error("with an even share nothing breaks")
	}
}
