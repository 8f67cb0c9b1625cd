package emulator

import (
	"reflect"
	"slices"
	"testing"
)

// TestRulesHoldInEveryScenario covers both kinds of routers.
func TestRulesHoldInEveryScenario(t *testing.T) {
	t.Parallel()
	for _, scenario := range Scenarios {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 3; seed++ {
				result := Run(Options{Scenario: scenario, Seed: seed, Steady: seed%2 == 0})
				for _, violation := range result.Violations {
					t.Errorf("seed %d: %v", seed, violation)
				}
				for _, rule := range []string{ruleRoute, ruleDrain, ruleConfig, ruleFlow, ruleRunOnce, ruleMixed, ruleLost} {
					if result.Checks[rule] == 0 {
						t.Errorf("seed %d: rule %s was never checked", seed, rule)
					}
				}
			}
		})
	}
}

// TestNoSecondServerAnswersWhenAnswersAreLost guards against sending a copy of an opening packet to
// a second server, be it on a peer's suspicion (77, 78, 264, 317), after routers moved the flow to
// a balancer that does not know it (193, 296), or while the loss rate is still unknown (22).
func TestNoSecondServerAnswersWhenAnswersAreLost(t *testing.T) {
	t.Parallel()
	scenario, _ := Find("lossy-answers")
	for _, seed := range []uint64{22, 77, 78, 193, 264, 296, 317} {
		for _, violation := range Run(Options{Scenario: scenario, Seed: seed}).Violations {
			t.Errorf("seed %d: %v", seed, violation)
		}
	}
}

// TestRulesHoldInLargeZones covers zones in which most balancers leave the store to a few when it
// fails.
func TestRulesHoldInLargeZones(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"store-silent", "store-cut", "store-turns-away", "cut-sources", "connections-silent", "evacuate-dark"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scenario, found := Find(name)
			if !found {
				t.Fatalf("no scenario %q", name)
			}
			for _, violation := range Run(Options{Scenario: scenario, Seed: 1, BalancersPerZone: 14}).Violations {
				t.Error(violation)
			}
		})
	}
}

// TestOldStateIsNotTakenForFresh guards against changes that take effect past the bounds since the balancer that the others
// follow, or one between, read an answer late and passed it on as fresh.
func TestOldStateIsNotTakenForFresh(t *testing.T) {
	t.Parallel()
	scenario, _ := Find("source-freezes-twice")
	for _, test := range []struct {
		balancers int
		seeds     []uint64
	}{{3, []uint64{3, 4, 5, 6, 10, 11}}, {8, []uint64{1, 16, 25, 29}}, {20, []uint64{3, 6}}} {
		for _, seed := range test.seeds {
			for _, violation := range Run(Options{Scenario: scenario, Seed: seed, BalancersPerZone: test.balancers}).Violations {
				t.Errorf("%d balancers a zone, seed %d: %v", test.balancers, seed, violation)
			}
		}
	}
}

// TestServedShare bounds what each scenario may cost, which detects a mechanism that stops working
// without breaking a rule. Results vary between seeds, so it checks the mean of several; scenarios
// with a wider spread use more seeds.
func TestServedShare(t *testing.T) {
	t.Parallel()
	const defaultSeeds = 8
	for _, test := range []struct {
		scenario             string
		withinTarget, served float64
		seeds                int
	}{
		{"calm", 0.995, 1, defaultSeeds},
		{"rolling-restart", 0.99, 0.999, defaultSeeds},
		{"servers-differ", 0.99, 0.999, defaultSeeds},
		{"release", 0.99, 0.999, defaultSeeds},
		{"release-quiet", 0.99, 0.999, defaultSeeds},
		{"config-storm", 0.99, 0.999, defaultSeeds},
		{"store-silent", 0.99, 0.999, defaultSeeds},
		{"store-busy", 0.99, 0.999, defaultSeeds},
		{"store-lapse", 0.99, 0.999, defaultSeeds},
		{"start-in-outage", 0.99, 0.999, defaultSeeds},
		{"server-crash", 0.98, 0.99, defaultSeeds},
		{"balancer-kill", 0.985, 0.999, defaultSeeds},
		{"kill-all", 0.96, 0.99, 3 * defaultSeeds},
		{"evacuate", 0.99, 0.999, defaultSeeds},
		{"evacuate-compact", 0.99, 0.999, defaultSeeds},
		{"evacuate-cut", 0.98, 0.999, defaultSeeds},
	} {
		t.Run(test.scenario, func(t *testing.T) {
			t.Parallel()
			var meanWithinTarget, served float64
			for seed := range test.seeds {
				result := runNamed(t, test.scenario, 1+uint64(seed), Without{})
				meanWithinTarget += result.WithinTarget / float64(test.seeds)
				served += result.Served / float64(test.seeds)
			}
			if meanWithinTarget < test.withinTarget || served < test.served {
				t.Errorf("%.4f within target, want %.3f; %.4f served, want %.3f", meanWithinTarget, test.withinTarget, served, test.served)
			}
		})
	}
}

