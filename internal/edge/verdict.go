package edge

import (
	"math"
	"net/netip"
	"time"

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
		n.metrics.byPart[verdict.PartReason].Inc()
		n.logFlow(&n.oddLines, "flow moved before opening", "caller", packet.Flow.Caller, "service", packet.Flow.Service, "attempt", packet.Attempt,
			"backend", backendName(verdict.Backend.ID), "before", backendName(verdict.Previous.ID), "part", string(verdict.Part.Path), "part_reason", verdict.PartReason.String(),
			"revision", n.viewRevision.Load())
	case verdict.Repinned:
		n.metrics.repinned.Inc()
	case verdict.Placed:
		n.metrics.placed.Inc()
		if verdict.Spilled {
			n.metrics.spilled.Inc()
		}
		n.metrics.byPart[verdict.PartReason].Inc()
		n.logPlacement(packet, verdict)
	}
}

func (n *Node) logPlacement(packet *steering.Packet, verdict *steering.Verdict) {
	n.logFlow(&n.placedLines, "flow placed", "caller", packet.Flow.Caller, "service", packet.Flow.Service, "attempt", packet.Attempt,
		"backend", backendName(verdict.Backend.ID), "address", verdict.Backend.Address, "spilled", verdict.Spilled,
		"part", string(verdict.Part.Path), "part_reason", verdict.PartReason.String(),
		"load", round(verdict.Load), "mean", round(verdict.Mean), "candidates", verdict.Candidates, "revision", n.viewRevision.Load())
}

// logObservations writes what packets have shown of back ends.
func (n *Node) logObservations(now time.Duration, events []steering.BackendEvent) {
	for _, event := range events {
		if event.Observation == steering.OutOfRotation {
			n.metrics.outOfRotation.Inc()
		}
		if event.Observation == steering.OutOfRotation || event.Observation == steering.BackInRotation {
			n.log.Info(string(event.Observation), "backend", backendName(event.Backend), "failures", round(event.Failures), "revision", n.viewRevision.Load())
			continue
		}
		n.log.Info(string(event.Observation), "backend", backendName(event.Backend), "silent_ms", event.Silence.Milliseconds(),
			"for_ms", max(0, event.Until-now).Milliseconds(), "revision", n.viewRevision.Load())
	}
}

// round keeps a load short in the log.
func round(load float64) float64 {
	return math.Round(load*10) / 10
}

func (n *Node) logRefusal(packet *steering.Packet, verdict *steering.Verdict) {
	message := "packet dropped"
	if verdict.Action == steering.Refuse {
		message = "flow refused"
	}
	n.logFlow(&n.oddLines, message, "reason", verdict.Reason.String(), "caller", packet.Flow.Caller, "service", packet.Flow.Service,
		"attempt", packet.Attempt, "tag", uint32(packet.Tag), "revision", n.viewRevision.Load())
}
