package errkind

import (
	"testing"
)

// TestTableIsComplete checks that each kind has a unique name, and that no answer makes a false
// statement: 5.03 states that the request did not run, 5.04 that this is unknown.
func TestTableIsComplete(t *testing.T) {
	names := map[string]bool{}
	for _, kind := range All() {
		row := kind.Answer()
		if row.Name == "" || names[row.Name] {
			t.Errorf("kind %d: name %q is missing or duplicate", kind, row.Name)
		}
		names[row.Name] = true
		switch row.Reply {
		case Unavailable:
			if row.Ran != RanNo || !row.HasMaxAge {
				t.Errorf("%s: 5.03 must state that the request did not run and when to retry", row.Name)
			}
		case Timeout:
			if row.Ran != RanUnknown {
				t.Errorf("%s: 5.04 must state that it is unknown whether the request ran", row.Name)
			}
		case Silent:
			if row.Ran != RanUnstated {
				t.Errorf("%s: states whether the request ran, but no answer is sent", row.Name)
			}
		default:
			t.Errorf("%s: unknown reply type %v", row.Name, row.Reply)
		}
	}
	if kindCount.Answer() != OutcomeUnknown.Answer() {
		t.Error("an unknown kind does not have the answer of OutcomeUnknown")
	}
}
