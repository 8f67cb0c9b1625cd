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

// twoZones believes in back ends 1 and 2 of zone a and 3 of zone b.
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

// TestAnEvacuatedZoneTakesNoNewFlow until it is taken back; its back ends keep their tags.
func TestAnEvacuatedZoneTakesNoNewFlow(t *testing.T) {
	d := twoZones()
	wantOpen(t, d, 1, 2, 3)
	events := d.Apply(0, evacuate("a", 6))
	wantOpen(t, d, 3)
	if len(events) != 1 || events[0].Transition != ZoneEvacuated || events[0].Zone != "a" || events[0].Revision != 6 {
		t.Errorf("events %+v", events)
	}
	if members := d.View().Tagged(TagOf(1)); len(members) != 1 || !members[0].Evacuated || members[0].Gone {
		t.Errorf("the tag of a back end there names %+v", members)
	}
	if !slices.Equal(d.Evacuated(), []string{"a"}) {
		t.Errorf("evacuated are %v", d.Evacuated())
	}
	events = d.Apply(0, restore("a", 7))
	wantOpen(t, d, 1, 2, 3)
	if len(events) != 1 || events[0].Transition != ZoneRestored {
		t.Errorf("events %+v", events)
	}
}

// TestBackEndsThatComeToAnEvacuatedZoneTakeNoNewFlow, also those that leave there and might be
// a last resort.
func TestBackEndsThatComeToAnEvacuatedZoneTakeNoNewFlow(t *testing.T) {
	d := twoZones()
	d.Apply(0, evacuate("a", 6))
	d.Apply(0, &Changes{Revision: 8, Records: []Record{record(4, 7)}, Gone: []Gone{{ID: 1, Revision: 8}}})
	wantOpen(t, d, 3)
	if left := d.View().Pool("fonts").Left; len(left) != 0 {
		t.Errorf("last resorts %+v", left)
	}
	d.Apply(time.Second, restore("a", 9))
	wantOpen(t, d, 2, 3, 4)
	if left := d.View().Pool("fonts").Left; len(left) != 1 || left[0].ID != 1 {
		t.Errorf("last resorts once the zone is back %+v", left)
	}
}

// TestAnOlderWordOnAZoneChangesNothing, in whichever order they come.
func TestAnOlderWordOnAZoneChangesNothing(t *testing.T) {
	d := twoZones()
	d.Apply(0, restore("a", 9))
	d.Apply(0, evacuate("a", 6))
	wantOpen(t, d, 1, 2, 3)
	d.Apply(0, evacuate("a", 12))
	d.Apply(0, restore("a", 9))
	wantOpen(t, d, 3)
}

// TestAListingTakesBackWhatItDoesNotName: the removal fell into lost history.
func TestAListingTakesBackWhatItDoesNotName(t *testing.T) {
	d := twoZones()
	d.Apply(0, evacuate("a", 6))
	records := d.Listing().Records
	events := d.Replace(0, &Listing{Revision: 20, Records: records, Evacuations: []Evacuation{{Zone: "b", Active: true, Revision: 15}}})
	wantOpen(t, d, 1, 2)
	if len(events) != 2 {
		t.Errorf("events %+v", events)
	}
	// The change that the listing showed already comes again.
	d.Apply(0, &Changes{Revision: 20, Evacuations: []Evacuation{{Zone: "a", Revision: 14}}})
	wantOpen(t, d, 1, 2)
	// What was written after the listing began stands.
	d.Apply(0, evacuate("a", 25))
	d.Replace(0, &Listing{Revision: 22, Records: records})
	wantOpen(t, d)
}

// TestEvacuationsAreToldToOthers, as changes and as a listing, those taken back too.
func TestEvacuationsAreToldToOthers(t *testing.T) {
	d := twoZones()
	d.Apply(0, evacuate("a", 6))
	d.Apply(0, evacuate("b", 7))
	d.Apply(0, restore("a", 8))
	other := New(testRetention)
	other.Replace(0, d.Listing())
	wantOpen(t, other, 1, 2)
	late := twoZones()
	late.Apply(0, evacuate("a", 6))
	changes, known := d.Since(6, 0)
	if !known {
		t.Fatal("changes are not known")
	}
	late.Apply(0, changes)
	wantOpen(t, late, 1, 2)
	if !slices.Equal(late.Evacuated(), []string{"b"}) {
		t.Errorf("evacuated are %v", late.Evacuated())
	}
}
