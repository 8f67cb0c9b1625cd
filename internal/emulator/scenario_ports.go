package emulator

import (
	"net/netip"
	"time"
)

const (
	// portRest is how long a port rests after its flow was closed. A packet of the flow arrives within
	// that time.
	portRest = 20 * time.Millisecond
	// reuseCloseShare is the share of requests after which a stream's client closes its flow.
	reuseCloseShare = 0.2
	// restartRounds is how often every balancer restarts.
	restartRounds = 3
)

// routeZone identifies the clients of a zone that use a route.
type routeZone struct {
	zone  string
	route netip.AddrPort
}

// closedPort is the address of a client whose flow was closed at a time.
type closedPort struct {
	address  netip.AddrPort
	closedAt time.Duration
}

// reusePorts makes clients use the ports of closed flows again while balancers restart in turn.
// Each restart moves most flows to other balancers, some of which have passed an earlier flow from
// the same port.
func (w *world) reusePorts() {
	w.portsReused = true
	w.options.FlowCloseShare = reuseCloseShare
	for round := range restartRounds {
		for i, n := range w.nodes {
			w.At(faultStart+time.Duration(round*len(w.nodes)+i)*700*time.Millisecond, n.stop)
		}
	}
}

// callerAddress returns the address for a new flow of a client.
func (w *world) callerAddress(zone string, route netip.AddrPort) netip.AddrPort {
	key := routeZone{zone, route}
	if closed := w.closedPorts[key]; len(closed) > 0 && w.Now-closed[0].closedAt >= portRest {
		w.closedPorts[key] = closed[1:]
		return closed[0].address
	}
	w.nextCaller++
	ip := netip.AddrFrom4([4]byte{100, 64, byte(w.nextCaller >> 8), byte(w.nextCaller)})
	return netip.AddrPortFrom(ip, uint16(1024+w.nextCaller%60000))
}

// releaseCaller records that a client's flow is closed.
func (w *world) releaseCaller(c *clientFlow) {
	delete(w.clients, c.key)
	if w.portsReused {
		key := routeZone{c.zone, c.key.Service}
		w.closedPorts[key] = append(w.closedPorts[key], closedPort{c.key.Caller, w.Now})
	}
}
