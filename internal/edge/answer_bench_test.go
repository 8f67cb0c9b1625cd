package edge

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// BenchmarkAnswerFollower measures a cached answer to a follower, including the work of the follower. The capacity
// classes of machines depend on its cost for maxFollowers.
func BenchmarkAnswerFollower(b *testing.B) {
	node := newTestNode(b, &fakeSource{listing: listing(b, 5)})
	node.replace(listing(b, 5), "store", node.now())
	server := httptest.NewServer(node.controlHandler())
	defer server.Close()
	follower := peerSource{node, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := follower.changes(context.Background(), peerRequest{after: 1, base: 1}, time.Minute, time.Second); err != nil {
			b.Fatal(err)
		}
	}
}
