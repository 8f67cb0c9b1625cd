package emulator

import "testing"

// TestForeignEntriesResetNoFlow guards against resetting the open flows of servers that leave and
// serve on, since another writer has entries at their addresses.
func TestForeignEntriesResetNoFlow(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"foreign-entries", "foreign-entries-named"} {
		for seed := uint64(1); seed <= 4; seed++ {
			for _, violation := range runNamed(t, name, seed, Without{}).Violations {
				t.Errorf("%s, seed %d: %v", name, seed, violation)
			}
		}
	}
}
