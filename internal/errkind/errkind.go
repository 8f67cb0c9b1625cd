// Package errkind is the closed list of ways a request or datagram can fail,
// and the one table from a failure kind to the answer its caller receives.
package errkind

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Kind names one way a request or datagram can fail.
type Kind uint8

// The closed list of kinds. Add a row to table for each new one.
const (
	// None means that nothing failed.
	None Kind = iota
	// Malformed is a datagram that no decoder accepts.
	Malformed
	// Oversized is a datagram above the service's max_datagram setting.
	Oversized
	// WrongVersion is a peer datagram of a protocol version this node does not speak.
	WrongVersion
	// UnknownService is a datagram to an address that no service has.
	UnknownService
	// NoBackend means that no back end may take a new flow.
	NoBackend
	// ConnectionsFull means that every back end holds its limit of flows.
	ConnectionsFull
	// SlotsFull means that the flow's back end has its limit of requests in flight.
	SlotsFull
	// DeadlineTooShort means that the request could not finish before its deadline.
	DeadlineTooShort
	// RetryBudgetSpent means that the flow's retransmissions exceed the retry budget.
	RetryBudgetSpent
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown
	// DeadlineExceeded means that a forwarded request was not answered in time.
	DeadlineExceeded
	// NoOwner means that no balancer could be found to own the flow within the hop limit.
	NoOwner
	// Undecided means that the balancers do not agree yet on who owns the flow;
	// the request's next copy is handled.
	Undecided
	// NoRoute is an opening packet for an address that the newest known settings
	// do not have.
	NoRoute
	// NotReady is an opening packet that arrived before any settings are known.
	NotReady
	// UnknownTag is a packet whose tag names no back end that this node knows.
	UnknownTag
	// Stale is an opening packet that waited too long here while the process stood still.
	Stale
	// BackendLost is a request on an established flow whose back end answers nobody any more.
	BackendLost
	// Unexpected is a well-formed packet that a caller never sends.
	Unexpected
	// Incomplete is a part of the desired state that lacks a field, or has one that means nothing here.
	Incomplete

	kindCount
)

// Ran tells whether a failed request ran at a back end.
type Ran uint8

// The three truths that an answer can state about a failed request.
const (
	// RanNo states that the request did not run and never will.
	RanNo Ran = iota
	// RanUnknown states that the request may have run.
	RanUnknown
	// RanNotTold is used where no answer is sent at all.
	RanNotTold
)

// String returns the word used in documents and logs.
func (r Ran) String() string {
	return [...]string{"no", "unknown", "not told"}[r]
}

// Reply is the form of what a caller is told, free of any protocol; each
// protocol's codec has one table from a Reply to its own code.
type Reply uint8

// The closed list of replies.
const (
	// Silent means that no answer is sent.
	Silent Reply = iota
	// Unavailable tells that the request was not taken.
	Unavailable
	// Timeout tells that the outcome of the request is not known.
	Timeout
)

// Answer is what the caller is told for one kind.
type Answer struct {
	// Name is the counter label and log word of the kind.
	Name string
	// Reply is the form of the answer.
	Reply Reply
	// Ran is what the answer states about the request.
	Ran Ran
	// Retry tells whether the answer carries Max-Age, the seconds to wait before a new request.
	Retry bool
}

var table = [kindCount]Answer{
	None:             {"none", Silent, RanNotTold, false},
	Malformed:        {"malformed", Silent, RanNotTold, false},
	Oversized:        {"oversized", Silent, RanNotTold, false},
	WrongVersion:     {"wrong_version", Silent, RanNotTold, false},
	UnknownService:   {"unknown_service", Silent, RanNotTold, false},
	NoBackend:        {"no_backend", Unavailable, RanNo, true},
	ConnectionsFull:  {"connections_full", Unavailable, RanNo, true},
	SlotsFull:        {"slots_full", Unavailable, RanNo, true},
	DeadlineTooShort: {"deadline_too_short", Unavailable, RanNo, true},
	RetryBudgetSpent: {"retry_budget_spent", Silent, RanNotTold, false},
	OutcomeUnknown:   {"outcome_unknown", Timeout, RanUnknown, true},
	DeadlineExceeded: {"deadline_exceeded", Timeout, RanUnknown, false},
	Undecided:        {"undecided", Silent, RanNotTold, false},
	NoOwner:          {"no_owner", Silent, RanNotTold, false},
	NoRoute:          {"no_route", Unavailable, RanNo, true},
	NotReady:         {"not_ready", Silent, RanNotTold, false},
	UnknownTag:       {"unknown_tag", Silent, RanNotTold, false},
	Stale:            {"stale", Silent, RanNotTold, false},
	BackendLost:      {"backend_lost", Timeout, RanUnknown, true},
	Unexpected:       {"unexpected", Silent, RanNotTold, false},
	Incomplete:       {"incomplete", Silent, RanNotTold, false},
}

// Answer returns the table row of the kind; an unknown kind has the row of OutcomeUnknown.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return table[OutcomeUnknown]
	}
	return table[k]
}

// Valid tells whether the kind is in the list; what comes from a peer may not be.
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

// Class is the zeebo/errs class of errors that carry a Kind.
var Class = errs.Class("gaugeyard")

// New returns an error of the kind with a reason in the manner of fmt.Sprintf.
func New(kind Kind, format string, arguments ...any) error {
	return Class.Wrap(&kindError{kind: kind, reason: fmt.Sprintf(format, arguments...)})
}

// Of returns the kind that an error carries, None where it carries none.
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
