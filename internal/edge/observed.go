package edge

import (
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/peers"
	"gaugeyard/internal/steering"
)

// observations are what the steerer has found out beside the verdict on a packet, mostly
// nothing.
type observations struct {
	events []steering.BackendEvent
	resets []steering.Reset
	// alarm is set when others should hear of silent back ends at once.
	alarm bool
}

// takeObservations collects them. The steering lock is held.
func (n *Node) takeObservations() observations {
	return observations{n.steerer.TakeEvents(), n.steerer.TakeResets(), n.steerer.TakeAlarm()}
}

// actOn logs what was observed, ends flows at lost back ends and tells other balancers.
// buffer is for the datagrams.
func (n *Node) actOn(now time.Duration, seen *observations, buffer []byte) {
	if seen.events != nil {
		n.logObservations(now, seen.events)
	}
	for _, reset := range seen.resets {
		n.metrics.resets.Inc()
		n.refuse(buffer, reset.Flow, reset.Acknowledged)
		n.logFlow(&n.oddLines, "flow reset", "caller", reset.Flow.Caller, "service", reset.Flow.Service,
			"backend", backendName(reset.Backend), "revision", n.viewRevision.Load())
	}
	if seen.alarm {
		select {
		case n.alarms <- struct{}{}:
		default:
		}
	}
}

// refuse tells a caller that its flow does not open or is ended.
func (n *Node) refuse(buffer []byte, key flow.Key, acknowledged uint32) {
	n.send(n.adapter.Codec.Refusal(buffer, key, acknowledged), n.adapter.deliverTo(key.Caller.Addr()))
}

// heardStalls takes over what another balancer told of silent back ends.
func (n *Node) heardStalls(now time.Duration, hello *peers.Hello) {
	if len(hello.Stalls) == 0 {
		return
	}
	n.steering.Lock()
	n.steerer.HearStalls(now, hello.Control, hello.Stalls)
	seen := n.takeObservations()
	n.steering.Unlock()
	n.actOn(now, &seen, make([]byte, maxDatagram))
}
