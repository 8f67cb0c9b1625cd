package edge

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/follow"
)

// startPeer starts a node with 40 routes at revision 1, and returns its control address.
func startPeer(t *testing.T) (*Node, netip.AddrPort) {
	t.Helper()
	n := newTestNode(t, &fakeSource{})
	n.replace(&directory.Listing{Revision: 1, Settings: &directory.Settings{Version: 1, Revision: 1, Tree: routeTree(40)}}, "store", n.now())
	server := httptest.NewServer(n.controlHandler())
	t.Cleanup(server.Close)
	return n, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func requestChanges(t *testing.T, n *Node, peer netip.AddrPort) {
	t.Helper()
	if err := n.requestFromPeer(context.Background(), follow.Call{Kind: follow.QueryPeer, Peer: peer, Wait: time.Second}); err != nil {
		t.Fatal(err)
	}
}

// TestAnAnswerIsForwardedUnchanged checks that followers with the same request get the received bytes, and that a
// follower with other settings gets an answer built from the local state.
func TestAnAnswerIsForwardedUnchanged(t *testing.T) {
	first, atFirst := startPeer(t)
	second, atSecond := startPeer(t)
	third, _ := startPeer(t)
	first.apply(&directory.Changes{Revision: 2, Settings: &directory.Settings{Version: 2, Revision: 2, Tree: routeTree(300)}}, "store", first.now())
	request := peerRequest{after: 1, base: 1}
	requestChanges(t, second, atFirst)
	cached, forwardable := second.answerCache.entries[request]
	if sent := first.answerCache.entries[request]; !forwardable || !bytes.Equal(cached.bytes, sent.bytes) || !cached.compressed {
		t.Errorf("an answer of %d bytes is forwarded as %d", len(sent.bytes), len(cached.bytes))
	}
	requestChanges(t, third, atSecond)
	if got := len(third.directory.View().Settings.Services); got != 300 || third.revision() != 2 || third.directory.SettingsVersion() != 2 {
		t.Errorf("%d routes at revision %d", got, third.revision())
	}
	second.apply(&directory.Changes{Revision: 3, Settings: &directory.Settings{Version: 3, Revision: 3, Tree: routeTree(299)}}, "store", second.now())
	requestChanges(t, third, atSecond)
	if got := len(third.directory.View().Settings.Services); got != 299 || third.revision() != 3 {
		t.Errorf("%d routes at revision %d after the next change", got, third.revision())
	}
	answer, err := (&peerSource{third, atSecond}).changes(context.Background(), peerRequest{after: 1}, 0, time.Second)
	if err != nil || answer.Changes.Step != nil || answer.Changes.Settings == nil || len(answer.Changes.Settings.Tree) != len(routeTree(299)) {
		t.Errorf("a follower whose settings are not known gets %+v, %v", answer, err)
	}
}

// TestATruncatedAnswerChangesNothing guards against state from a partial answer.
func TestATruncatedAnswerChangesNothing(t *testing.T) {
	_, changes := settingsGrowth(t, 300)
	encoded, err := encodeAnswer(&peerAnswer{Changes: changes})
	if err != nil {
		t.Fatal(err)
	}
	n, _ := startPeer(t)
	for _, length := range []int{0, 1, len(encoded.bytes) / 2, len(encoded.bytes) - 9} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerAge, "0")
			w.Header().Set("Content-Encoding", encodingGzip)
			_, _ = w.Write(encoded.bytes[:length])
		}))
		peer := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		if err := n.requestFromPeer(context.Background(), follow.Call{Kind: follow.QueryPeer, Peer: peer}); err == nil {
			t.Errorf("%d of %d bytes are accepted", length, len(encoded.bytes))
		}
		server.Close()
		if len(n.directory.View().Settings.Services) != 40 || n.revision() != 1 || len(n.answerCache.entries) > 0 {
			t.Fatalf("after %d of %d bytes: revision %d", length, len(encoded.bytes), n.revision())
		}
	}
}
