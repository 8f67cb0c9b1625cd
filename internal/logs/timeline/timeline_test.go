package timeline

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gaugeyard/internal/logs"
)

var base = time.Date(2026, 6, 9, 14, 41, 0, 0, time.UTC)

func at(second float64, node, message string, version uint64) logs.Line {
	return logs.Line{At: base.Add(time.Duration(second * float64(time.Second))), Node: node, Message: message, Version: version, Backend: "ab"}
}

// sampleTimeline returns a timeline in which n1 loses the store for two seconds and is stopped
// as planned, n2 is killed, and both start again.
func sampleTimeline() Timeline {
	return FromLines([]logs.Line{
		at(0, "n1", logs.Started, 0), at(0, "n2", logs.Started, 0),
		at(1, "n1", logs.SettingsApplied, 4), at(1.5, "n2", logs.SettingsApplied, 4),
		at(3, "n1", logs.StoreUnreachable, 0), at(5, "n1", logs.StoreReachable, 0),
		at(6, "n1", logs.SettingsApplied, 7), at(6.25, "n2", logs.SettingsApplied, 7),
		at(7, "n1", logs.BackendRemoved, 0), at(7.1, "n2", logs.BackendRemoved, 0),
		at(8, "n1", logs.Leaving, 0), at(9, "n1", logs.Stopped, 0), at(10, "n1", logs.Started, 0),
		at(10.5, "n1", logs.SettingsApplied, 7), at(12, "n2", logs.Started, 0), at(13, "n2", logs.StoreUnreachable, 0),
	})
}

func TestFromLines(t *testing.T) {
	timeline := sampleTimeline()
	if len(timeline.Versions) != 2 || timeline.Versions[1].Version != 7 || timeline.Versions[1].Balancers != 2 ||
		timeline.Versions[1].Last.Sub(timeline.Versions[1].First) != 250*time.Millisecond || timeline.Versions[1].LastNode != "n2" {
		t.Errorf("versions %+v", timeline.Versions)
	}
	if len(timeline.Runs) != 4 || !timeline.Runs[0].PlannedStop || timeline.Runs[1].PlannedStop || timeline.Runs[0].SettingsAt.Sub(timeline.Runs[0].From) != time.Second {
		t.Errorf("runs %+v", timeline.Runs)
	}
	if len(timeline.Outages) != 2 || timeline.Outages[0].Until.Sub(timeline.Outages[0].From) != 2*time.Second || !timeline.Outages[1].Until.IsZero() {
		t.Errorf("outages %+v", timeline.Outages)
	}
	if timeline.Gone != 1 {
		t.Errorf("%d back ends removed", timeline.Gone)
	}
	last := timeline.Samples[len(timeline.Samples)-1]
	if last.Running != 2 || last.Newest != 1 || last.StoreUnreachable != 1 {
		t.Errorf("last sample %+v", last)
	}
	if empty := FromLines(nil); len(empty.Samples) != 0 {
		t.Errorf("no lines: %+v", empty)
	}
}

func TestWriteTextAndDraw(t *testing.T) {
	timeline := sampleTimeline()
	var text strings.Builder
	if err := timeline.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"version 7", "last +250 ms on n2", "left, last line", "n1 from 14:41:03.000 for 2000 ms", "to the end of its logs"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in\n%s", want, text.String())
		}
	}
	file := filepath.Join(t.TempDir(), "day.svg")
	if err := timeline.Draw(file); err != nil {
		t.Fatal(err)
	}
	if picture, err := os.ReadFile(file); err != nil || !strings.Contains(string(picture), "<svg") {
		t.Errorf("picture: %v", err)
	}
}

// TestEvacuationsCountBalancersThatRanAtTheFirst checks that a balancer that starts after an
// evacuation does not count towards its propagation time.
func TestEvacuationsCountBalancersThatRanAtTheFirst(t *testing.T) {
	zone := func(second float64, node, message string, revision uint64) logs.Line {
		line := at(second, node, message, 0)
		line.Zone, line.Revision = "za", revision
		return line
	}
	timeline := FromLines([]logs.Line{
		at(0, "n1", logs.Started, 0), at(0, "n2", logs.Started, 0),
		zone(3, "n1", logs.ZoneEvacuated, 40), zone(3.2, "n2", logs.ZoneEvacuated, 40),
		at(5, "n3", logs.Started, 0), zone(5.1, "n3", logs.ZoneEvacuated, 40),
		zone(9, "n2", logs.ZoneRestored, 52), zone(9.4, "n1", logs.ZoneRestored, 52), at(10, "n3", logs.Stopped, 0),
	})
	want := []Evacuation{
		{Zone: "za", Revision: 40, First: base.Add(3 * time.Second), Last: base.Add(3200 * time.Millisecond), Balancers: 2, LastNode: "n2"},
		{Zone: "za", Restored: true, Revision: 52, First: base.Add(9 * time.Second), Last: base.Add(9400 * time.Millisecond), Balancers: 2, LastNode: "n1"},
	}
	if !slices.Equal(timeline.Evacuations, want) {
		t.Fatalf("%+v", timeline.Evacuations)
	}
	var text strings.Builder
	if err := timeline.WriteText(&text); err != nil || !strings.Contains(text.String(), "za evacuated (revision 40): first 14:41:03") {
		t.Errorf("%v in\n%s", err, text.String())
	}
}
