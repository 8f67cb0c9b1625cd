package errkind

import (
	"testing"
)

// TestTableIsWhole guards that each kind has a row, and that only answers that
// are true are given: 5.03 says "not run", 5.04 says "unknown".
func TestTableIsWhole(t *testing.T) {
	names := map[string]bool{}
	for _, kind := range All() {
		row := kind.Answer()
		if row.Name == "" || names[row.Name] {
			t.Errorf("kind %d: name %q is missing or taken", kind, row.Name)
		}
		names[row.Name] = true
		switch row.Reply {
		case Unavailable:
			if row.Ran != RanNo || !row.Retry {
				t.Errorf("%s: 5.03 must say that nothing ran, and when to come back", row.Name)
			}
		case Timeout:
			if row.Ran != RanUnknown {
				t.Errorf("%s: 5.04 must leave open what ran", row.Name)
			}
		case Silent:
			if row.Ran != RanNotTold {
				t.Errorf("%s: no answer tells something", row.Name)
			}
		default:
			t.Errorf("%s: answers %v", row.Name, row.Reply)
		}
	}
	if kindCount.Answer() != OutcomeUnknown.Answer() {
		t.Error("an unknown kind must not claim that nothing ran")
	}
}
