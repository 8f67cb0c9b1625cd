package directory

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gaugeyard/internal/settings"
)

// interval is how often servers write in these tests.
const interval = 2 * time.Second

func recordStartedAt(id settings.BackendID, birth Birth, revision uint64) Record {
	told := record(id, revision)
	told.Backend.Born = birth
	return told
}

func newListedDirectory(records ...Record) *Directory {
	d := New(testRetention)
	d.SetInterval(interval)
	d.Replace(0, &Listing{Revision: 5, Records: records})
	return d
}

func applyRecordAt(d *Directory, now time.Duration, told Record) []Event {
	d.NoteCertain(now - 500*time.Millisecond)
	return d.Apply(now, &Changes{Revision: told.Revision, Records: []Record{told}})
}

// TestAnotherBirthIsAnotherStart: one that is told first, is missing or the same is none, and one that goes
// back ends no flow, since a late write tells it too.
func TestAnotherBirthIsAnotherStart(t *testing.T) {
	const now = 30 * time.Second
	const after = now - 500*time.Millisecond - maxSilentIntervals*interval
	for _, test := range []struct {
		name        string
		first, then Birth
		anew        bool
		after       time.Duration
	}{
		{"later", 100, 200, true, after},
		{"earlier", 200, 100, true, 0},
		{"the same", 100, 100, false, 0},
		{"not told any more", 100, 0, false, 0},
		{"told for the first time", 0, 100, false, 0},
	} {
		d := newListedDirectory(recordStartedAt(1, test.first, 3))
		events := applyRecordAt(d, now, recordStartedAt(1, test.then, 6))
		if anew := len(events) == 1 && events[0].Transition == BackendRestarted; anew != test.anew {
			t.Errorf("%s: events %+v", test.name, events)
		}
		if got := d.View().Member(1).StartedAfter; got != test.after {
			t.Errorf("%s: started after %v, want %v", test.name, got, test.after)
		}
	}
}

// TestALateWordOfAnEarlierStartEndsNoFlow of the present one, whose next entry tells its birth again.
func TestALateWordOfAnEarlierStartEndsNoFlow(t *testing.T) {
	d := newListedDirectory(recordStartedAt(1, 100, 3))
	applyRecordAt(d, 20*time.Second, recordStartedAt(1, 200, 6))
	after := d.View().Member(1).StartedAfter
	for i, birth := range []Birth{100, 200} {
		now := 40*time.Second + time.Duration(i)*interval
		if events := applyRecordAt(d, now, recordStartedAt(1, birth, uint64(7+i))); len(events) != 1 || events[0].Transition != BackendRestarted {
			t.Errorf("birth %d: events %+v", birth, events)
		}
		if got := d.View().Member(1).StartedAfter; got != after {
			t.Errorf("birth %d: started after %v, not %v", birth, got, after)
		}
	}
}

// TestAStartBehindAGapIsKnown: the entry went meanwhile, or all were listed anew.
func TestAStartBehindAGapIsKnown(t *testing.T) {
	d := newListedDirectory(recordStartedAt(1, 100, 3))
	d.Apply(10*time.Second, &Changes{Revision: 6, Gone: []Gone{{ID: 1, Revision: 6}}})
	applyRecordAt(d, 12*time.Second, recordStartedAt(1, 300, 9))
	listed := newListedDirectory(recordStartedAt(1, 100, 3))
	listed.NoteCertain(11500 * time.Millisecond)
	listed.Replace(12*time.Second, &Listing{Revision: 9, Records: []Record{recordStartedAt(1, 300, 9)}})
	for _, d := range []*Directory{d, listed} {
		if got := d.View().Member(1); got.Born != 300 || got.StartedAfter != 5500*time.Millisecond {
			t.Errorf("%+v", got)
		}
	}
}

// TestAnEntryThatNamesNoServerEndsTheBelief in it at once, by a listing or by changes, and is no lapse.
func TestAnEntryThatNamesNoServerEndsTheBelief(t *testing.T) {
	unusable := []Gone{{ID: 1, Revision: 8}, {ID: 7, Revision: 8}}
	for _, listed := range []bool{false, true} {
		d := newConfirmedDirectory()
		d.NoteConfirmed(outage, 0, outage)
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
		if members := d.View().Tagged(TagOf(1)); len(members) != 1 || !members[0].Gone {
			t.Errorf("open flows there have %+v", members)
		}
		if left := d.View().Pool("fonts").Left; len(left) > 0 {
			t.Errorf("a last resort %+v", left)
		}
		d.Apply(outage, &Changes{Revision: 10, Records: []Record{record(1, 7)}})
		wantOpen(t, d, 2, 3)
		d.Apply(outage, &Changes{Revision: 11, Records: []Record{record(1, 11)}})
		wantOpen(t, d, 1, 2, 3)
	}
}

// TestNoOrderOfWordsLeavesAnOlderStart in force: the store's history of one identifier comes as changes and
// listings, from the store and from others, late, twice and in any order.
func TestNoOrderOfWordsLeavesAnOlderStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 8).Draw(t, "words")
		words := make([]Changes, count)
		for i := range words {
			revision := uint64(10 + i)
			words[i].Revision = revision
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				words[i].Gone = []Gone{{ID: 1, Revision: revision}}
			case 1:
				words[i].Unusable = []Gone{{ID: 1, Revision: revision}}
			default:
				words[i].Records = []Record{recordStartedAt(1, Birth(rapid.IntRange(0, 3).Draw(t, "birth")), revision)}
			}
		}
		inOrder, mixed := newListedDirectory(recordStartedAt(1, 1, 3)), newListedDirectory(recordStartedAt(1, 1, 3))
		for i := range words {
			inOrder.Apply(0, &words[i])
		}
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, count-1), 0, 3*count).Draw(t, "order") {
			mixed.Apply(0, &words[i])
		}
		last := words[count-1]
		mixed.Apply(0, &last)
		want, got := inOrder.View().Member(1), mixed.View().Member(1)
		if live := len(last.Records) > 0; live && (got == nil || got.Gone || got.Born != want.Born) || !live && got != nil && !got.Gone {
			t.Fatalf("believed is %+v, in order %+v", got, want)
		}
	})
}
