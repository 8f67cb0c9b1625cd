package edge

import (
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/follow"
	"gaugeyard/internal/settings"
)

// TestExpiredBackendsReachFollowers checks that each answer has the time since the return of the store, also one that
// was encoded before.
func TestExpiredBackendsReachFollowers(t *testing.T) {
	source, follower := newTestNode(t, &fakeSource{}), newTestNode(t, &fakeSource{})
	listing := &directory.Listing{Revision: 7, Settings: &directory.Settings{Version: 1, Revision: 7, Tree: settings.Tree{"": {}}},
		Records: []directory.Record{{Revision: 2, Backend: directory.Backend{ID: 1, Group: "feed", Zone: "a"}}}}
	source.replace(listing, "store", source.now())
	follower.replace(listing, "store", follower.now())
	// The last confirmation by the store is old.
	source.confirmed = follow.Confirmation{}
	source.confirmed.Update(source.now() - time.Minute)
	control, _ := serveWithSilencer(t, source.controlHandler())
	source.apply(&directory.Changes{Revision: 8, Removed: []directory.Removal{{ID: 1, Revision: 8}}}, "store", source.now())
	if source.metrics.expired.Get() != 1 {
		t.Error("the expired back end is not counted")
	}
	call := follow.Call{Kind: follow.QueryPeer, Peer: control, Wait: 50 * time.Millisecond, Timeout: time.Second}
	if _, err := follower.execute(t.Context(), call); err != nil {
		t.Fatal(err)
	}
	if !follower.directory.IsExpired(1) {
		t.Error("the follower treats the expired back end as removed")
	}
	age, returning := follower.directory.ReturnAge(follower.now())
	if own, _ := source.directory.ReturnAge(source.now()); !returning || age < own-50*time.Millisecond {
		t.Errorf("return of the store at the follower: %v ago, want %v", age, own)
	}
}