func runNamed(t *testing.T, name string, seed uint64, without Without) Result {
	t.Helper()
	scenario, found := Find(name)
	if !found {
		t.Fatalf("no scenario %q", name)
	}
	return Run(Options{Scenario: scenario, Seed: seed, Without: without})
}

// maxSeeds is how many seeds are tried until one breaks the rule. Which one does depends on the
// order of random draws, and so on the code.
const maxSeeds = 80

// TestEachMechanismIsNeeded checks that a rule breaks without a mechanism in a run that breaks none
// with it.
func TestEachMechanismIsNeeded(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, scenario string
		// seed is the first seed tried.
		seed    uint64
		without Without
		rule    string
	}{
		{"packets name their server", "address-reuse", 1, Without{ServerNames: true}, ruleRoute},
		{"calls have deadlines", "store-silent", 1, Without{Deadlines: true}, ruleConfig},
		{"calls have deadlines", "store-silent-late", 1, Without{Deadlines: true}, ruleLost},
		{"calls have deadlines, or peers provide changes", "store-cut", 1, Without{Deadlines: true, Peers: true}, ruleDrain},
		{"calls have deadlines, or peers provide changes", "connections-silent", 1, Without{Deadlines: true, Peers: true}, ruleConfig},
		{"a listing removes entries that it lacks", "store-compact", 1, Without{Differences: true}, ruleDrain},
		{"a repeated listing is completed", "store-compact", 1, Without{ListingsAnew: true}, ruleDrain},
		{"rejected balancers receive changes from peers", "store-turns-away", 1, Without{Peers: true}, ruleDrain},
		{"copies wait if another balancer may have placed the flow", "lossy-answers", 771, Without{CopyWait: true}, ruleFlow},
		{"copies follow the first one, or open flows are pinned", "lossy", 1, Without{CopyMemory: true, Pins: true}, ruleFlow},
		{"copies follow the first one, or peers receive inquiries", "lossy", 1, Without{CopyMemory: true, Inquiries: true}, ruleFlow},
		{"open flows are pinned", "lossy", 189, Without{Pins: true}, ruleFlow},
		{"open flows are pinned", "lossy-answers", 1, Without{Pins: true}, ruleFlow},
		{"evacuations are applied", "evacuate", 1, Without{Evacuations: true}, ruleEvacuation},
		{"evacuations are received from peers", "evacuate-turned-away", 1, Without{Peers: true}, ruleEvacuation},
		{"opening packets queued during a pause are dropped", "chaos", 65, Without{Standstill: true}, ruleFlow},
	} {
		t.Run(test.name+" "+test.scenario, func(t *testing.T) {
			t.Parallel()
			scenario, _ := Find(test.scenario)
			for seed := test.seed; seed < test.seed+maxSeeds; seed++ {
				options := Options{Scenario: scenario, Seed: seed, Steady: seed%2 == 0, Without: test.without}
				broken := Run(options)
				if !slices.Contains(broken.BrokenRules(), test.rule) {
					continue
				}
				options.Without = Without{}
				if with := Run(options); len(with.Violations) > 0 {
					t.Errorf("seed %d: violation with the mechanism: %v", seed, with.Violations[0])
				}
				return
			}
			t.Errorf("without the mechanism, rule %s does not break in %d seeds", test.rule, maxSeeds)
		})
	}
}

