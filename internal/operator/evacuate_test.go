package operator

import (
	"testing"
	"time"

	"gaugeyard/internal/settings"
	"gaugeyard/internal/store"
)

func twoServices(t *testing.T) settings.Tree {
	t.Helper()
	tree, faults := settings.Parse([]byte(`
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
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return tree
}

// draining counts the back ends that get no new flow.
func draining(tree settings.Tree) int {
	count := 0
	for _, backend := range settings.Resolve(tree, 1).Backends {
		if backend.Draining {
			count++
		}
	}
	return count
}

// TestAZoneIsEvacuatedInAllServices and taken back; a back end that was drained by itself stays so.
func TestAZoneIsEvacuatedInAllServices(t *testing.T) {
	tree := twoServices(t)
	if err := setEvacuated(tree, "za", true); err != nil {
		t.Fatal(err)
	}
	if got := draining(tree); got != 3 {
		t.Errorf("%d back ends get no new flow, want 3", got)
	}
	if err := setEvacuated(tree, "za", false); err != nil {
		t.Fatal(err)
	}
	if got := draining(tree); got != 1 {
		t.Errorf("once the zone is back %d back ends get no new flow, want 1", got)
	}
	if changes := settings.Diff(twoServices(t), tree); len(changes) > 0 {
		t.Errorf("what is left of it: %v", changes)
	}
	if err := setEvacuated(tree, "zc", true); err == nil {
		t.Error("a zone that nobody has is evacuated")
	}
}

// TestStatusNamesWhoEvacuatedAZone by the newest edit that did so.
func TestStatusNamesWhoEvacuatedAZone(t *testing.T) {
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
		t.Errorf("evacuated are %+v", zones)
	}
	if zones = evacuatedZones(tree, nil); len(zones) != 1 || zones[0].Author != "" {
		t.Errorf("without a history: %+v", zones)
	}
}
