package directory

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gaugeyard/internal/settings"
)

// interval is the announce interval of servers in these tests.
const interval = 2 * time.Second

func recordStartedAt(id settings.BackendID, startTime StartTime, revision uint64) Record {
	r := record(id, revision)
	r.Backend.StartTime = startTime
	return r
}

func newListedDirectory(records ...Record) *Directory {
	d := New(testRetention)
	d.SetInterval(interval)
	d.Replace(0, &Listing{Revision: 5, Records: records})
	return d
}

func applyRecordAt(d *Directory, now time.Duration, r Record) []Event {
	d.AdvanceConfirmedAt(now - 500*time.Millisecond)
	return d.Apply(now, &Changes{Revision: r.Revision, Records: []Record{r}})
}

// TestStartTimeChangeIsRestart: an equal, missing or first reported start time is no restart. One that goes back
// moves no bound for flows, since a delayed write reports it too.
func TestStartTimeChangeIsRestart(t *testing.T) {
	const now = 30 * time.Second
	const after = now - 500*time.Millisecond - maxSilentIntervals*interval
	for _, test := range []struct {
		name        string
		first, then StartTime
		restarted   bool
		after       time.Duration
	}{
		{"later", 100, 200, true, after},
		{"earlier", 200, 100, true, 0},
		{"the same", 100, 100, false, 0},
		{"no longer reported", 100, 0, false, 0},
		{"reported for the first time", 0, 100, false, 0},
	} {
		d := newListedDirectory(recordStartedAt(1, test.first, 3))
		events := applyRecordAt(d, now, recordStartedAt(1, test.then, 6))
		if restarted := len(events) == 1 && events[0].Transition == BackendRestarted; restarted != test.restarted {
			t.Errorf("%s: events %+v", test.name, events)
		}
		if got := d.View().Member(1).StartedAfter; got != test.after {
			t.Errorf("%s: started after %v, want %v", test.name, got, test.after)
		}
	}
}

// TestDelayedWriteOfEarlierStart: it does not move the bound of the current start, whose next entry reports its
// start time again.
func TestDelayedWriteOfEarlierStart(t *testing.T) {
	d := newListedDirectory(recordStartedAt(1, 100, 3))
	applyRecordAt(d, 20*time.Second, recordStartedAt(1, 200, 6))
	after := d.View().Member(1).StartedAfter
	for i, startTime := range []StartTime{100, 200} {
		now := 40*time.Second + time.Duration(i)*interval
		if events := applyRecordAt(d, now, recordStartedAt(1, startTime, uint64(7+i))); len(events) != 1 || events[0].Transition != BackendRestarted {
			t.Errorf("start time %d: events %+v", startTime, events)
		}
		if got := d.View().Member(1).StartedAfter; got != after {
			t.Errorf("start time %d: started after %v, want %v", startTime, got, after)
		}
	}
}

// TestRestartAfterRemovalOrListing: a restart is detected if the entry was removed before it, or if it comes with
// a new listing.
func TestRestartAfterRemovalOrListing(t *testing.T) {
	d := newListedDirectory(recordStartedAt(1, 100, 3))
	d.Apply(10*time.Second, &Changes{Revision: 6, Removed: []Removal{{ID: 1, Revision: 6}}})
	applyRecordAt(d, 12*time.Second, recordStartedAt(1, 300, 9))
	listed := newListedDirectory(recordStartedAt(1, 100, 3))
	listed.AdvanceConfirmedAt(11500 * time.Millisecond)
	listed.Replace(12*time.Second, &Listing{Revision: 9, Records: []Record{recordStartedAt(1, 300, 9)}})
	for _, d := range []*Directory{d, listed} {
		if got := d.View().Member(1); got.StartTime != 300 || got.StartedAfter != 5500*time.Millisecond {
			t.Errorf("member %+v, want start time 300, started after 5.5s", got)
		}
	}
}

// TestUnusableEntryRemovesBackend: it removes the back end at once, by a listing or by changes, and does not count
// as expired.
func TestUnusableEntryRemovesBackend(t *testing.T) {
	unusable := []Removal{{ID: 1, Revision: 8}, {ID: 7, Revision: 8}}
	for _, listed := range []bool{false, true} {
		d := newConfirmedDirectory()
		d.DetectStoreReturn(outage, 0, outage)
		var events []Event
		if listed {
			events = d.Replace(outage, &Listing{Revision: 9, Unusable: unusable, Records: []Record{record(2, 2), record(3, 3), {Backend: backend(4, true), Revision: 4}}})
		} else {
			events = d.Apply(outage, &Changes{Revision: 9, Unusable: unusable})
		}
		if len(events) != 1 || events[0].Transition != BackendUnusable || events[0].Backend.ID != 1 {
			t.Errorf("events %+v", events)
		}
		wantOpen(t, d, 2, 3)
		wantUsable(t, d, outage)
		if members := d.View().Tagged(TagOf(1)); len(members) != 1 || !members[0].Removed {
			t.Errorf("members with the tag: %+v, want one that is removed", members)
		}
		if removed := d.View().Pool("fonts").Removed; len(removed) > 0 {
			t.Errorf("removed back ends in the pool: %+v, want none", removed)
		}
		d.Apply(outage, &Changes{Revision: 10, Records: []Record{record(1, 7)}})
		wantOpen(t, d, 2, 3)
		d.Apply(outage, &Changes{Revision: 11, Records: []Record{record(1, 11)}})
		wantOpen(t, d, 1, 2, 3)
	}
}

// TestMessageOrderDoesNotMatter: changes of one identifier that are received late, twice and in any order must not
// leave an older start in force.
func TestMessageOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 8).Draw(t, "messages")
		messages := make([]Changes, count)
		for i := range messages {
			revision := uint64(10 + i)
			messages[i].Revision = revision
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				messages[i].Removed = []Removal{{ID: 1, Revision: revision}}
			case 1:
				messages[i].Unusable = []Removal{{ID: 1, Revision: revision}}
			default:
				messages[i].Records = []Record{recordStartedAt(1, StartTime(rapid.IntRange(0, 3).Draw(t, "birth")), revision)}
			}
		}
		inOrder, mixed := newListedDirectory(recordStartedAt(1, 1, 3)), newListedDirectory(recordStartedAt(1, 1, 3))
		for i := range messages {
			inOrder.Apply(0, &messages[i])
		}
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, count-1), 0, 3*count).Draw(t, "order") {
			mixed.Apply(0, &messages[i])
		}
		last := messages[count-1]
		mixed.Apply(0, &last)
		want, got := inOrder.View().Member(1), mixed.View().Member(1)
		if live := len(last.Records) > 0; live && (got == nil || got.Removed || got.StartTime != want.StartTime) || !live && got != nil && !got.Removed {
			t.Fatalf("member %+v, applied in order %+v", got, want)
		}
	})
}
