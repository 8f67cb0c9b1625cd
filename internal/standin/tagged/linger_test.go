package tagged

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"
)

// TestOpenFlowsStickToLingeringBalancer checks that packets of open flows go to a lingering
// balancer until its process has ended, and that new flows do not.
func TestOpenFlowsStickToLingeringBalancer(t *testing.T) {
	stopping, other := &member{Balancer: Balancer{Data: netip.MustParseAddrPort("127.0.0.1:1")}}, &member{Balancer: Balancer{Data: netip.MustParseAddrPort("127.0.0.2:1")}}
	r := &router{lingering: map[netip.AddrPort]bool{}, lastTargets: map[netip.AddrPort]*member{}}
	open := &packet{source: testCaller, flags: flagACK}
	r.stickyTarget(open, stopping)
	r.setLingering(stopping.Data, true)
	if to := r.stickyTarget(open, other); to != stopping {
		t.Errorf("a packet of an open flow goes to %s, want the lingering balancer", to.Data)
	}
	if to := r.stickyTarget(&packet{source: testCaller, flags: flagSYN}, other); to != other {
		t.Errorf("an opening packet goes to %s, want the other balancer", to.Data)
	}
	r.stickyTarget(open, stopping)
	r.setLingering(stopping.Data, false)
	if to := r.stickyTarget(open, other); to != other {
		t.Errorf("a packet goes to %s, whose process has ended", to.Data)
	}
}

// TestHostileInputIsBoundedAndDelivered checks that hostile input ends in time, reaches its
// targets and names no route.
func TestHostileInputIsBoundedAndDelivered(t *testing.T) {
	listen := func() *net.UDPConn {
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { socket.Close() })
		return socket
	}
	data, peer := listen(), listen()
	start := time.Now()
	SendHostile(context.Background(), HostileTargets{Data: data.LocalAddr().(*net.UDPAddr).AddrPort(), Peer: peer.LocalAddr().(*net.UDPAddr).AddrPort()})
	if took := time.Since(start); took > 2*hostileDuration {
		t.Errorf("SendHostile took %v", took)
	}
	for _, socket := range []*net.UDPConn{data, peer} {
		if err := socket.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, _, err := socket.ReadFromUDPAddrPort(make([]byte, 4000)); err != nil {
			t.Error(err)
		}
	}
	for range 1000 {
		if p, err := decode(hostilePacket()); err == nil && p.destination.Addr() != netip.MustParseAddr("203.0.113.9") && len(p.data) < 100 {
			t.Errorf("hostile packet for a route: %+v", p)
		}
	}
}
