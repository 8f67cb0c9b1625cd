package directory

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gaugeyard/internal/settings"
)

const testRetention = 10 * time.Second

func backend(id settings.BackendID, draining bool) Backend {
	return Backend{
		ID: id, Group: "fonts", Zone: "a", Slots: 2, Draining: draining,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80),
	}
}

func record(id settings.BackendID, revision uint64) Record {
	return Record{Backend: backend(id, false), Revision: revision}
}

func version(t *testing.T, number, revision uint64, address string) *Settings {
	t.Helper()
	tree := settings.Tree{"": settings.Values{}}
	if err := tree.Set("fonts", settings.KeyAddress, address); err != nil {
		t.Fatal(err)
	}
	return &Settings{Version: number, Revision: revision, Tree: tree}
}

func open(view *View) []settings.BackendID {
	var ids []settings.BackendID
	for _, member := range view.Pool("fonts").Open {
		ids = append(ids, member.ID)
	}
	return ids
}

func wantOpen(t *testing.T, d *Directory, want ...settings.BackendID) {
	t.Helper()
	got := open(d.View())
	if len(got) != len(want) {
		t.Fatalf("open back ends %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("open back ends %v, want %v", got, want)
		}
	}
}

// TestOlderRevisionIsIgnored: another balancer or a late response may send a state that is
// older than the known one.
func TestOlderRevisionIsIgnored(t *testing.T) {
	d := New(testRetention)
	d.Replace(0, &Listing{Revision: 20, Settings: version(t, 5, 18, "192.0.2.1:80"), Records: []Record{record(1, 10), record(2, 19)}})
	t.Run("listing", func(t *testing.T) {
		d.Replace(0, &Listing{Revision: 12, Settings: version(t, 4, 9, "192.0.2.9:80"), Records: []Record{record(1, 10), record(3, 11)}})
		wantOpen(t, d, 1, 2)
	})
	t.Run("changes", func(t *testing.T) {
		d.Apply(0, &Changes{Revision: 19, Settings: version(t, 4, 9, "192.0.2.9:80"), Removed: []Removal{{ID: 2, Revision: 15}}})
		wantOpen(t, d, 1, 2)
	})
	if d.SettingsVersion() != 5 || d.Revision() != 20 {
		t.Errorf("version %d, revision %d", d.SettingsVersion(), d.Revision())
	}
	if d.View().Settings.ServiceAt(netip.MustParseAddrPort("192.0.2.1:80")) == nil {
		t.Error("the newer settings are no longer in force")
	}
}

// TestListingRemovesMissingEntries: when the store has lost its history, removals are
// known only from the difference of two listings.
func TestListingRemovesMissingEntries(t *testing.T) {
	d := New(testRetention)
	d.Replace(0, &Listing{Revision: 5, Records: []Record{record(1, 3), record(2, 4)}})
	events := d.Replace(time.Second, &Listing{Revision: 9, Records: []Record{record(2, 4)}})
	wantOpen(t, d, 2)
	if len(events) != 1 || events[0].Transition != BackendRemoved || events[0].Backend.ID != 1 {
		t.Errorf("events %+v", events)
	}
}

// TestListingEntryNewerThanRevision: the pages of a listing are not a snapshot, and the
// changes after its revision repeat what they have or miss.
func TestListingEntryNewerThanRevision(t *testing.T) {
	d := New(testRetention)
	d.Replace(0, &Listing{Revision: 10, Records: []Record{record(1, 12)}})
	d.Apply(0, &Changes{Revision: 13, Records: []Record{record(1, 11), record(1, 12), record(3, 13)}, Removed: []Removal{{ID: 1, Revision: 11}}})
	wantOpen(t, d, 1, 3)
}

// TestRemovedBackendKeepsTag: its tag is known for as long as a flow may live.
func TestRemovedBackendKeepsTag(t *testing.T) {
	d := New(testRetention)
	d.Replace(0, &Listing{Revision: 5, Records: []Record{record(1, 3)}})
	d.Apply(time.Second, &Changes{Revision: 6, Removed: []Removal{{ID: 1, Revision: 6}}})
	wantOpen(t, d)
	members := d.View().Tagged(TagOf(1))
	if len(members) != 1 || !members[0].Removed || members[0].RemovedAt != time.Second {
		t.Fatalf("tagged %+v", members)
	}
	if d.Forget(testRetention) || len(d.View().Tagged(TagOf(1))) != 1 {
		t.Error("forgotten before the retention ended")
	}
	if !d.Forget(2*testRetention) || len(d.View().Tagged(TagOf(1))) != 0 {
		t.Error("never forgotten")
	}
}

