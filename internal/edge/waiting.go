package edge

import (
	"time"

	"gaugeyard/internal/steering"
)

// maxWaiting is how many datagrams may wait at once; more are steered at once.
const maxDelayed = 256

// waitWith steers a datagram again after a moment, or at once where too many wait.
func (n *Node) delayCopy(datagram []byte) {
	if n.delayed.Add(1) > maxDelayed {
		n.handleDelayed(datagram)
		return
	}
	n.metrics.delayedCopies.Inc()
	copied := append([]byte(nil), datagram...)
	time.AfterFunc(steering.CopyWait, func() { n.handleDelayed(copied) })
}

// steerAgain steers a datagram that has waited.
func (n *Node) handleDelayed(datagram []byte) {
	defer n.delayed.Add(-1)
	n.handleStored(datagram, &steering.Packet{Waited: true})
}
