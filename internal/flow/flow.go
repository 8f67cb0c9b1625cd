// Package flow implements the flow table. It records the back end that each flow
// is pinned to and the state of the flow's requests.
package flow

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/settings"
)

// Key identifies a flow: the caller's and the service's address and port.
type Key struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// Hash returns the flow's hash, which is the same on every node.
func (k Key) Hash() uint64 {
	var encoded [36]byte
	caller := k.Caller.Addr().As16()
	service := k.Service.Addr().As16()
	copy(encoded[0:16], caller[:])
	copy(encoded[16:32], service[:])
	encoded[32], encoded[33] = byte(k.Caller.Port()>>8), byte(k.Caller.Port())
	encoded[34], encoded[35] = byte(k.Service.Port()>>8), byte(k.Service.Port())
	return xxh3.Hash(encoded[:])
}

// Token is a CoAP token of at most 8 bytes.
type Token struct {
	Bytes  [8]byte
	Length uint8
}

// ExchangeState is the state of a request.
type ExchangeState uint8

// The states of a request.
const (
	// InFlight means that the request was forwarded and no final answer has arrived.
	InFlight ExchangeState = iota
	// Refused means that the caller was told that the request did not run.
	Refused
	// Answered means that the request went to the back end and is settled here.
	// Retransmissions go there too, and it answers them from its memory.
	Answered
	// OutcomeUnknown means that this node cannot tell whether the request ran: its
	// deadline passed, or it was left to other balancers. Retransmissions are
	// answered so.
	OutcomeUnknown
)

// Exchange is a request of a flow, retained while retransmissions may arrive.
type Exchange struct {
	MessageID uint16
	Token     Token
	State     ExchangeState
	// Replica is the successor that the request or its refusal was sent through, 0
	// for none. An answer proves that this successor holds the flow.
	Replica uint32
	// Confirmable is set while the caller retransmits the request until it is
	// acknowledged.
	Confirmable bool
	// Continues is set on a later block of an upload, which is never refused and
	// need not be retained once answered.
	Continues bool
	// Proposed is set until the successor has confirmed the state.
	Proposed bool
	// Kind is the reason of a refusal.
	Kind errkind.Kind
	// Started is when the first copy arrived.
	Started time.Duration
	// Until is the deadline of a request in flight, or when a settled one expires.
	Until time.Duration
}

// Flow is the record of a flow. The lock of its shard guards its fields.
type Flow struct {
	Key  Key
	Hash uint64
	// Backend is the pinned back end; 0 when every request so far was refused.
	Backend settings.BackendID
	// PreviousBackend is the back end that the flow was released from, 0 once the
	// successor is known not to hold that pin.
	PreviousBackend settings.BackendID
	// Owner is set while this node counts the flow among its own.
	Owner bool
	// Verified is set once the pair's other node has confirmed or sent the record.
	// Until then refusals may exist that this node has not received.
	Verified bool
	// Observing is set once a feed notification was seen.
	Observing bool
	// Replica is the node known to hold a copy of the record, 0 for none.
	Replica uint32
	// ReplicatedAt is when Replica last received a copy.
	ReplicatedAt time.Duration
	// Complete is set when this node has seen every request of the flow.
	Complete bool
	// AmbiguousUntil ends the time in which no node can tell whether the flow's
	// requests ran.
	AmbiguousUntil time.Duration
	// LastSeen is when the flow's last datagram was handled.
	LastSeen time.Duration
	// Exchanges are the requests whose retransmissions may still arrive.
	Exchanges []Exchange
}

// FindExchange returns the request with the message identifier, or nil.
func (f *Flow) FindExchange(messageID uint16) *Exchange {
	for i := range f.Exchanges {
		if f.Exchanges[i].MessageID == messageID {
			return &f.Exchanges[i]
		}
	}
	return nil
}

// FindAnswered returns the request in flight that an answer matches, or nil. It
// matches by token, or by message identifier when the answer has no token.
func (f *Flow) FindAnswered(messageID uint16, token Token) *Exchange {
	for i := range f.Exchanges {
		exchange := &f.Exchanges[i]
		if exchange.State != InFlight {
			continue
		}
		if token.Length > 0 && exchange.Token == token || token.Length == 0 && exchange.MessageID == messageID {
			return exchange
		}
	}
	return nil
}

// maxExchanges is the number of requests above which a flow drops answered ones.
const maxExchanges = 32

