package emulator

import (
	"net/netip"
	"time"
)

// idleTime is how long a connection that nobody uses stays open.
const idleTime = 5 * time.Second

// connection is one of a balancer's to the store or to another balancer. Its bytes vanish once it
// has fallen silent.
type connection struct {
	world  *world
	remote netip.AddrPort
	// opened counts the times that open connections had fallen silent when it was opened.
	opened   int
	lastUsed time.Duration
}

// storeAddress is the remote end of connections to the store.
var storeAddress netip.AddrPort

// connect returns a connection for a call: an idle one where there is one, else a new one.
func (n *node) connect(remote netip.AddrPort) *connection {
	if c := n.idle[remote]; c != nil && n.world.Now-c.lastUsed <= idleTime {
		delete(n.idle, remote)
		return c
	}
	return &connection{world: n.world, remote: remote, opened: n.world.silences}
}

// release makes a connection idle after an answer.
func (n *node) release(c *connection) {
	c.lastUsed = n.world.Now
	n.idle[c.remote] = c
}

// silent tells whether what is sent over the connection now vanishes.
func (c *connection) silent() bool {
	return c.opened != c.world.silences
}

// silenceConnections lets all connections that are open fall silent, which counts as a disturbance
// of all balancers.
func (w *world) silenceConnections() {
	w.silences++
	for _, n := range w.nodes {
		n.disturb()
	}
}

// connectionsSilent silences connections again and again while servers leave and settings change.
func (w *world) connectionsSilent() {
	for i := range 4 {
		at := troubleStart + time.Duration(i)*(contactBound+1500*time.Millisecond)
		w.At(at, w.silenceConnections)
		w.At(at+contactBound/4, func() {
			w.operator.probe = []string{serviceFeed, ""}[i%2]
			w.operator.publish()
		})
	}
	w.release()
}
