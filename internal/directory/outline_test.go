package directory

import (
	"testing"
	"time"

	"gaugeyard/internal/settings"
)

// fleetOf has back ends 1 to count, every third in zone b, and one of zone a that drains.
func newFleetDirectory(t *testing.T, count int) *Directory {
	d := New(testRetention)
	listing := &Listing{Revision: uint64(count), Settings: version(t, 5, 1, "192.0.2.1:80")}
	for i := 1; i <= count; i++ {
		told := Record{Backend: backend(settings.BackendID(i), i == 1), Revision: uint64(i)}
		if i%3 == 0 {
			told = inZone(told, "b")
		}
		listing.Records = append(listing.Records, told)
	}
	d.Replace(0, listing)
	return d
}

// TestAnOutlineHasTheSettingsAndBackEndsOfTheZoneFirst, none that drains or is evacuated.
func TestAnOutlineHasTheSettingsAndBackEndsOfTheZoneFirst(t *testing.T) {
	d := newFleetDirectory(t, 900)
	outline := d.Outline("b")
	inB := 0
	for _, told := range outline.Records {
		if told.Backend.Draining {
			t.Error("one that drains is told")
		}
		if told.Backend.Zone == "b" {
			inB++
		}
	}
	if outline.Settings == nil || outline.Revision != 0 || len(outline.Records) != maxSummaryBackends || inB != 300 {
		t.Errorf("%d back ends, %d of the zone, settings %v, revision %d", len(outline.Records), inB, outline.Settings, outline.Revision)
	}
	d.Apply(0, &Changes{Revision: 1000, Evacuations: []Evacuation{{Zone: "b", Active: true, Revision: 1000}}})
	for _, told := range d.Outline("b").Records {
		if told.Backend.Zone == "b" {
			t.Fatal("one of an evacuated zone is told")
		}
	}
}

// TestAfterAnOutlineEverythingIsStillAskedFor, and what it told wrongly ends with the listing.
func TestAfterAnOutlineEverythingIsStillAskedFor(t *testing.T) {
	whole, d := newFleetDirectory(t, 900), New(testRetention)
	d.TakeOutline(0, whole.Outline("a"))
	if d.Revision() != 0 || d.SettingsVersion() != 5 || len(d.View().Pool("fonts").Open) != maxSummaryBackends {
		t.Fatalf("revision %d, version %d, %d back ends", d.Revision(), d.SettingsVersion(), len(d.View().Pool("fonts").Open))
	}
	if _, known := d.Since(0, 0); known {
		t.Error("it tells others changes")
	}
	whole.Apply(time.Second, &Changes{Revision: 1001, Gone: []Gone{{ID: 2, Revision: 1001}}})
	d.Replace(time.Second, whole.Listing())
	want, got := len(whole.View().Pool("fonts").Open), len(d.View().Pool("fonts").Open)
	if d.Revision() != 1001 || want != got {
		t.Errorf("revision %d, %d back ends, want %d", d.Revision(), got, want)
	}
	if events := d.TakeOutline(time.Second, newFleetDirectory(t, 3).Outline("a")); events != nil {
		t.Errorf("one that comes late changes %+v", events)
	}
}