// MarkAnswered marks a request as answered and retains it until the given time. A
// flow with more than maxExchanges requests drops its oldest answered one and is
// then no longer complete.
func (f *Flow) MarkAnswered(exchange *Exchange, until time.Duration) {
	exchange.State = Answered
	exchange.Until = until
	if len(f.Exchanges) <= maxExchanges {
		return
	}
	oldest := -1
	for i := range f.Exchanges {
		if f.Exchanges[i].State == Answered && (oldest < 0 || f.Exchanges[i].Until < f.Exchanges[oldest].Until) {
			oldest = i
		}
	}
	f.Complete = false
	f.RemoveExchange(f.Exchanges[oldest].MessageID)
}

// RemoveExchange deletes the request with the message identifier, if any.
func (f *Flow) RemoveExchange(messageID uint16) {
	for i := range f.Exchanges {
		if f.Exchanges[i].MessageID == messageID {
			last := len(f.Exchanges) - 1
			f.Exchanges[i] = f.Exchanges[last]
			f.Exchanges = f.Exchanges[:last]
			return
		}
	}
}

// InFlightCount returns the number of requests in flight.
func (f *Flow) InFlightCount() int {
	count := 0
	for i := range f.Exchanges {
		if f.Exchanges[i].State == InFlight {
			count++
		}
	}
	return count
}

// Refusals returns the refused requests.
func (f *Flow) Refusals() []Exchange {
	var refusals []Exchange
	for _, exchange := range f.Exchanges {
		if exchange.State == Refused {
			refusals = append(refusals, exchange)
		}
	}
	return refusals
}

// MergeRefusal adds a refusal received from a peer. It replaces a request of
// unknown outcome, but no other state.
func (f *Flow) MergeRefusal(refusal Exchange) {
	existing := f.FindExchange(refusal.MessageID)
	switch {
	case existing == nil:
		f.Exchanges = append(f.Exchanges, refusal)
	case existing.State == OutcomeUnknown:
		*existing = refusal
	}
}

// SettleInFlight marks the requests in flight as answered until the given time. A
// node that no longer owns the flow uses it so that it never reports these
// requests as not run.
func (f *Flow) SettleInFlight(until time.Duration) {
	for i := range f.Exchanges {
		if f.Exchanges[i].State == InFlight {
			f.Exchanges[i].State = Answered
			f.Exchanges[i].Until = until
		}
	}
}

// WasForwarded reports whether this node has sent the request to a back end.
func (f *Flow) WasForwarded(messageID uint16) bool {
	exchange := f.FindExchange(messageID)
	return exchange != nil && (exchange.State == InFlight || exchange.State == Answered)
}

// ProposedTo reports whether the flow is unverified and has only requests that
// were proposed to the node. Such a flow needs no separate copy.
func (f *Flow) ProposedTo(node uint32) bool {
	for i := range f.Exchanges {
		if !f.Exchanges[i].Proposed || f.Exchanges[i].Replica != node {
			return false
		}
	}
	return !f.Verified && len(f.Exchanges) > 0
}

// Expire removes settled requests whose retention time has passed.
func (f *Flow) Expire(now time.Duration) {
	if len(f.Exchanges) == 0 {
		return
	}
	f.Exchanges = slices.DeleteFunc(f.Exchanges, func(e Exchange) bool { return e.State != InFlight && e.Until <= now })
}

// ShardCount is the number of independently locked shards of a table.
const ShardCount = 64

// Shard is a part of a table. Its lock guards its flows and their fields.
type Shard struct {
	sync.Mutex
	Flows map[Key]*Flow
	// order lists the flows in insertion order, so that walks are deterministic.
	order []*Flow
}

// Table is the set of flows that a node has a record of.
type Table struct {
	Shards [ShardCount]Shard
}

// NewTable returns an empty table.
func NewTable() *Table {
	table := &Table{}
	for i := range table.Shards {
		table.Shards[i].Flows = map[Key]*Flow{}
	}
	return table
}

// ShardOf returns the shard of flows with the hash.
func (t *Table) ShardOf(hash uint64) *Shard {
	return &t.Shards[hash%ShardCount]
}

// Add inserts a new flow. The shard must be locked.
func (s *Shard) Add(f *Flow) {
	s.Flows[f.Key] = f
	s.order = append(s.order, f)
}

// Walk calls visit for each flow in insertion order and deletes the flows for
// which visit returns false. The shard must be locked.
func (s *Shard) Walk(visit func(f *Flow) bool) {
	retained := s.order[:0]
	for _, f := range s.order {
		if visit(f) {
			retained = append(retained, f)
			continue
		}
		delete(s.Flows, f.Key)
	}
	clear(s.order[len(retained):])
	s.order = retained
}

// Len returns the number of flows in the table. It locks each shard in turn.
func (t *Table) Len() int {
	total := 0
	for i := range t.Shards {
		shard := &t.Shards[i]
		shard.Lock()
		total += len(shard.Flows)
		shard.Unlock()
	}
	return total
}
