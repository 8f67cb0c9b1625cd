package directory

import (
	"slices"
	"testing"
	"time"

	"gaugeyard/internal/settings"
)

const (
	contactBound = 4 * time.Second
	drainBound   = 3 * time.Second
	// outage is long enough to count as one, and window how long expired back ends are usable after it.
	outage = 5 * time.Second
	window = 1800 * time.Millisecond
)

// newConfirmedDirectory returns a directory with back ends 1 to 4, of which 4 drains, confirmed by the store at 0.
func newConfirmedDirectory() *Directory {
	d := New(time.Minute)
	d.SetExpiryBounds(ExpiryBoundsFor(contactBound, drainBound))
	d.Replace(0, &Listing{Revision: 5, Records: []Record{record(1, 1), record(2, 2), record(3, 3), {Backend: backend(4, true), Revision: 4}}})
	return d
}

// removals returns changes that remove back ends.
func removals(revision uint64, ids ...settings.BackendID) *Changes {
	changes := &Changes{Revision: revision}
	for _, id := range ids {
		changes.Removed = append(changes.Removed, Removal{ID: id, Revision: revision})
	}
	return changes
}

// usableAt returns the removed back ends that may take new flows at a time.
func usableAt(d *Directory, now time.Duration) []settings.BackendID {
	var ids []settings.BackendID
	pool := d.View().Pool("fonts")
	for _, member := range pool.Removed {
		if now < member.UsableUntil && now < pool.UsableUntil {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

func wantUsable(t *testing.T, d *Directory, now time.Duration, want ...settings.BackendID) {
	t.Helper()
	if got := usableAt(d, now); !slices.Equal(got, want) {
		t.Errorf("removed back ends usable at %v: %v, want %v", now, got, want)
	}
}

// TestBackendsExpireInOutage: removed ones stay usable for a bounded time, unless they were draining.
func TestBackendsExpireInOutage(t *testing.T) {
	d := newConfirmedDirectory()
	if !d.DetectStoreReturn(outage, 0, outage) {
		t.Fatal("the end of an outage is not detected")
	}
	d.Apply(outage, removals(8, 1, 2, 4))
	wantUsable(t, d, outage, 1, 2)
	wantOpen(t, d, 3)
	// A back end may expire later within the window.
	d.DetectStoreReturn(outage+time.Second, 0, time.Second)
	d.Apply(outage+time.Second, removals(9, 3))
	wantUsable(t, d, outage+window-1, 1, 2, 3)
	wantUsable(t, d, outage+window)
	// Back ends removed after the window are not usable.
	d.Apply(outage+window, &Changes{Revision: 10, Records: []Record{record(1, 10)}})
	d.Apply(outage+window, removals(11, 1))
	wantUsable(t, d, outage+window)
}

func TestListingAfterOutageExpiresMissingBackends(t *testing.T) {
	d := newConfirmedDirectory()
	d.DetectStoreReturn(outage, 0, outage)
	d.Replace(outage, &Listing{Revision: 9, Records: []Record{record(2, 2)}})
	wantUsable(t, d, outage, 1, 3)
}

// TestRemovalWithoutOutageIsNotExpiry: the store had confirmed the known state shortly before.
func TestRemovalWithoutOutageIsNotExpiry(t *testing.T) {
	d := newConfirmedDirectory()
	staleness := time.Duration(0.6 * float64(contactBound))
	if d.DetectStoreReturn(staleness, 0, staleness) {
		t.Error("a late confirmation is taken for the end of an outage")
	}
	d.Apply(staleness, removals(8, 1))
	wantUsable(t, d, staleness)
	// A back end removed before an outage does not expire either.
	d.DetectStoreReturn(staleness+outage, 0, outage)
	d.Apply(staleness+outage, removals(9, 1, 2))
	wantUsable(t, d, staleness+outage, 2)
}

// TestExpiredBackendBecomesUnusable once its entry is back, another back end announces its address, or its zone is
// evacuated.
func TestExpiredBackendBecomesUnusable(t *testing.T) {
	d := newConfirmedDirectory()
	d.DetectStoreReturn(outage, 0, outage)
	other := record(9, 7)
	other.Backend.Group, other.Backend.Address = "sounds", backend(3, false).Address
	changes := removals(8, 1, 2, 3)
	changes.Records = []Record{other}
	d.Apply(outage, changes)
	wantUsable(t, d, outage, 1, 2)
	other = record(10, 9)
	other.Backend.Address = backend(2, false).Address
	d.Apply(outage, &Changes{Revision: 9, Records: []Record{other}})
	wantUsable(t, d, outage, 1)
	d.Apply(outage, evacuate("a", 10))
	wantUsable(t, d, outage)
	d.Apply(outage, restore("a", 11))
	wantUsable(t, d, outage, 1)
	d.Apply(outage, &Changes{Revision: 12, Records: []Record{record(1, 12)}})
	wantUsable(t, d, outage)
	wantOpen(t, d, 1, 10)
}

// TestExpiryIsSentToPeers: late or repeated messages must not extend the window.
func TestExpiryIsSentToPeers(t *testing.T) {
	for _, whole := range []bool{false, true} {
		first, second, later := newConfirmedDirectory(), newConfirmedDirectory(), outage+time.Second
		first.DetectStoreReturn(outage, 0, outage)
		first.Apply(outage, removals(8, 1, 4))
		if whole {
			second = New(time.Minute)
			second.SetExpiryBounds(ExpiryBoundsFor(contactBound, drainBound))
		}
		send := func() {
			age, inWindow := first.ReturnAge(later)
			if !inWindow {
				t.Fatal("the return is not sent")
			}
			second.ReceiveStoreReturn(later - age)
			if whole {
				second.Replace(later, first.Listing())
				return
			}
			changes, _ := first.ChangesSince(5, 0)
			second.Apply(later, changes)
		}
		send()
		wantUsable(t, second, outage+window-1, 1)
		wantUsable(t, second, outage+window)
		if second.ReceiveStoreReturn(outage + 500*time.Millisecond) {
			t.Error("the same return starts a new window")
		}
		send()
		wantUsable(t, second, outage+window)
		if _, inWindow := first.ReturnAge(outage + window); inWindow {
			t.Error("the return is sent after the end of the window")
		}
	}
}

// TestFollowerTakesExpiryFromSender: a follower that was partitioned itself must not infer an outage of the store.
func TestFollowerTakesExpiryFromSender(t *testing.T) {
	first, second := newConfirmedDirectory(), newConfirmedDirectory()
	first.Apply(outage, removals(8, 1))
	changes, _ := first.ChangesSince(5, 0)
	second.DetectStoreReturn(outage, 0, outage)
	second.Apply(outage, changes)
	wantUsable(t, second, outage)
}

// TestLastAtAddressExpires: of two back ends at an address the earlier one has ended, and was of another service.
func TestLastAtAddressExpires(t *testing.T) {
	for name, test := range map[string]struct {
		removals []*Changes
		// expires is whether the last one does; it does not while another entry has its address.
		expires bool
	}{
		"together":   {[]*Changes{removals(8, 2, 7)}, true},
		"last first": {[]*Changes{removals(8, 2), removals(9, 7)}, false},
		"last after": {[]*Changes{removals(8, 7), removals(9, 2)}, true},
	} {
		for _, draining := range []bool{false, true} {
			d := New(time.Minute)
			d.SetExpiryBounds(ExpiryBoundsFor(contactBound, drainBound))
			older, newer := record(7, 1), record(2, 3)
			newer.Backend.Group, newer.Backend.Address, newer.Backend.Draining = "sounds", older.Backend.Address, draining
			d.Replace(0, &Listing{Revision: 5, Records: []Record{older, newer}})
			d.DetectStoreReturn(outage, 0, outage)
			for _, changes := range test.removals {
				d.Apply(outage, changes)
			}
			if d.IsExpired(7) || d.IsExpired(2) != (test.expires && !draining) {
				t.Errorf("%s, last one draining %v: first expired %v, last expired %v", name, draining, d.IsExpired(7), d.IsExpired(2))
			}
		}
	}
}

// fontsSettings are settings with one service, which uses the group of backend.
func fontsSettings(t *testing.T) *Settings {
	t.Helper()
	tree := settings.Tree{"": settings.Values{}, "web/any": settings.Values{}}
	for _, value := range []struct {
		path settings.Path
		key  settings.Key
		text string
	}{
		{"web", settings.KeyAddress, "198.18.0.1:443"},
		{"web/any/servers", settings.KeyDiscover, "fonts"},
		{"web/any/servers", settings.KeyShare, "1"},
	} {
		if err := tree.Set(value.path, value.key, value.text); err != nil {
			t.Fatal(err)
		}
	}
	return &Settings{Version: 1, Revision: 5, Tree: tree}
}

// TestForeignEntryKeepsExpiredBackendUsable: an entry of a group that no service uses may be of another writer. At
// the address of a back end that expired in an outage it does not end the use of that one.
func TestForeignEntryKeepsExpiredBackendUsable(t *testing.T) {
	for _, group := range []string{"audit", "fonts"} {
		entry := func(revision uint64) *Changes {
			other := record(9, revision)
			other.Backend.Group, other.Backend.Address = group, backend(1, false).Address
			return &Changes{Revision: revision, Records: []Record{other}}
		}
		for name, changes := range map[string][]*Changes{
			"written before the removal": {entry(6), removals(7, 1)},
			"written after the removal":  {removals(6, 1), entry(7)},
			"removed together with it":   {entry(6), removals(7, 1, 9)},
		} {
			d := newConfirmedDirectory()
			d.Apply(0, &Changes{Revision: 5, Settings: fontsSettings(t)})
			d.DetectStoreReturn(outage, 0, outage)
			for _, each := range changes {
				d.Apply(outage, each)
			}
			if usable := group == "audit"; !d.HasSettings() || d.IsExpired(1) != usable {
				t.Errorf("an entry of group %s, %s: back end 1 is usable: %v, want %v", group, name, d.IsExpired(1), usable)
			}
		}
	}
}

// TestSnapshotDoesNotRestoreRemovedBackend: another balancer may have sent the removal before the snapshot is read.
func TestSnapshotDoesNotRestoreRemovedBackend(t *testing.T) {
	d := New(time.Minute)
	d.SetExpiryBounds(ExpiryBoundsFor(contactBound, drainBound))
	d.Replace(0, &Listing{Revision: 6, FromPeer: true, Records: []Record{record(1, 1)}, Removed: []Record{record(2, 6)}})
	d.Replace(1, &Listing{Revision: 7, Records: []Record{record(1, 1)}, Missing: []Record{record(2, 2), record(3, 2)}})
	if d.IsExpired(2) || !d.IsExpired(3) {
		t.Errorf("known removed back end expired %v, want false; unknown back end expired %v, want true", d.IsExpired(2), d.IsExpired(3))
	}
}

// TestIncompleteListingIsNoSecondReturn: nothing is confirmed between the first page of a listing that fails and
// that of the next one.
func TestIncompleteListingIsNoSecondReturn(t *testing.T) {
	d := newConfirmedDirectory()
	if !d.DetectStoreReturn(outage, 0, outage) {
		t.Fatal("the end of the outage is not detected")
	}
	if d.DetectStoreReturn(outage+contactBound, 0, outage+contactBound) {
		t.Error("the first page of the next listing counts as the end of another outage")
	}
}
