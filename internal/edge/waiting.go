package edge

import (
	"time"

	"gaugeyard/internal/steering"
)

// maxWaiting is how many datagrams may wait at once; more are steered at once.
const maxWaiting = 256

// waitWith steers a datagram again after a moment, or at once where too many wait.
func (n *Node) waitWith(datagram []byte) {
	if n.waiting.Add(1) > maxWaiting {
		n.steerAgain(datagram)
		return
	}
	n.metrics.waited.Inc()
	copied := append([]byte(nil), datagram...)
	time.AfterFunc(steering.CopyWait, func() { n.steerAgain(copied) })
}

// steerAgain steers a datagram that has waited.
func (n *Node) steerAgain(datagram []byte) {
	defer n.waiting.Add(-1)
	n.handleKept(datagram, &steering.Packet{Waited: true})
}
