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
	urgent bool
	// inquiries are to be sent to others.
	inquiries []steering.Inquiry
}

// takeObservations collects them. The steering lock is held.
func (n *Node) takeObservations() observations {
	return observations{n.steerer.TakeEvents(), n.steerer.TakeResets(), n.steerer.TakeAlarm(), n.steerer.TakeInquiries()}
}

// actOn logs what was observed, ends flows at lost back ends and tells other balancers.
// buffer is for the datagrams.
func (n *Node) handleObservations(now time.Duration, observed *observations, buffer []byte) {
	if observed.events != nil {
		n.logObservations(now, observed.events)
	}
	for _, reset := range observed.resets {
		n.metrics.resets.Inc()
		n.refuse(buffer, reset.Flow, reset.Acknowledged)
		n.logFlow(&n.exceptionLines, "flow reset", "caller", reset.Flow.Caller, "service", reset.Flow.Service,
			"backend", backendName(reset.Backend), "revision", n.viewRevision.Load())
	}
	if observed.urgent {
		select {
		case n.urgentReports <- struct{}{}:
		default:
		}
	}
	if observed.inquiries != nil {
		n.repeatInquiries(observed.inquiries)
	}
}

// inquire has others asked where flows rest.
func (n *Node) repeatInquiries(inquiries []steering.Inquiry) {
	for _, inquiry := range inquiries {
		n.metrics.inquiries.Inc()
		n.logFlow(&n.exceptionLines, "flow sought", "caller", inquiry.Flow.Caller, "service", inquiry.Flow.Service)
	}
	n.queueInquiries(inquiries)
	time.AfterFunc(steering.InquiryRepeat, func() { n.queueInquiries(inquiries) })
}

// passOn hands inquiries to the goroutine that sends hellos; while too many wait there, they are left out.
func (n *Node) queueInquiries(inquiries []steering.Inquiry) {
	select {
	case n.inquiries <- inquiries:
	default:
	}
}

// heardInquiries answers what another balancer asks of flows, and takes over what it answers.
func (n *Node) receiveInquiries(now time.Duration, hello *peers.Hello) {
	if len(hello.Inquiries) == 0 && len(hello.Locations) == 0 {
		return
	}
	n.steeringMutex.Lock()
	n.steerer.HearLocations(now, hello.Locations)
	locations := n.steerer.Locate(now, hello.Inquiries)
	n.steeringMutex.Unlock()
	for _, location := range hello.Locations {
		n.logFlow(&n.exceptionLines, "flow located", "caller", location.Flow.Caller, "service", location.Flow.Service,
			"backend", backendName(location.Backend), "by", hello.Control)
	}
	if locations == nil {
		return
	}
	n.stateMutex.Lock()
	answer := n.hello(now)
	n.stateMutex.Unlock()
	answer.Locations = locations
	n.sendHello(answer, hello.Control)
}

// refuse tells a caller that its flow does not open or is ended.
func (n *Node) refuse(buffer []byte, key flow.Key, acknowledged uint32) {
	n.send(n.adapter.Codec.Refusal(buffer, key, acknowledged), n.adapter.deliverTo(key.Caller.Addr()))
}

// heardStalls takes over what another balancer told of silent back ends.
func (n *Node) receiveUnresponsive(now time.Duration, hello *peers.Hello) {
	if len(hello.Stalls) == 0 {
		return
	}
	n.steeringMutex.Lock()
	n.steerer.HearStalls(now, hello.Control, hello.Stalls)
	observed := n.takeObservations()
	n.steeringMutex.Unlock()
	n.handleObservations(now, &observed, make([]byte, maxDatagram))
}