func TestDrainingBackendTakesNoNewFlows(t *testing.T) {
	d := New(testRetention)
	d.Replace(0, &Listing{Revision: 5, Records: []Record{record(1, 3), {Backend: backend(2, true), Revision: 4}}})
	wantOpen(t, d, 1)
	if len(d.View().Tagged(TagOf(2))) != 1 {
		t.Error("a draining back end is not found by its tag")
	}
	events := d.Apply(0, &Changes{Revision: 6, Records: []Record{{Backend: backend(1, true), Revision: 6}}})
	wantOpen(t, d)
	if len(events) != 1 || events[0].Transition != BackendDraining {
		t.Errorf("events %+v", events)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	d := New(testRetention)
	d.Replace(0, &Listing{Revision: 5, Settings: version(t, 1, 4, "192.0.2.1:80")})
	broken := version(t, 2, 6, "192.0.2.2:80")
	broken.Tree["lost/child"] = settings.Values{}
	events := d.Apply(0, &Changes{Revision: 6, Settings: broken})
	if len(events) != 1 || events[0].Transition != SettingsRejected || events[0].Err == nil {
		t.Fatalf("events %+v", events)
	}
	if d.SettingsVersion() != 1 || d.View().Settings.ServiceAt(netip.MustParseAddrPort("192.0.2.1:80")) == nil {
		t.Error("the last valid settings are not in force")
	}
}

// TestChangesSince: the changes lead another directory to the same view, and are not known
// once removals among them are forgotten.
func TestChangesSince(t *testing.T) {
	first, second := New(testRetention), New(testRetention)
	listing := &Listing{Revision: 5, Settings: version(t, 1, 2, "192.0.2.1:80"), Records: []Record{record(1, 3), record(2, 4)}}
	first.Replace(0, listing)
	second.Replace(0, first.Listing())
	first.Apply(0, &Changes{Revision: 9, Settings: version(t, 3, 7, "192.0.2.3:80"), Records: []Record{record(3, 8)}, Removed: []Removal{{ID: 1, Revision: 9}}})
	changes, known := first.ChangesSince(5, 2)
	if !known {
		t.Fatal("changes are not known")
	}
	second.Apply(0, changes)
	wantOpen(t, second, 2, 3)
	if second.Revision() != 9 || second.SettingsVersion() != 3 || len(second.View().Tagged(TagOf(1))) != 1 {
		t.Errorf("revision %d, version %d", second.Revision(), second.SettingsVersion())
	}
	first.Forget(3 * testRetention)
	if _, known := first.ChangesSince(5, 2); known {
		t.Error("changes are known though a removal among them is forgotten")
	}
	if _, known := first.ChangesSince(9, 7); !known {
		t.Error("changes since revision 9 are not known, though nothing was forgotten since")
	}
}

// TestOldListingDoesNotRemoveLiveBackend: an old listing of another balancer may have a live back end as removed.
func TestOldListingDoesNotRemoveLiveBackend(t *testing.T) {
	d := New(testRetention)
	d.Replace(0, &Listing{Revision: 8, Records: []Record{record(1, 8)}})
	d.Replace(0, &Listing{Revision: 4, Removed: []Record{record(1, 3), record(2, 2)}})
	wantOpen(t, d, 1)
	if members := d.View().Tagged(TagOf(2)); len(members) != 1 || !members[0].Removed {
		t.Error("a back end removed before this balancer started is not known")
	}
}

// manyServices returns settings with the given number of services.
func manyServices(t testing.TB, number, revision uint64, services int) *Settings {
	t.Helper()
	tree := settings.Tree{"": settings.Values{}}
	for i := range services {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 80)
		if err := tree.Set(settings.Path(fmt.Sprintf("s%d", i)), settings.KeyAddress, address.String()); err != nil {
			t.Fatal(err)
		}
	}
	return &Settings{Version: number, Revision: revision, Tree: tree}
}

