package operator

import (
	"testing"
	"time"

	"gaugeyard/internal/settings"
	"gaugeyard/internal/store"
)

func twoServices(t *testing.T) settings.Tree {
	t.Helper()
	tree, parseErrs := settings.Parse([]byte(`
services:
  feeds:
    address: 192.0.2.1:5683
    zones:
      za: {groups: {main: {backends: {b1: {address: "192.0.2.11:1"}, b2: {address: "192.0.2.12:1", state: drain}}}}}
      zb: {groups: {main: {backends: {b3: {address: "192.0.2.13:1"}}}}}
  runs:
    address: 192.0.2.2:5683
    zones:
      za: {groups: {main: {backends: {b4: {address: "192.0.2.14:1"}}}}}
`))
	if len(parseErrs) > 0 {
		t.Fatal(parseErrs)
	}
	return tree
}

// draining counts the back ends that get no new flows.
func draining(tree settings.Tree) int {
	count := 0
	for _, backend := range settings.Resolve(tree, 1).Backends {
		if backend.Draining {
			count++
		}
	}
	return count
}

// TestEvacuateAndRestoreZone checks that both apply to all services with the zone, and that a back
// end drained on its own stays drained.
func TestEvacuateAndRestoreZone(t *testing.T) {
	tree := twoServices(t)
	if err := setEvacuated(tree, "za", true); err != nil {
		t.Fatal(err)
	}
	if got := draining(tree); got != 3 {
		t.Errorf("%d back ends get no new flows, want 3", got)
	}
	if err := setEvacuated(tree, "za", false); err != nil {
		t.Fatal(err)
	}
	if got := draining(tree); got != 1 {
		t.Errorf("after the restore %d back ends get no new flows, want 1", got)
	}
	if changes := settings.Diff(twoServices(t), tree); len(changes) > 0 {
		t.Errorf("changes left after the restore: %v", changes)
	}
	if err := setEvacuated(tree, "zc", true); err == nil {
		t.Error("evacuating a zone that no service has succeeded")
	}
}

// TestStatusNamesAuthorOfEvacuation checks that it is the author of the newest such edit.
func TestStatusNamesAuthorOfEvacuation(t *testing.T) {
	before := twoServices(t)
	tree := before.Clone()
	if err := setEvacuated(tree, "za", true); err != nil {
		t.Fatal(err)
	}
	since := time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)
	changes := settings.Diff(before, tree)
	edits := []store.Edit{{Author: "ben"}, {Author: "ana", Time: since, Changes: changes}, {Author: "old", Changes: changes}}
	zones := evacuatedZones(tree, edits)
	if len(zones) != 1 || zones[0] != (EvacuatedZone{"za", "ana", since}) {
		t.Errorf("evacuated zones: %+v", zones)
	}
	if zones = evacuatedZones(tree, nil); len(zones) != 1 || zones[0].Author != "" {
		t.Errorf("evacuated zones without a history: %+v", zones)
	}
}
