package emulator

import "testing"

// TestNoSecondServerAnswersAtFewSigns: a balancer that has just started knows of no loss yet (lossy-answers,
// 695), three answers in a row are lost (234), two flows go unanswered at a sound server by chance
// (lossy), or another balancer doubts it for a lost packet (the other seeds).
func TestNoSecondServerAnswersAtFewSigns(t *testing.T) {
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

// TestNoSecondServerAnswersWhereRoutersMoveACopy to a balancer that has just started and does not know yet how many
// answers are lost.
func TestNoSecondServerAnswersWhereRoutersMoveACopy(t *testing.T) {
	t.Parallel()
	for _, violation := range runNamed(t, "lossy-answers", 861, Without{}).Violations {
		t.Error(violation)
	}
}
