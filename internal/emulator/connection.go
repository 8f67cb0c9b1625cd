package emulator

import (
	"net/netip"
	"time"
)

// idleTimeout is how long an unused connection stays open.
const idleTimeout = 5 * time.Second

// connection is a balancer's connection to the store or to another balancer. Once blackholed, it
// drops everything that is sent over it.
type connection struct {
	world  *world
	remote netip.AddrPort
	// epoch is the world's connectionEpoch when the connection was opened.
	epoch    int
	lastUsed time.Duration
}

// storeAddress is the remote end of connections to the store.
var storeAddress netip.AddrPort

// connect returns an idle connection if there is one, and otherwise a new one.
func (n *node) connect(remote netip.AddrPort) *connection {
	if c := n.idle[remote]; c != nil && n.world.Now-c.lastUsed <= idleTimeout {
		delete(n.idle, remote)
		return c
	}
	return &connection{world: n.world, remote: remote, epoch: n.world.connectionEpoch}
}

// release makes a connection idle after an answer.
func (n *node) release(c *connection) {
	c.lastUsed = n.world.Now
	n.idle[c.remote] = c
}

// isBlackholed reports whether data sent over the connection is dropped.
func (c *connection) isBlackholed() bool {
	return c.epoch != c.world.connectionEpoch
}

// blackholeConnections blackholes all open connections and disturbs all balancers.
func (w *world) blackholeConnections() {
	w.connectionEpoch++
	for _, n := range w.nodes {
		n.disturb()
	}
}

// connectionsSilent blackholes connections repeatedly while servers leave and settings change.
func (w *world) connectionsSilent() {
	for i := range 4 {
		at := faultStart + time.Duration(i)*(contactBound+1500*time.Millisecond)
		w.At(at, w.blackholeConnections)
		w.At(at+contactBound/4, func() {
			w.operator.probeService = []string{serviceFeed, ""}[i%2]
			w.operator.publish()
		})
	}
	w.release()
}
