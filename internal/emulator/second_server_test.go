package emulator

import "testing"

// TestNoSecondServerAnswersOnWeakEvidence guards against suspecting a healthy server on weak
// evidence: by a balancer that has just started and has seen no loss (lossy-answers 695), after
// three lost answers in a row (234), after two flows that went unanswered by chance (lossy), or on
// a peer's suspicion after one lost packet (the other seeds).
func TestNoSecondServerAnswersOnWeakEvidence(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		scenario string
		seed     uint64
	}{{"lossy-answers", 234}, {"lossy-answers", 695}, {"lossy", 126}, {"lossy", 702},
		{"lossy-answers", 489}, {"lossy-answers", 678}, {"lossy-answers", 683}, {"lossy-answers", 906}} {
		for _, violation := range runNamed(t, test.scenario, test.seed, Without{}).Violations {
			t.Errorf("%s, seed %d: %v", test.scenario, test.seed, violation)
		}
	}
}

// TestOpenFlowSurvivesASecondServersAnswer guards against forwarding an open flow to the wrong
// server: a second server's late answer changes the tag that the caller returns, and its routers
// then move the flow to a balancer that has not seen it open. Larger zones make such a move more
// likely.
func TestOpenFlowSurvivesASecondServersAnswer(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		scenario  string
		seed      uint64
		balancers int
	}{{"lossy-answers", 30159, 8}, {"lossy-answers", 70036, 8}, {"lossy-answers", 70153, 8}, {"lossy-answers", 80049, 20}, {"lossy", 178, 3}, {"lossy-answers", 69, 8}, {"lossy-answers", 518, 8}, {"lossy-answers", 1312, 8}, {"lossy-answers", 1734, 8},
		{"lossy-answers", 2279, 8}, {"lossy-answers", 3870, 8}, {"lossy-answers", 4121, 8}} {
		scenario, _ := Find(test.scenario)
		for _, violation := range Run(Options{Scenario: scenario, Seed: test.seed, BalancersPerZone: test.balancers}).Violations {
			t.Errorf("%s, seed %d: %v", test.scenario, test.seed, violation)
		}
	}
}

// TestInquiriesPreventMisroutedFlows checks that inquiries prevent this failure in a run that has
// it without them.
func TestInquiriesPreventMisroutedFlows(t *testing.T) {
	t.Parallel()
	scenario, _ := Find("lossy-answers")
	options := Options{Scenario: scenario, Seed: 2279, BalancersPerZone: 8}
	with := Run(options)
	options.Without.Inquiries = true
	without := Run(options)
	if len(without.Violations) == 0 || len(with.Violations) > 0 {
		t.Errorf("without inquiries: %v, with inquiries: %v", without.Violations, with.Violations)
	}
}

// TestNoSecondServerAnswersWhenRoutersMoveACopy covers a copy that routers move to a balancer that
// has just started and does not know the loss rate.
func TestNoSecondServerAnswersWhenRoutersMoveACopy(t *testing.T) {
	t.Parallel()
	for _, violation := range runNamed(t, "lossy-answers", 861, Without{}).Violations {
		t.Error(violation)
	}
}
