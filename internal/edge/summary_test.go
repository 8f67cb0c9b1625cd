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

// startControl serves a node's control address and returns it.
func startControl(t *testing.T, n *Node) netip.AddrPort {
	server := httptest.NewServer(n.controlHandler())
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// TestASummaryPrecedesTheFullListing checks that a balancer with a summary is ready and offers it to others, queues
// packets for back ends that are not in it, and still fetches the full listing.
func TestASummaryPrecedesTheFullListing(t *testing.T) {
	first, second := newTestNode(t, &fakeSource{}), newTestNode(t, &fakeSource{})
	control := startControl(t, first)
	if reply, err := http.Get("http://" + control.String() + pathSummary + "?zone=a"); err != nil || reply.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a balancer without state answers %v, %v", reply, err)
	}
	if !first.applySummary(listing(t, 5), "store") || first.revision() != 0 || !first.ready() {
		t.Fatalf("revision %d, ready %v", first.revision(), first.ready())
	}
	if first.applySummary(listing(t, 6), "store") {
		t.Error("a second summary is applied")
	}
	hello := first.hello(first.now())
	hello.Control = control
	if !hello.HasSummary || hello.Revision != 0 {
		t.Errorf("hello %+v", hello)
	}
	second.receiveHello(context.Background(), hello)
	await(t, 10*time.Second, "no summary is applied", second.ready)
	if second.revision() != 0 || second.fetchingListing.Load() {
		t.Errorf("revision %d, fetching listing %v", second.revision(), second.fetchingListing.Load())
	}
	if !second.startupQueue.add(second.now(), []byte("of a flow whose back end is not known")) {
		t.Error("a packet is not queued for the full listing")
	}
	first.replace(listing(t, 5), "store", first.now())
	hello = first.hello(first.now())
	hello.Control = control
	if hello.HasSummary {
		t.Error("a summary of a few back ends is offered")
	}
	second.receiveHello(context.Background(), hello)
	await(t, 10*time.Second, "the full listing is not applied", func() bool { return second.revision() == 5 })
	if second.startupQueue.add(second.now(), []byte("late")) {
		t.Error("a packet is queued after the full listing")
	}
}

// TestASummaryIsRequestedFromANamedPeer checks that a hello without a summary leads to the named balancer with the
// highest capacity that offers one.
func TestASummaryIsRequestedFromANamedPeer(t *testing.T) {
	capable, other := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	hello := &peers.Hello{Control: other, Introductions: []peers.Introduction{
		{Control: other, HasSummary: true}, {Control: capable, HasSummary: true, Capacity: peers.CapacityHigh}, {Control: other, Capacity: peers.CapacityHigh},
	}}
	if source, found := summarySource(hello); !found || source != capable {
		t.Errorf("%v, %v", source, found)
	}
	if _, found := summarySource(&peers.Hello{Control: other, Revision: 5}); found {
		t.Error("a summary is requested from a balancer that offers none")
	}
}
