package directory

import (
	"slices"
	"testing"
	"time"
)

// inZone returns a record of a back end in the zone.
func inZone(record Record, zone string) Record {
	record.Backend.Zone = zone
	return record
}

// twoZones returns a directory with back ends 1 and 2 in zone a and 3 in zone b.
func twoZones() *Directory {
	d := New(testRetention)
	d.Replace(0, &Listing{Revision: 5, Records: []Record{record(1, 2), record(2, 3), inZone(record(3, 4), "b")}})
	return d
}

func evacuate(zone string, revision uint64) *Changes {
	return &Changes{Revision: revision, Evacuations: []Evacuation{{Zone: zone, Active: true, Revision: revision}}}
}

func restore(zone string, revision uint64) *Changes {
	return &Changes{Revision: revision, Evacuations: []Evacuation{{Zone: zone, Revision: revision}}}
}

// TestEvacuatedZoneTakesNoNewFlows until the evacuation ends; its back ends keep their tags.
func TestEvacuatedZoneTakesNoNewFlows(t *testing.T) {
	d := twoZones()
	wantOpen(t, d, 1, 2, 3)
	events := d.Apply(0, evacuate("a", 6))
	wantOpen(t, d, 3)
	if len(events) != 1 || events[0].Transition != ZoneEvacuated || events[0].Zone != "a" || events[0].Revision != 6 {
		t.Errorf("events %+v", events)
	}
	if members := d.View().Tagged(TagOf(1)); len(members) != 1 || !members[0].Evacuated || members[0].Removed {
		t.Errorf("members with the tag: %+v, want one that is evacuated", members)
	}
	if !slices.Equal(d.EvacuatedZones(), []string{"a"}) {
		t.Errorf("evacuated zones %v, want a", d.EvacuatedZones())
	}
	events = d.Apply(0, restore("a", 7))
	wantOpen(t, d, 1, 2, 3)
	if len(events) != 1 || events[0].Transition != ZoneRestored {
		t.Errorf("events %+v", events)
	}
}

// TestChangesInEvacuatedZone: back ends added or removed there are not used for new flows either.
func TestChangesInEvacuatedZone(t *testing.T) {
	d := twoZones()
	d.Apply(0, evacuate("a", 6))
	d.Apply(0, &Changes{Revision: 8, Records: []Record{record(4, 7)}, Removed: []Removal{{ID: 1, Revision: 8}}})
	wantOpen(t, d, 3)
	if removed := d.View().Pool("fonts").Removed; len(removed) != 0 {
		t.Errorf("removed back ends in the pool: %+v, want none", removed)
	}
	d.Apply(time.Second, restore("a", 9))
	wantOpen(t, d, 2, 3, 4)
	if removed := d.View().Pool("fonts").Removed; len(removed) != 1 || removed[0].ID != 1 {
		t.Errorf("removed back ends in the pool after the evacuation: %+v, want 1", removed)
	}
}

// TestOlderEvacuationIsIgnored, and so is an older end of one.
func TestOlderEvacuationIsIgnored(t *testing.T) {
	d := twoZones()
	d.Apply(0, restore("a", 9))
	d.Apply(0, evacuate("a", 6))
	wantOpen(t, d, 1, 2, 3)
	d.Apply(0, evacuate("a", 12))
	d.Apply(0, restore("a", 9))
	wantOpen(t, d, 3)
}

// TestListingEndsMissingEvacuations: the end of an evacuation may be in lost history.
func TestListingEndsMissingEvacuations(t *testing.T) {
	d := twoZones()
	d.Apply(0, evacuate("a", 6))
	records := d.Listing().Records
	events := d.Replace(0, &Listing{Revision: 20, Records: records, Evacuations: []Evacuation{{Zone: "b", Active: true, Revision: 15}}})
	wantOpen(t, d, 1, 2)
	if len(events) != 2 {
		t.Errorf("events %+v", events)
	}
	// A change that the listing had already is received again.
	d.Apply(0, &Changes{Revision: 20, Evacuations: []Evacuation{{Zone: "a", Revision: 14}}})
	wantOpen(t, d, 1, 2)
	// An evacuation written after the listing began stays.
	d.Apply(0, evacuate("a", 25))
	d.Replace(0, &Listing{Revision: 22, Records: records})
	wantOpen(t, d)
}

// TestEvacuationsAreSentToPeers, as changes and in a listing, and their ends too.
func TestEvacuationsAreSentToPeers(t *testing.T) {
	d := twoZones()
	d.Apply(0, evacuate("a", 6))
	d.Apply(0, evacuate("b", 7))
	d.Apply(0, restore("a", 8))
	other := New(testRetention)
	other.Replace(0, d.Listing())
	wantOpen(t, other, 1, 2)
	late := twoZones()
	late.Apply(0, evacuate("a", 6))
	changes, known := d.ChangesSince(6, 0)
	if !known {
		t.Fatal("changes are not known")
	}
	late.Apply(0, changes)
	wantOpen(t, late, 1, 2)
	if !slices.Equal(late.EvacuatedZones(), []string{"b"}) {
		t.Errorf("evacuated zones %v, want b", late.EvacuatedZones())
	}
}
