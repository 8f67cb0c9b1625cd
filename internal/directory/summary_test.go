package directory

import (
	"testing"
	"time"

	"gaugeyard/internal/settings"
)

// newFleetDirectory returns a directory with back ends 1 to count, every third in zone b, and one of zone a draining.
func newFleetDirectory(t *testing.T, count int) *Directory {
	d := New(testRetention)
	listing := &Listing{Revision: uint64(count), Settings: version(t, 5, 1, "192.0.2.1:80")}
	for i := 1; i <= count; i++ {
		r := Record{Backend: backend(settings.BackendID(i), i == 1), Revision: uint64(i)}
		if i%3 == 0 {
			r = inZone(r, "b")
		}
		listing.Records = append(listing.Records, r)
	}
	d.Replace(0, listing)
	return d
}

// TestSummary: it has the settings and back ends of the zone first, none that is draining or evacuated.
func TestSummary(t *testing.T) {
	d := newFleetDirectory(t, 900)
	summary := d.Summary("b")
	inB := 0
	for _, r := range summary.Records {
		if r.Backend.Draining {
			t.Error("the summary has a draining back end")
		}
		if r.Backend.Zone == "b" {
			inB++
		}
	}
	if summary.Settings == nil || summary.Revision != 0 || len(summary.Records) != maxSummaryBackends || inB != 300 {
		t.Errorf("%d back ends, %d of the zone, settings %v, revision %d", len(summary.Records), inB, summary.Settings, summary.Revision)
	}
	d.Apply(0, &Changes{Revision: 1000, Evacuations: []Evacuation{{Zone: "b", Active: true, Revision: 1000}}})
	for _, r := range d.Summary("b").Records {
		if r.Backend.Zone == "b" {
			t.Fatal("the summary has a back end of an evacuated zone")
		}
	}
}

// TestListingAfterSummary: a summary does not replace a listing, which corrects what the summary had wrong.
func TestListingAfterSummary(t *testing.T) {
	whole, d := newFleetDirectory(t, 900), New(testRetention)
	d.ApplySummary(0, whole.Summary("a"))
	if d.Revision() != 0 || d.SettingsVersion() != 5 || len(d.View().Pool("fonts").Open) != maxSummaryBackends {
		t.Fatalf("revision %d, version %d, %d back ends", d.Revision(), d.SettingsVersion(), len(d.View().Pool("fonts").Open))
	}
	if _, known := d.ChangesSince(0, 0); known {
		t.Error("changes since revision 0 are known after a summary")
	}
	whole.Apply(time.Second, &Changes{Revision: 1001, Removed: []Removal{{ID: 2, Revision: 1001}}})
	d.Replace(time.Second, whole.Listing())
	want, got := len(whole.View().Pool("fonts").Open), len(d.View().Pool("fonts").Open)
	if d.Revision() != 1001 || want != got {
		t.Errorf("revision %d, %d back ends, want %d", d.Revision(), got, want)
	}
	if events := d.ApplySummary(time.Second, newFleetDirectory(t, 3).Summary("a")); events != nil {
		t.Errorf("a late summary has events %+v", events)
	}
}
