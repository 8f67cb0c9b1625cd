package edge

import (
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/peers"
	"gaugeyard/internal/steering"
)

// observations are results of the steerer beside the decision on a packet. They are mostly empty.
type observations struct {
	events []steering.BackendEvent
	resets []steering.Reset
	// urgent is set when an urgent report on back ends is to be sent to all live peers.
	urgent bool
	// inquiries are to be sent to all live peers.
	inquiries []steering.Inquiry
}

// takeObservations takes the pending observations from the steerer. The steering mutex must be held.
func (n *Node) takeObservations() observations {
	return observations{n.steerer.TakeEvents(), n.steerer.TakeResets(), n.steerer.TakeUrgentReport(), n.steerer.TakeInquiries()}
}

// handleObservations logs observations, resets flows at back ends that are down, and requests reports and
// inquiries to peers. buffer is scratch space for datagrams. The steering mutex must not be held.
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

// repeatInquiries counts and logs inquiries, and queues them now and once more after an interval, since
// datagrams may be lost.
func (n *Node) repeatInquiries(inquiries []steering.Inquiry) {
	for _, inquiry := range inquiries {
		n.metrics.inquiries.Inc()
		n.logFlow(&n.exceptionLines, "flow sought", "caller", inquiry.Flow.Caller, "service", inquiry.Flow.Service)
	}
	n.queueInquiries(inquiries)
	time.AfterFunc(steering.InquiryResendDelay, func() { n.queueInquiries(inquiries) })
}

// queueInquiries queues inquiries for the goroutine that sends hellos. They are dropped if its queue is full.
func (n *Node) queueInquiries(inquiries []steering.Inquiry) {
	select {
	case n.inquiries <- inquiries:
	default:
	}
}

// receiveInquiries answers the inquiries of another balancer, and records the locations that it sent.
func (n *Node) receiveInquiries(now time.Duration, hello *peers.Hello) {
	if len(hello.Inquiries) == 0 && len(hello.Locations) == 0 {
		return
	}
	n.steeringMutex.Lock()
	n.steerer.ReceiveLocations(now, hello.Locations)
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

// refuse sends a caller the refusal or reset of its flow.
func (n *Node) refuse(buffer []byte, key flow.Key, acknowledged uint32) {
	n.send(n.adapter.Codec.Refusal(buffer, key, acknowledged), n.adapter.deliverTo(key.Caller.Addr()))
}

// receiveUnresponsive records the reports of another balancer on unresponsive back ends.
func (n *Node) receiveUnresponsive(now time.Duration, hello *peers.Hello) {
	if len(hello.UnresponsiveReports) == 0 {
		return
	}
	n.steeringMutex.Lock()
	n.steerer.ReceiveUnresponsive(now, hello.Control, hello.UnresponsiveReports)
	observed := n.takeObservations()
	n.steeringMutex.Unlock()
	n.handleObservations(now, &observed, make([]byte, maxDatagram))
}
