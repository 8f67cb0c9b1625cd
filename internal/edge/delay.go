package edge

import (
	"time"

	"gaugeyard/internal/steering"
)

// maxDelayed bounds the datagrams that are delayed at the same time. Further ones are steered without delay.
const maxDelayed = 256

// delayCopy steers a copy of an opening datagram again after steering.CopyWait, or at once if too many are delayed.
func (n *Node) delayCopy(datagram []byte) {
	if n.delayed.Add(1) > maxDelayed {
		n.handleDelayed(datagram)
		return
	}
	n.metrics.delayedCopies.Inc()
	copied := append([]byte(nil), datagram...)
	time.AfterFunc(steering.CopyWait, func() { n.handleDelayed(copied) })
}

// handleDelayed steers a datagram after its delay.
func (n *Node) handleDelayed(datagram []byte) {
	defer n.delayed.Add(-1)
	n.handleStored(datagram, &steering.Packet{Waited: true})
}
