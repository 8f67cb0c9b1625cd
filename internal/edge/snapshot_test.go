package edge

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/follow"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/snapshot"
)

// fakeSnapshotStore stores parts as the store does. If loseResponses is set, writes succeed and return an error.
type fakeSnapshotStore struct {
	parts         map[int]snapshot.Stored
	loseResponses bool
	calls         int
}

func (k *fakeSnapshotStore) WriteSnapshot(_ context.Context, write *snapshot.Write) (snapshot.Outcome, error) {
	k.calls++
	for _, part := range write.Parts {
		if stored := k.parts[part.Part]; stored.Revision != part.Revision {
			return snapshot.Outcome{Conflict: true, Current: []snapshot.Stored{stored}}, nil
		}
	}
	for _, part := range write.Parts {
		k.parts[part.Part] = snapshot.Stored{Part: part.Part, Value: part.Value, Revision: uint64(k.calls)}
	}
	if k.loseResponses {
		return snapshot.Outcome{}, errors.New("no answer")
	}
	return snapshot.Outcome{Revision: uint64(k.calls)}, nil
}

// eightBackends returns a listing of eight back ends of one group.
func eightBackends() *directory.Listing {
	listing := &directory.Listing{Revision: 9, Settings: &directory.Settings{Version: 1, Revision: 1, Tree: settings.Tree{"": {}}}}
	for id := settings.BackendID(1); id <= 8; id++ {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80)
		listing.Records = append(listing.Records, directory.Record{Revision: uint64(id), Backend: directory.Backend{ID: id, Group: "feed", Zone: "a", Address: address, Slots: 2}})
	}
	return listing
}

// snapshotWriter returns a node that has installed a listing and whose task it is to write the snapshot.
func snapshotWriter(t *testing.T, store *fakeSnapshotStore, listing *directory.Listing) *Node {
	node := newTestNode(t, &fakeSource{})
	enableSnapshot(node)
	node.adapter.SnapshotStore = store
	node.started = time.Now().Add(-time.Minute)
	node.followsStore.Store(true)
	node.replace(listing, "store", node.now())
	node.initializedAt = time.Second
	return node
}

func enableSnapshot(node *Node) {
	config := *node.config()
	config.Snapshot = true
	node.current.Store(&config)
}

// startedNode returns a node that has read a listing and parts of the snapshot from the store.
func startedNode(t *testing.T, enabled bool, listed *directory.Listing, parts ...snapshot.Stored) *Node {
	t.Helper()
	node := newTestNode(t, &fakeSource{listing: listed, parts: parts})
	if enabled {
		enableSnapshot(node)
	}
	if err := node.listStore(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	return node
}

func expiredCount(node *Node) (count int) {
	for id := settings.BackendID(1); id <= 8; id++ {
		if node.directory.IsExpired(id) {
			count++
		}
	}
	return count
}

// TestAStartedBalancerUsesTheSnapshot checks that a balancer that has just started retains back ends which are missing
// from the store and named by a valid snapshot, and that an older process ignores it.
func TestAStartedBalancerUsesTheSnapshot(t *testing.T) {
	store := &fakeSnapshotStore{parts: map[int]snapshot.Stored{}}
	writer := snapshotWriter(t, store, eightBackends())
	write, due := writer.nextSnapshot()
	if !due {
		t.Fatal("nothing is written")
	}
	writer.writeSnapshot(t.Context(), write)
	if writer.metrics.snapshotWrites.Get() != 1 {
		t.Error("the write is not counted")
	}
	if _, again := writer.nextSnapshot(); again {
		t.Error("the snapshot is written again without a change")
	}
	few := eightBackends()
	few.Records = few.Records[:2]
	if expired := expiredCount(startedNode(t, true, few, store.parts[0])); expired != 6 {
		t.Errorf("%d back ends are retained, want 6", expired)
	}
	if expired := expiredCount(startedNode(t, false, few, store.parts[0])); expired != 0 {
		t.Errorf("%d back ends are retained with snapshots disabled", expired)
	}
	truncated := store.parts[0]
	truncated.Value = truncated.Value[:len(truncated.Value)-1]
	node := startedNode(t, true, few, truncated)
	if expired := expiredCount(node); expired != 0 || node.metrics.snapshotFaults.Get() != 1 || node.directory.Revision() != 9 {
		t.Errorf("truncated part: %d back ends are retained, %d faults", expired, node.metrics.snapshotFaults.Get())
	}
	// A process that has run for longer does not use the snapshot.
	old := newTestNode(t, &fakeSource{listing: few, parts: []snapshot.Stored{store.parts[0]}})
	enableSnapshot(old)
	old.started = time.Now().Add(-time.Minute)
	if err := old.listStore(t.Context(), 0); err != nil || expiredCount(old) != 0 {
		t.Errorf("a process that has run for longer retains %d, %v", expiredCount(old), err)
	}
}

// TestSnapshotIsWrittenBetweenWatches guards against a snapshot that is seldom written on platforms with a long contact bound,
// where waits at the store are long and the state of a healthy balancer is several seconds old.
func TestSnapshotIsWrittenBetweenWatches(t *testing.T) {
	store := &fakeSnapshotStore{parts: map[int]snapshot.Stored{}}
	node := snapshotWriter(t, store, eightBackends())
	config := *node.config()
	config.Bounds.Contact = 10 * time.Second
	node.current.Store(&config)
	for _, test := range []struct {
		staleness time.Duration
		due       bool
	}{{5 * time.Second, false}, {3 * time.Second, true}} {
		node.confirmed = follow.Confirmation{}
		node.confirmed.Update(node.now() - test.staleness)
		if _, due := node.nextSnapshot(); due != test.due {
			t.Errorf("a state %v old: due %v", test.staleness, due)
		}
	}
}

// TestAWriteWithoutAResponseIsDetected checks that a write which succeeded without a response leads to a conflict at the
// next one, and to no further write.
func TestAWriteWithoutAResponseIsDetected(t *testing.T) {
	store := &fakeSnapshotStore{parts: map[int]snapshot.Stored{}, loseResponses: true}
	node := snapshotWriter(t, store, eightBackends())
	for range 3 {
		write, due := node.nextSnapshot()
		if !due {
			break
		}
		node.writeSnapshot(t.Context(), write)
		node.started = node.started.Add(-time.Minute)
		node.confirmed.Update(node.now())
	}
	if store.calls != 2 || node.metrics.snapshotFailures.Get() != 2 {
		t.Errorf("%d calls, %d failures, want 2 of each", store.calls, node.metrics.snapshotFailures.Get())
	}
}
