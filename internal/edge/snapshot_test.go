package edge

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/snapshot"
)

// fakeKeeper keeps parts as the store does; lost answers are those of writes that are done.
type fakeSnapshotStore struct {
	kept  map[int]snapshot.Stored
	lost  bool
	calls int
}

func (k *fakeSnapshotStore) Keep(_ context.Context, write *snapshot.Write) (snapshot.Outcome, error) {
	k.calls++
	for _, part := range write.Parts {
		if stored := k.kept[part.Part]; stored.Revision != part.Revision {
			return snapshot.Outcome{Conflict: true, Current: []snapshot.Stored{stored}}, nil
		}
	}
	for _, part := range write.Parts {
		k.kept[part.Part] = snapshot.Stored{Part: part.Part, Value: part.Value, Revision: uint64(k.calls)}
	}
	if k.lost {
		return snapshot.Outcome{}, errors.New("no answer")
	}
	return snapshot.Outcome{Revision: uint64(k.calls)}, nil
}

// eight are back ends of one group.
func eightBackends() *directory.Listing {
	listing := &directory.Listing{Revision: 9, Settings: &directory.Settings{Version: 1, Revision: 1, Tree: settings.Tree{"": {}}}}
	for id := settings.BackendID(1); id <= 8; id++ {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80)
		listing.Records = append(listing.Records, directory.Record{Revision: uint64(id), Backend: directory.Backend{ID: id, Group: "feed", Zone: "a", Address: address, Slots: 2}})
	}
	return listing
}

// writerOf is a node that is to write a snapshot of what a listing has.
func snapshotWriter(t *testing.T, keeper *fakeSnapshotStore, listing *directory.Listing) *Node {
	node := newTestNode(t, &fakeSource{})
	enableSnapshot(node)
	node.adapter.Keeper = keeper
	node.started = time.Now().Add(-time.Minute)
	node.followsStore.Store(true)
	node.replace(listing, "store", 0)
	node.initializedAt = time.Second
	return node
}

func enableSnapshot(node *Node) {
	config := *node.config()
	config.Snapshot = true
	node.current.Store(&config)
}

// starter is a node that starts and lists the store, which has few back ends and the parts.
func startedNode(t *testing.T, on bool, listed *directory.Listing, kept ...snapshot.Stored) *Node {
	t.Helper()
	node := newTestNode(t, &fakeSource{listing: listed, kept: kept})
	if on {
		enableSnapshot(node)
	}
	if err := node.listStore(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	return node
}

func expiredCount(node *Node) (count int) {
	for id := settings.BackendID(1); id <= 8; id++ {
		if node.directory.IsLapsed(id) {
			count++
		}
	}
	return count
}

// TestABalancerThatStartsKnowsWhoWasThere by what another one wrote before.
func TestABalancerThatStartsKnowsWhoWasThere(t *testing.T) {
	keeper := &fakeSnapshotStore{kept: map[int]snapshot.Stored{}}
	writer := snapshotWriter(t, keeper, eightBackends())
	write, due := writer.nextSnapshot()
	if !due {
		t.Fatal("nothing is written")
	}
	writer.writeSnapshot(t.Context(), write)
	if writer.metrics.snapshotWrites.Get() != 1 {
		t.Error("the write is not counted")
	}
	if _, again := writer.nextSnapshot(); again {
		t.Error("it is written again without a change")
	}
	few := eightBackends()
	few.Records = few.Records[:2]
	if lapsed := expiredCount(startedNode(t, true, few, keeper.kept[0])); lapsed != 6 {
		t.Errorf("%d back ends are believed in, want 6", lapsed)
	}
	if lapsed := expiredCount(startedNode(t, false, few, keeper.kept[0])); lapsed != 0 {
		t.Errorf("%d back ends are believed in though no snapshot is wanted", lapsed)
	}
	torn := keeper.kept[0]
	torn.Value = torn.Value[:len(torn.Value)-1]
	node := startedNode(t, true, few, torn)
	if lapsed := expiredCount(node); lapsed != 0 || node.metrics.snapshotFaults.Get() != 1 || node.directory.Revision() != 9 {
		t.Errorf("a torn part: %d are believed in, %d faults", lapsed, node.metrics.snapshotFaults.Get())
	}
	// A process of some age has not lost everything just now.
	old := newTestNode(t, &fakeSource{listing: few, kept: []snapshot.Stored{keeper.kept[0]}})
	enableSnapshot(old)
	old.started = time.Now().Add(-time.Minute)
	if err := old.listStore(t.Context(), 0); err != nil || expiredCount(old) != 0 {
		t.Errorf("an old process believes in %d, %v", expiredCount(old), err)
	}
}

// TestAWriteWithoutAnAnswerIsFoundOut: it was done, so that the next one hears of a conflict and has
// nothing to write.
func TestAWriteWithoutAnAnswerIsFoundOut(t *testing.T) {
	keeper := &fakeSnapshotStore{kept: map[int]snapshot.Stored{}, lost: true}
	node := snapshotWriter(t, keeper, eightBackends())
	for range 3 {
		write, due := node.nextSnapshot()
		if !due {
			break
		}
		node.writeSnapshot(t.Context(), write)
		// The time until the next write passes.
		node.started = node.started.Add(-time.Minute)
		node.confirmed.Note(node.now(), 0)
	}
	if keeper.calls != 2 || node.metrics.snapshotFailures.Get() != 2 {
		t.Errorf("%d calls, %d failures, want 2 of each", keeper.calls, node.metrics.snapshotFailures.Get())
	}
}
