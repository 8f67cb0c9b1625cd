// Package errkind defines the closed list of kinds of failure of a request or
// datagram, and the table that maps each kind to the answer its caller receives.
package errkind

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Kind is a kind of failure of a request or datagram.
type Kind uint8

// The kinds of failure. Each needs a row in table.
const (
	// None means that nothing failed.
	None Kind = iota
	// Malformed is a datagram that no decoder accepts.
	Malformed
	// Oversized is a datagram larger than the service's max_datagram setting.
	Oversized
	// WrongVersion is a peer datagram of a protocol version that this balancer does not support.
	WrongVersion
	// UnknownService is a datagram to an address that belongs to no service.
	UnknownService
	// NoBackend means that no back end is eligible for a new flow.
	NoBackend
	// ConnectionsFull means that every back end has reached its limit of flows.
	ConnectionsFull
	// SlotsFull means that the flow's back end has reached its limit of requests in flight.
	SlotsFull
	// DeadlineTooShort means that the request could not finish before its deadline.
	DeadlineTooShort
	// RetryBudgetSpent means that the flow's retransmissions exceed the retry budget.
	RetryBudgetSpent
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown
	// DeadlineExceeded means that a forwarded request was not answered in time.
	DeadlineExceeded
	// NoOwner means that no balancer that owns the flow was found within the hop limit.
	NoOwner
	// Undecided means that the balancers do not agree yet on the flow's owner or back end.
	// The caller's retransmission is handled.
	Undecided
	// NoRoute is an opening packet for an address that is not in the newest known
	// settings.
	NoRoute
	// NotReady is an opening packet that arrived before any settings were known.
	NotReady
	// UnknownTag is a packet whose tag names a back end that this balancer does not know.
	UnknownTag
	// Stale is an opening packet that waited too long in this process, such as while it was paused.
	Stale
	// BackendLost is a request on an established flow whose back end is down or has ended.
	BackendLost
	// Unexpected is a well-formed packet of a type that callers do not send, or a late copy of the
	// packet that opened a flow.
	Unexpected
	// Incomplete is a part of the desired state with a missing or invalid field.
	Incomplete

	kindCount
)

// Ran is what an answer states about whether a failed request ran at a back end.
type Ran uint8

// The possible statements.
const (
	// RanNo states that the request did not run and never will.
	RanNo Ran = iota
	// RanUnknown states that the request may have run.
	RanUnknown
	// RanUnstated applies where no answer is sent.
	RanUnstated
)

// String returns the text used in documents and logs.
func (r Ran) String() string {
	return [...]string{"no", "unknown", "not told"}[r]
}

// Reply is the protocol-independent type of an answer to a caller. Each protocol's
// codec maps it to a response code.
type Reply uint8

// The types of answers.
const (
	// Silent means that no answer is sent.
	Silent Reply = iota
	// Unavailable reports that the request was not accepted.
	Unavailable
	// Timeout reports that the outcome of the request is unknown.
	Timeout
)

// Answer describes the answer to the caller for one kind.
type Answer struct {
	// Name identifies the kind in counter labels and logs.
	Name string
	// Reply is the type of the answer.
	Reply Reply
	// Ran is what the answer states about the request.
	Ran Ran
	// HasMaxAge reports whether the answer carries Max-Age, the seconds to wait before a new request.
	HasMaxAge bool
}

var table = [kindCount]Answer{
	None:             {"none", Silent, RanUnstated, false},
	Malformed:        {"malformed", Silent, RanUnstated, false},
	Oversized:        {"oversized", Silent, RanUnstated, false},
	WrongVersion:     {"wrong_version", Silent, RanUnstated, false},
	UnknownService:   {"unknown_service", Silent, RanUnstated, false},
	NoBackend:        {"no_backend", Unavailable, RanNo, true},
	ConnectionsFull:  {"connections_full", Unavailable, RanNo, true},
	SlotsFull:        {"slots_full", Unavailable, RanNo, true},
	DeadlineTooShort: {"deadline_too_short", Unavailable, RanNo, true},
	RetryBudgetSpent: {"retry_budget_spent", Silent, RanUnstated, false},
	OutcomeUnknown:   {"outcome_unknown", Timeout, RanUnknown, true},
	DeadlineExceeded: {"deadline_exceeded", Timeout, RanUnknown, false},
	Undecided:        {"undecided", Silent, RanUnstated, false},
	NoOwner:          {"no_owner", Silent, RanUnstated, false},
	NoRoute:          {"no_route", Unavailable, RanNo, true},
	NotReady:         {"not_ready", Silent, RanUnstated, false},
	UnknownTag:       {"unknown_tag", Silent, RanUnstated, false},
	Stale:            {"stale", Silent, RanUnstated, false},
	BackendLost:      {"backend_lost", Timeout, RanUnknown, true},
	Unexpected:       {"unexpected", Silent, RanUnstated, false},
	Incomplete:       {"incomplete", Silent, RanUnstated, false},
}

// Answer returns the answer for the kind; an unknown kind has that of OutcomeUnknown.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return table[OutcomeUnknown]
	}
	return table[k]
}

// Valid reports whether the kind is in the list; one received from a peer may not be.
func (k Kind) Valid() bool {
	return k < kindCount
}

// String returns the kind's counter label.
func (k Kind) String() string {
	return k.Answer().Name
}

// All returns every kind but None, in table order.
func All() []Kind {
	kinds := make([]Kind, 0, kindCount-1)
	for k := Malformed; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Class is the class of errors that carry a Kind.
var Class = errs.Class("gaugeyard")

// New returns an error of the kind with a reason formatted as by fmt.Sprintf.
func New(kind Kind, format string, arguments ...any) error {
	return Class.Wrap(&kindError{kind: kind, reason: fmt.Sprintf(format, arguments...)})
}

// Of returns the kind that an error carries, or None if it carries none.
func Of(err error) Kind {
	var carried *kindError
	if errors.As(err, &carried) {
		return carried.kind
	}
	return None
}

type kindError struct {
	kind   Kind
	reason string
}

// Error implements error.
func (e *kindError) Error() string {
	return e.kind.String() + ": " + e.reason
}