// TestSettingsAreSentAsStep: a balancer with earlier settings gets only the difference,
// also over several edits.
func TestSettingsAreSentAsStep(t *testing.T) {
	first, second, third := New(testRetention), New(testRetention), New(testRetention)
	first.Replace(0, &Listing{Revision: 5, Settings: manyServices(t, 1, 2, 500)})
	for _, d := range []*Directory{second, third} {
		d.Replace(0, first.Listing())
	}
	first.Apply(0, &Changes{Revision: 6, Settings: manyServices(t, 2, 6, 501)})
	first.Apply(0, &Changes{Revision: 7, Settings: manyServices(t, 3, 7, 502)})
	changes, known := first.ChangesSince(5, 2)
	if !known || changes.Settings != nil || changes.Step == nil || len(changes.Step.Changes) != 2 {
		t.Fatalf("known %v, whole settings %v, step %+v", known, changes.Settings != nil, changes.Step)
	}
	events := second.Apply(0, changes)
	if len(events) != 1 || events[0].Transition != SettingsApplied || second.SettingsVersion() != 3 || second.Revision() != 7 {
		t.Errorf("events %+v, version %d, revision %d", events, second.SettingsVersion(), second.Revision())
	}
	if second.View().Settings.ServiceAt(netip.MustParseAddrPort("198.18.1.245:80")) == nil {
		t.Error("the newest service is not in force")
	}
	t.Run("with another base", func(t *testing.T) {
		third.Apply(0, &Changes{Revision: 6, Settings: manyServices(t, 2, 6, 501)})
		if events := third.Apply(0, changes); len(events) != 0 || third.Revision() != 6 || third.SettingsVersion() != 2 {
			t.Errorf("events %+v, revision %d, version %d", events, third.Revision(), third.SettingsVersion())
		}
	})
	t.Run("with a base that is not remembered", func(t *testing.T) {
		if changes, _ := first.ChangesSince(5, 1); changes.Step != nil || changes.Settings == nil {
			t.Errorf("step %+v", changes.Step)
		}
	})
}

// TestIncrementalViewEqualsFullView: a view built from the previous one equals one built from
// scratch, and the previous one does not change.
func TestIncrementalViewEqualsFullView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(testRetention)
		now := time.Duration(0)
		for revision := uint64(1); revision < 40; revision++ {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			id := settings.BackendID(rapid.IntRange(1, 12).Draw(t, "id")) * 0x1_0000_0001
			record := Record{Backend: backend(id, rapid.Bool().Draw(t, "draining")), Revision: revision}
			record.Backend.Group = rapid.SampledFrom([]string{"fonts", "ingest"}).Draw(t, "group")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				d.Apply(now, &Changes{Revision: revision, Records: []Record{record}})
			case 2:
				d.Apply(now, &Changes{Revision: revision, Removed: []Removal{{ID: id, Revision: revision}}})
			case 3:
				d.Replace(now, &Listing{Revision: revision, Records: []Record{record}, Removed: []Record{{Backend: backend(id+1, false), Revision: 1}}})
			case 4:
				d.Forget(now)
			}
			before, described := d.view, fmt.Sprint(describe(d.view))
			got := describe(d.View())
			whole := &Directory{live: d.live, removed: d.removed, view: &View{}, changed: map[settings.BackendID]bool{}}
			for id := range d.live {
				whole.changed[id] = true
			}
			for id := range d.removed {
				whole.changed[id] = true
			}
			if want := describe(whole.View()); !reflect.DeepEqual(got, want) {
				t.Fatalf("revision %d:\n%v\nwant\n%v", revision, got, want)
			}
			if now := fmt.Sprint(describe(before)); now != described {
				t.Fatalf("the previous view has changed to\n%s\nfrom\n%s", now, described)
			}
		}
	})
}

// describe returns the members and pools of a view as lines.
func describe(v *View) []string {
	var lines []string
	for _, part := range v.tags {
		for tag, members := range part {
			for _, member := range members {
				lines = append(lines, fmt.Sprintf("%x %+v", tag, *member))
			}
		}
	}
	for _, group := range []string{"fonts", "ingest"} {
		for _, member := range v.Pool(group).Open {
			lines = append(lines, fmt.Sprintf("open %s %x", group, member.ID))
		}
		for _, member := range v.Pool(group).Removed {
			lines = append(lines, fmt.Sprintf("left %s %x", group, member.ID))
		}
	}
	slices.Sort(lines[:len(lines)-len(v.Pool("fonts").Open)-len(v.Pool("fonts").Removed)-len(v.Pool("ingest").Open)-len(v.Pool("ingest").Removed)])
	return lines
}
