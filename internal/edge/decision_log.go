package edge

import (
	"math"
	"net/netip"
	"time"

	"gaugeyard/internal/steering"
)

// send sends a datagram. A failure is counted; the protocols above retransmit.
func (n *Node) send(datagram []byte, to netip.AddrPort) {
	if _, err := n.data.WriteToUDPAddrPort(datagram, to); err != nil {
		n.metrics.sendFailures.Inc()
	}
}

// logDecision logs each decision on a flow. Packets of established flows that follow their tag are only counted.
func (n *Node) logDecision(packet *steering.Packet, decision *steering.Decision) {
	switch {
	case decision.Action != steering.Forward:
		n.logRefusal(packet, decision)
	case decision.Moved:
		n.metrics.moved.Inc()
		n.metrics.byPart[decision.PartReason].Inc()
		n.logFlow(&n.exceptionLines, "flow moved before opening", "caller", packet.Flow.Caller, "service", packet.Flow.Service, "attempt", packet.Attempt,
			"backend", backendName(decision.Backend.ID), "before", backendName(decision.Previous.ID), "part", string(decision.Part.Path), "part_reason", decision.PartReason.String(),
			"revision", n.viewRevision.Load())
	case decision.Repinned:
		n.metrics.repinned.Inc()
	case decision.Placed:
		n.metrics.placed.Inc()
		if decision.Spilled {
			n.metrics.spilled.Inc()
		}
		n.metrics.byPart[decision.PartReason].Inc()
		n.logPlacement(packet, decision)
	}
}

// logReplacement logs that a packet of another flow between the same addresses replaced a record.
func (n *Node) logReplacement(packet *steering.Packet, decision *steering.Decision) {
	n.metrics.replaced.Inc()
	n.logFlow(&n.exceptionLines, "flow record replaced", "caller", packet.Flow.Caller, "service", packet.Flow.Service, "tag", uint32(packet.Tag),
		"before", backendName(decision.Replaced.ID), "revision", n.viewRevision.Load())
}

func (n *Node) logPlacement(packet *steering.Packet, decision *steering.Decision) {
	n.logFlow(&n.placementLines, "flow placed", "caller", packet.Flow.Caller, "service", packet.Flow.Service, "attempt", packet.Attempt,
		"backend", backendName(decision.Backend.ID), "address", decision.Backend.Address, "spilled", decision.Spilled,
		"part", string(decision.Part.Path), "part_reason", decision.PartReason.String(),
		"load", round(decision.Load), "mean", round(decision.Mean), "candidates", decision.Candidates, "revision", n.viewRevision.Load())
}

// logObservations logs changes in the observed state of back ends.
func (n *Node) logObservations(now time.Duration, events []steering.BackendEvent) {
	for _, event := range events {
		if event.Observation == steering.Ejected {
			n.metrics.outOfRotation.Inc()
		}
		if event.Observation == steering.Ejected || event.Observation == steering.Restored {
			n.log.Info(string(event.Observation), "backend", backendName(event.Backend), "failures", round(event.Failures), "revision", n.viewRevision.Load())
			continue
		}
		n.log.Info(string(event.Observation), "backend", backendName(event.Backend), "silent_ms", event.Silence.Milliseconds(),
			"for_ms", max(0, event.Until-now).Milliseconds(), "revision", n.viewRevision.Load())
	}
}

// round rounds a load to one decimal for the log.
func round(load float64) float64 {
	return math.Round(load*10) / 10
}

func (n *Node) logRefusal(packet *steering.Packet, decision *steering.Decision) {
	message := "packet dropped"
	if decision.Action == steering.Refuse {
		message = "flow refused"
	}
	n.logFlow(&n.exceptionLines, message, "reason", decision.Reason.String(), "caller", packet.Flow.Caller, "service", packet.Flow.Service,
		"attempt", packet.Attempt, "tag", uint32(packet.Tag), "revision", n.viewRevision.Load())
}
