package edge

import (
	"net/netip"

	"gaugeyard/internal/steering"
)

// send sends one datagram. One that cannot be sent is lost as on any network; the
// protocols above repeat it.
func (n *Node) send(datagram []byte, to netip.AddrPort) {
	if _, err := n.data.WriteToUDPAddrPort(datagram, to); err != nil {
		n.metrics.sendFailures.Inc()
	}
}

// logVerdict writes a line for each decision on a flow. Packets of established
// flows that follow their tag decide nothing and are only counted.
func (n *Node) logVerdict(packet *steering.Packet, verdict *steering.Verdict) {
	switch {
	case verdict.Action != steering.Forward:
		n.logRefusal(packet, verdict)
	case verdict.Moved:
		n.metrics.moved.Inc()
		n.logPlacement("flow moved before opening", packet, verdict)
	case verdict.Repinned:
		n.metrics.repinned.Inc()
	case verdict.Placed:
		n.metrics.placed.Inc()
		if verdict.Spilled {
			n.metrics.spilled.Inc()
		}
		n.logPlacement("flow placed", packet, verdict)
	}
}

func (n *Node) logPlacement(message string, packet *steering.Packet, verdict *steering.Verdict) {
	n.log.Info(message, "caller", packet.Flow.Caller, "service", packet.Flow.Service, "attempt", packet.Attempt,
		"backend", backendName(verdict.Backend.ID), "address", verdict.Backend.Address, "spilled", verdict.Spilled,
		"revision", n.viewRevision.Load())
}

func (n *Node) logRefusal(packet *steering.Packet, verdict *steering.Verdict) {
	message := "packet dropped"
	if verdict.Action == steering.Refuse {
		message = "flow refused"
	}
	n.log.Info(message, "reason", verdict.Reason.String(), "caller", packet.Flow.Caller, "service", packet.Flow.Service,
		"attempt", packet.Attempt, "tag", uint32(packet.Tag), "revision", n.viewRevision.Load())
}
