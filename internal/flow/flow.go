// Package flow holds the flow table: which back end each flow is pinned to,
// which of its requests are in flight, and which were refused.
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

// Hash returns the flow's hash, the same on every node.
func (k Key) Hash() uint64 {
	var text [36]byte
	caller := k.Caller.Addr().As16()
	service := k.Service.Addr().As16()
	copy(text[0:16], caller[:])
	copy(text[16:32], service[:])
	text[32], text[33] = byte(k.Caller.Port()>>8), byte(k.Caller.Port())
	text[34], text[35] = byte(k.Service.Port()>>8), byte(k.Service.Port())
	return xxh3.Hash(text[:])
}

// Token is a CoAP token of at most 8 bytes.
type Token struct {
	Bytes  [8]byte
	Length uint8
}

// ExchangeState says what became of one request.
type ExchangeState uint8

// The states of a request.
const (
	// InFlight means that the request was forwarded and no final answer was seen.
	InFlight ExchangeState = iota
	// Refused means that the caller was told that the request did not run.
	Refused
	// Answered means that the request went to the back end and is settled here;
	// copies go there too, and are answered from its memory.
	Answered
	// GivenUp means that nobody here can say whether the request ran: its deadline
	// passed, or it was left to other balancers. Copies are told so.
	GivenUp
)

// Exchange is one request of a flow, kept while copies of it may still arrive.
type Exchange struct {
	MessageID uint16
	Token     Token
	State     ExchangeState
	// Replica is the successor that the request went through, 0 for none. An
	// answer proves that this successor holds the flow.
	Replica uint32
	// Confirmable is set while the caller repeats the request until it is
	// acknowledged.
	Confirmable bool
	// Continues is set on a later block, which is never refused and so need not
	// be remembered once it is answered.
	Continues bool
	// Proposed is set until the successor is known to agree with the state.
	Proposed bool
	// Kind is why a refused request was refused.
	Kind errkind.Kind
	// Started is when the first copy arrived.
	Started time.Duration
	// Until is the deadline of a request in flight, or when a refusal is forgotten.
	Until time.Duration
}

// Flow is one flow. Its fields are guarded by the lock of its shard.
type Flow struct {
	Key  Key
	Hash uint64
	// Backend is the pinned back end; 0 when every request so far was refused.
	Backend settings.BackendID
	// Replaced is the pin that the flow was released from, for as long as the
	// successor may still hold it.
	Replaced settings.BackendID
	// Owner is set while this node counts the flow as its own.
	Owner bool
	// Verified is set once the pair's other node has confirmed the record or sent
	// it. Until then refusals may exist that this node has not learned.
	Verified bool
	// Observing is set once a notification of a feed was seen.
	Observing bool
	// Replica is the node known to hold a copy, 0 for none.
	Replica uint32
	// ReplicatedAt is when Replica last got a copy.
	ReplicatedAt time.Duration
	// Complete is set when this node has seen every request of the flow.
	Complete bool
	// AmbiguousUntil is until when nobody can say whether the flow's requests ran.
	AmbiguousUntil time.Duration
	// LastSeen is when the last datagram passed.
	LastSeen time.Duration
	// Exchanges are the requests whose copies may still arrive.
	Exchanges []Exchange
}

// Find returns the request with the message identifier, or nil.
func (f *Flow) Find(messageID uint16) *Exchange {
	for i := range f.Exchanges {
		if f.Exchanges[i].MessageID == messageID {
			return &f.Exchanges[i]
		}
	}
	return nil
}

// FindAnswered returns the request in flight that an answer belongs to, by
// token, or by message identifier where the answer has no token.
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

// maxRemembered bounds the answered requests that a flow remembers.
const maxRemembered = 32

// Answer marks a request as answered and remembers it until the time. A flow
// with too many of them forgets the oldest, and is then no longer complete.
func (f *Flow) Answer(exchange *Exchange, until time.Duration) {
	exchange.State = Answered
	exchange.Until = until
	if len(f.Exchanges) <= maxRemembered {
		return
	}
	oldest := -1
	for i := range f.Exchanges {
		if f.Exchanges[i].State == Answered && (oldest < 0 || f.Exchanges[i].Until < f.Exchanges[oldest].Until) {
			oldest = i
		}
	}
	f.Complete = false
	f.Remove(f.Exchanges[oldest].MessageID)
}

// Remove deletes the request with the message identifier.
func (f *Flow) Remove(messageID uint16) {
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

// Refusals returns the refused requests that are still remembered.
func (f *Flow) Refusals() []Exchange {
	var refusals []Exchange
	for _, exchange := range f.Exchanges {
		if exchange.State == Refused {
			refusals = append(refusals, exchange)
		}
	}
	return refusals
}

// Merge adds a refusal that a peer knows of. It takes the place of a request
// given up, which says less.
func (f *Flow) Merge(refusal Exchange) {
	known := f.Find(refusal.MessageID)
	switch {
	case known == nil:
		f.Exchanges = append(f.Exchanges, refusal)
	case known.State == GivenUp:
		*known = refusal
	}
}

// HandOver keeps the requests in flight in mind as forwarded, until the time,
// for a node that no longer owns the flow: no later word may deny that they ran.
func (f *Flow) HandOver(until time.Duration) {
	for i := range f.Exchanges {
		if f.Exchanges[i].State == InFlight {
			f.Exchanges[i].State = Answered
			f.Exchanges[i].Until = until
		}
	}
}

// Forwarded tells whether this node has sent the request to a back end.
func (f *Flow) Forwarded(messageID uint16) bool {
	known := f.Find(messageID)
	return known != nil && (known.State == InFlight || known.State == Answered)
}

// ProposedTo tells whether everything known of the flow was proposed to the
// node, which then has it, or nothing came of it.
func (f *Flow) ProposedTo(node uint32) bool {
	for i := range f.Exchanges {
		if !f.Exchanges[i].Proposed || f.Exchanges[i].Replica != node {
			return false
		}
	}
	return !f.Verified && len(f.Exchanges) > 0
}

// Expire forgets settled requests whose time is over.
func (f *Flow) Expire(now time.Duration) {
	if len(f.Exchanges) == 0 {
		return
	}
	f.Exchanges = slices.DeleteFunc(f.Exchanges, func(e Exchange) bool { return e.State != InFlight && e.Until <= now })
}

// ShardCount is the number of independently locked parts of a table.
const ShardCount = 64

// Shard is one part of a table. Lock it before touching its flows.
type Shard struct {
	sync.Mutex
	Flows map[Key]*Flow
	// order keeps insertion order, so that walks are the same on every run.
	order []*Flow
}

// Table is the set of flows that a node knows.
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

// ShardOf returns the shard that holds flows of the hash.
func (t *Table) ShardOf(hash uint64) *Shard {
	return &t.Shards[hash%ShardCount]
}

// Add puts a new flow into the shard; the shard must be locked.
func (s *Shard) Add(f *Flow) {
	s.Flows[f.Key] = f
	s.order = append(s.order, f)
}

// Walk calls visit for each flow in insertion order and deletes those for which
// it returns false; the shard must be locked.
func (s *Shard) Walk(visit func(f *Flow) bool) {
	kept := s.order[:0]
	for _, f := range s.order {
		if visit(f) {
			kept = append(kept, f)
			continue
		}
		delete(s.Flows, f.Key)
	}
	clear(s.order[len(kept):])
	s.order = kept
}

// Len returns the number of flows in the table.
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
