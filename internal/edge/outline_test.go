package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gaugeyard/internal/peers"
)

// controlOf serves a node to others and returns its address.
func startControl(t *testing.T, n *Node) netip.AddrPort {
	server := httptest.NewServer(n.controlHandler())
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// TestAnOutlineGoesAheadOfEverything: one that knows an outline alone tells it on, flows are placed by it, packets
// that wait for the rest are kept, and everything is learned as ever.
func TestAnOutlineGoesAheadOfEverything(t *testing.T) {
	first, second := newTestNode(t, &fakeSource{}), newTestNode(t, &fakeSource{})
	control := startControl(t, first)
	if reply, err := http.Get("http://" + control.String() + pathSummary + "?zone=a"); err != nil || reply.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("one that knows nothing answers %v, %v", reply, err)
	}
	if !first.applySummary(listing(t, 5), "store") || first.revision() != 0 || !first.ready() {
		t.Fatalf("revision %d, ready %v", first.revision(), first.ready())
	}
	if first.applySummary(listing(t, 6), "store") {
		t.Error("a second outline is taken")
	}
	hello := first.hello(first.now())
	hello.Control = control
	if !hello.Outline || hello.Revision != 0 {
		t.Errorf("it says %+v", hello)
	}
	second.receiveHello(context.Background(), hello)
	await(t, 10*time.Second, "no outline is learned", second.ready)
	if second.revision() != 0 || second.fetchingListing.Load() {
		t.Errorf("revision %d, learning %v", second.revision(), second.fetchingListing.Load())
	}
	if !second.startupQueue.add(second.now(), []byte("of a flow whose back end is not known")) {
		t.Error("nothing is kept for the rest")
	}
	first.replace(listing(t, 5), "store", 0)
	hello = first.hello(first.now())
	hello.Control = control
	if hello.Outline {
		t.Error("a few back ends need no outline")
	}
	second.receiveHello(context.Background(), hello)
	await(t, 10*time.Second, "the rest is not learned", func() bool { return second.revision() == 5 })
	if second.startupQueue.add(second.now(), []byte("late")) {
		t.Error("a packet is kept though everything is known")
	}
}

// TestAnOutlineIsAskedOfOneThatIsNamed, the ablest, by one that has none.
func TestAnOutlineIsAskedOfOneThatIsNamed(t *testing.T) {
	able, other := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	hello := &peers.Hello{Control: other, Others: []peers.Introduction{
		{Control: other, Outline: true}, {Control: able, Outline: true, Capacity: peers.Able}, {Control: other, Capacity: peers.Able},
	}}
	if teacher, found := summarySource(hello); !found || teacher != able {
		t.Errorf("%v, %v", teacher, found)
	}
	if _, found := summarySource(&peers.Hello{Control: other, Revision: 5}); found {
		t.Error("one that has none to tell is asked")
	}
}
