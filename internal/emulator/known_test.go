package emulator

import "testing"

// TestNoSecondServerAnswersAtFewSigns: a balancer that has just started knows of no loss yet (lossy-answers,
// 695), three answers in a row are lost (234), or two flows go unanswered at a sound server by chance
// (lossy).
func TestNoSecondServerAnswersAtFewSigns(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		scenario string
		seed     uint64
	}{{"lossy-answers", 234}, {"lossy-answers", 695}, {"lossy", 126}, {"lossy", 702}} {
		for _, violation := range runNamed(t, test.scenario, test.seed, Without{}).Violations {
			t.Errorf("%s, seed %d: %v", test.scenario, test.seed, violation)
		}
	}
}
