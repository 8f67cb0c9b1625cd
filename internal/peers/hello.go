package peers

import (
	"net/netip"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/steering"
)

// Hello is the datagram in which a balancer reports its state to others. It and the types in it are
// encoded as arrays: the order of fields is part of the protocol.
type Hello struct {
	// Control is the sender's address for other balancers.
	Control netip.AddrPort
	Zone    string
	// Started is the start of the sender's process in nanoseconds of its clock. It identifies a
	// run.
	Started int64
	// Leaving is set during a planned stop.
	Leaving bool
	// StoreUnavailable is set while the store does not answer the sender.
	StoreUnavailable bool
	// Revision is the revision up to which the sender's view is complete, 0 if it has none.
	Revision uint64
	// HasSummary is set if the sender can serve settings and back ends to balancers that start,
	// since its own view is incomplete or would take long to send.
	HasSummary bool
	// StoreAge is the time since the store confirmed the sender's view, directly or through
	// upstream balancers.
	StoreAge time.Duration
	// Introductions name other balancers.
	Introductions []Introduction
	// ReplyRequested asks for a hello in return, for a receiver that does not send any by itself.
	ReplyRequested bool
	// Loads are of the back ends that the sender uses most, in a full hello.
	Loads []Load
	// Failures are of the back ends that recently failed requests through the sender, in a full or
	// urgent hello.
	Failures []Failure
	// Baselines are the sender's baselines of answers, in a full hello.
	Baselines []steering.Baseline
	// Suspects are back ends that do not respond to the sender.
	Suspects []settings.BackendID
	// UnresponsiveReports are about back ends that leave callers without a response, at the sender
	// or elsewhere.
	UnresponsiveReports []steering.UnresponsiveReport
	// Full is set if the hello has loads and introductions. Others carry in few bytes what changes
	// quickly.
	Full bool
	// Capacity is the sender's own capacity.
	Capacity Capacity
	// Inquiries ask which back ends flows are pinned to. Locations answer inquiries of the
	// receiver.
	Inquiries []steering.Inquiry
	Locations []steering.Location
}

// Short returns a copy of the hello without the fields that only full hellos have.
func (h *Hello) Short() *Hello {
	short := *h
	short.Loads, short.Failures, short.Baselines, short.Introductions, short.Full = nil, nil, nil, nil, false
	return &short
}

// Load is the recent load of a balancer at a back end.
type Load struct {
	// Tag identifies the back end in fewer bytes than its identifier.
	Tag directory.Tag
	// Requests is the decaying count of requests begun recently, in LoadUnit.
	Requests uint32
	// Steady is the same count with a longer decay, in LoadUnit.
	Steady uint32
	// Answers is the decaying count of answers received recently, in LoadUnit. AnswerMillis is the
	// sum of their latencies in milliseconds.
	Answers, AnswerMillis uint32
}

// Failure is the number of requests that a back end failed recently.
type Failure struct {
	Tag directory.Tag
	// Count is the decaying count of failed requests, in LoadUnit.
	Count uint32
}

// FailuresOf converts failures for a hello.
func FailuresOf(failures []steering.BackendLoad) []Failure {
	var encoded []Failure
	for _, failure := range failures {
		encoded = append(encoded, Failure{Tag: directory.TagOf(failure.Backend), Count: uint32(failure.Failures / LoadUnit)})
	}
	return encoded
}

// LoadsOf converts loads for a hello.
func LoadsOf(loads []steering.BackendLoad) []Load {
	var encoded []Load
	for _, load := range loads {
		encoded = append(encoded, Load{
			Tag:          directory.TagOf(load.Backend),
			Requests:     uint32(load.Requests / LoadUnit),
			Steady:       uint32(load.Steady / LoadUnit),
			Answers:      uint32(load.Answers / LoadUnit),
			AnswerMillis: uint32(load.TotalLatency * 1000),
		})
	}
	return encoded
}

// toSteering converts a load of a hello for package steering.
func (l *Load) toSteering() steering.Load {
	return steering.Load{Requests: float64(l.Requests) * LoadUnit, Steady: float64(l.Steady) * LoadUnit, Answers: float64(l.Answers) * LoadUnit, TotalLatency: float64(l.AnswerMillis) / 1000}
}

// Introduction names another balancer.
type Introduction struct {
	Control netip.AddrPort
	Zone    string
	// HasView is set if, as far as the sender knows, the balancer has a complete view.
	HasView bool
	// HasSummary is set if the balancer can serve a summary.
	HasSummary bool
	// Capacity is the capacity that the balancer reported to the sender.
	Capacity Capacity
}