// TestMechanismsImproveServiceMetrics covers mechanisms that no rule depends on: without them the
// metrics are worse.
func TestMechanismsImproveServiceMetrics(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, scenario string
		without        Without
		worse          func(with, without Result) bool
	}{
		{"removed back ends are retained", "restart-and-release-quiet", Without{Departed: true}, func(a, b Result) bool {
			return b.WithinTarget < a.WithinTarget-0.003 && a.Failed == 0 && b.Failed >= 10
		}},
		{"unresponsive back ends are suspected", "servers-hang", Without{Suspicion: true}, func(a, b Result) bool { return b.WithinTarget < a.WithinTarget }},
		{"flows at back ends that are down are reset", "servers-hang", Without{Resets: true}, func(a, b Result) bool { return 2*a.Failed < b.Failed }},
		{"back ends that leave requests unanswered get fewer flows", "servers-grey-reset", Without{Faults: true}, func(a, b Result) bool { return 2*a.Failed < b.Failed }},
		{"back ends that leave requests unanswered get fewer flows", "servers-grey-mute", Without{Faults: true}, func(a, b Result) bool { return 2*a.Failed < b.Failed }},
		{"back ends that answer errors get fewer flows", "servers-errors", Without{Outliers: true}, func(a, b Result) bool { return 3*a.Failed < b.Failed }},
		{"back ends that answer errors get fewer flows", "servers-errors-part", Without{Outliers: true}, func(a, b Result) bool { return 2*a.Failed < b.Failed }},
		{"slow back ends get fewer flows", "servers-slow", Without{Pace: true}, func(a, b Result) bool { return b.WithinTarget < a.WithinTarget-0.01 }},
		{"balancers receive state from peers", "start-in-outage", Without{Peers: true}, func(a, b Result) bool { return b.WithinTarget < a.WithinTarget }},
		{"balancers follow peers", "calm", Without{Peers: true}, func(a, b Result) bool { return b.StoreCalls > 2*a.StoreCalls }},
		{"a stopping balancer forwards until routers eject it", "rolling-restart", Without{Release: true}, func(a, b Result) bool { return b.WithinTarget < a.WithinTarget-0.004 }},
		{"a listing ends evacuations that it lacks", "evacuate-compact", Without{Differences: true}, func(a, b Result) bool { return b.Busiest > a.Busiest+0.08 }},
		{"placement evens the load", "calm", Without{Load: true}, func(a, b Result) bool { return b.Busiest > a.Busiest+0.08 }},
	} {
		t.Run(test.name+" "+test.scenario, func(t *testing.T) {
			t.Parallel()
			with, without := meanResult(t, test.scenario, Without{}), meanResult(t, test.scenario, test.without)
			if !test.worse(with, without) {
				t.Errorf("with and without the mechanism: within target %.4f and %.4f, store calls %d and %d, busiest %.2f and %.2f",
					with.WithinTarget, without.WithinTarget, with.StoreCalls, without.StoreCalls, with.Busiest, without.Busiest)
			}
		})
	}
}

// meanResult returns the mean of the compared metrics over several seeds.
func meanResult(t *testing.T, scenario string, without Without) Result {
	t.Helper()
	const seeds = 8
	var mean Result
	for seed := range uint64(seeds) {
		result := runNamed(t, scenario, 1+seed, without)
		mean.WithinTarget += result.WithinTarget / seeds
		mean.Busiest += result.Busiest / seeds
		mean.Failed += result.Failed
		mean.StoreCalls += result.StoreCalls
	}
	mean.Failed, mean.StoreCalls = mean.Failed/seeds, mean.StoreCalls/seeds
	return mean
}

// TestVariedAnswersEjectNoBackend guards against taking short answers for failures: loads stay as
// even as without outlier detection.
func TestVariedAnswersEjectNoBackend(t *testing.T) {
	t.Parallel()
	for _, scenario := range []string{"calm", "answers-vary", "lossy"} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			with, without := meanResult(t, scenario, Without{}), meanResult(t, scenario, Without{Outliers: true})
			if with.Busiest > without.Busiest+0.05 || with.WithinTarget < without.WithinTarget-0.002 {
				t.Errorf("busiest %.3f and %.3f, within target %.4f and %.4f", with.Busiest, without.Busiest, with.WithinTarget, without.WithinTarget)
			}
		})
	}
}

// TestWeightsAreKept checks the shares of requests against the weights of a split route.
func TestWeightsAreKept(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 4; seed++ {
		if share := runNamed(t, "weights", seed, Without{}).SmallShare; share < 0.08 || share > 0.12 {
			t.Errorf("seed %d: the group with a tenth of the weight has %.3f of the requests", seed, share)
		}
	}
}

// TestEqualSeedsGiveEqualRuns guards against runs that depend on map iteration order.
func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	t.Parallel()
	for _, scenario := range []string{"chaos", "lossy", "servers-hang"} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			first := runNamed(t, scenario, 7, Without{})
			for range 4 {
				if again := runNamed(t, scenario, 7, Without{}); !reflect.DeepEqual(first, again) {
					t.Fatalf("two runs differ: %+v and %+v", first, again)
				}
			}
		})
	}
}

// TestControlTrafficStaysBounded covers fleets larger than a balancer's table of peers.
func TestControlTrafficStaysBounded(t *testing.T) {
	t.Parallel()
	scenario, _ := Find("calm")
	for _, perZone := range []int{3, 12, 40} {
		result := Run(Options{Scenario: scenario, Seed: 1, BalancersPerZone: perZone})
		if result.HellosPerSecond > 70 {
			t.Errorf("%d balancers a zone: %.0f hellos per second and balancer", perZone, result.HellosPerSecond)
		}
		if result.HelloBytesPerSecond > 4096 {
			t.Errorf("%d balancers a zone: %.0f bytes of hellos per second and balancer", perZone, result.HelloBytesPerSecond)
		}
		if share := float64(result.StoreCalls) / float64(3*perZone) / defaultDuration.Seconds(); perZone > 3 && share > 0.35 {
			t.Errorf("%d balancers a zone: %.2f store calls per second and balancer", perZone, share)
		}
		if result.Served < 0.999 {
			t.Errorf("%d balancers a zone: %.4f served", perZone, result.Served)
		}
	}
}
