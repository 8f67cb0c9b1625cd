// Package membership tracks a balancer's peers: which are alive, which own which flows, and since
// when. It reads no clock: time is an argument.
package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"gaugeyard/internal/placement"
)

// ID identifies one run of a balancer; 0 is none.
type ID = uint32

// IDOf returns the identifier of one run of a balancer. The incarnation differs between runs, so
// that a restarted process is not taken for one that still has its flows.
func IDOf(address netip.AddrPort, incarnation uint64) ID {
	return ID(placement.Mix(xxh3.HashString(address.String()), incarnation)) | 1
}

func compareMembers(a, b Member) int {
	return cmp.Compare(a.ID, b.ID)
}

// PartitionCount is the number of partitions of flow hashes. Each has one owner and one successor.
const PartitionCount = 1024

// PartitionOf returns the partition of a flow hash.
func PartitionOf(hash uint64) int {
	return int(hash >> 54)
}

// Member is one balancer.
type Member struct {
	ID      ID
	Zone    string
	Address netip.AddrPort
}

// Pair is the owner and the successor of a partition. Successor is 0 if the owner is alone.
type Pair struct {
	Owner, Successor ID
}

// Has reports whether the balancer is one of the pair.
func (p Pair) Has(id ID) bool {
	return id != 0 && (p.Owner == id || p.Successor == id)
}

// Partner returns the other one of the pair, or 0 if the balancer is not in it.
func (p Pair) Partner(id ID) ID {
	switch id {
	case p.Owner:
		return p.Successor
	case p.Successor:
		return p.Owner
	}
	return 0
}

// View is a set of live balancers and the pairs computed from it. It is read-only. Two nodes with
// equal members compute equal pairs.
type View struct {
	Members []Member
	pairs   [PartitionCount]Pair
	byID    map[ID]Member
}

// NewView computes the pairs of the members. The owner of a partition is the first member in
// rendezvous order; the successor is the next one in another zone, or the next one if all are in
// one zone. So after the loss of one node or one zone, or one join, at least one of a pair is in
// the next pair.
func NewView(members []Member, zoneAware bool) *View {
	view := &View{Members: slices.Clone(members), byID: make(map[ID]Member, len(members))}
	slices.SortFunc(view.Members, compareMembers)
	for _, member := range view.Members {
		view.byID[member.ID] = member
	}
	for partition := range view.pairs {
		view.pairs[partition] = pairOf(uint64(partition), view.Members, zoneAware)
	}
	return view
}

func pairOf(partition uint64, members []Member, zoneAware bool) Pair {
	owner := highest(partition, members, func(Member) bool { return true })
	if owner < 0 {
		return Pair{}
	}
	pair := Pair{Owner: members[owner].ID}
	successor := -1
	if zoneAware {
		successor = highest(partition, members, func(m Member) bool { return m.Zone != members[owner].Zone })
	}
	if successor < 0 {
		successor = highest(partition, members, func(m Member) bool { return m.ID != pair.Owner })
	}
	if successor >= 0 {
		pair.Successor = members[successor].ID
	}
	return pair
}

func highest(partition uint64, members []Member, allowed func(Member) bool) int {
	best, bestScore := -1, uint64(0)
	for i, member := range members {
		if !allowed(member) {
			continue
		}
		score := placement.Mix(partition+1, uint64(member.ID))
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// PairOf returns the owner and the successor for a flow hash.
func (v *View) PairOf(hash uint64) Pair {
	return v.pairs[PartitionOf(hash)]
}

// PairAt returns the owner and the successor of a partition.
func (v *View) PairAt(partition int) Pair {
	return v.pairs[partition]
}

// Member returns the live member with the identifier.
func (v *View) Member(id ID) (Member, bool) {
	member, known := v.byID[id]
	return member, known
}

// Has reports whether the balancer is a live member.
func (v *View) Has(id ID) bool {
	_, known := v.byID[id]
	return known
}

// Continuity tracks, for each partition, since when this node has been one of the pair without a
// gap. A node that has been so for a request's whole lifetime has a complete history: all records
// of requests that may still be repeated.
type Continuity struct {
	self  ID
	since [PartitionCount]time.Duration
	// changed is when the partition's pair last changed.
	changed [PartitionCount]time.Duration
	pairs   [PartitionCount]Pair
	// bootstrapUntil ends the period in which this node may assume that no balancer ran before, so
	// that it lacks no record.
	bootstrapUntil time.Duration
}

const (
	// never marks a node that is not one of the pair.
	never = time.Duration(1<<63 - 1)
	// always marks a node with a complete history.
	always = -time.Duration(1 << 60)
)

// NewContinuity returns the continuity of a node that has just started.
func NewContinuity(self ID, bootstrapUntil time.Duration) *Continuity {
	continuity := &Continuity{self: self, bootstrapUntil: bootstrapUntil}
	for i := range continuity.since {
		continuity.since[i] = never
		continuity.changed[i] = always
	}
	return continuity
}

// Change records a change of view at now.
func (c *Continuity) Change(now time.Duration, next *View) {
	for partition := range c.since {
		if pair := next.PairAt(partition); pair != c.pairs[partition] {
			c.pairs[partition] = pair
			c.changed[partition] = now
		}
		switch {
		case !next.PairAt(partition).Has(c.self):
			c.since[partition] = never
		case now < c.bootstrapUntil:
			c.since[partition] = always
		case c.since[partition] == never:
			c.since[partition] = now
		}
	}
}

// IsSettled reports whether the partition's pair has been the same for ViewSettle, or the bootstrap
// period lasts. A change that is only partly detected leads to no decision.
func (c *Continuity) IsSettled(partition int, now time.Duration) bool {
	return now < c.bootstrapUntil || now-c.changed[partition] >= ViewSettle
}

// Invalidate discards the history of all partitions, for a node that was paused or cut off.
func (c *Continuity) Invalidate(now time.Duration, view *View) {
	for partition := range c.since {
		c.since[partition] = never
	}
	c.Change(now, view)
}

// MarkComplete records that this node has copied all records of the partition from a node with a
// complete history.
func (c *Continuity) MarkComplete(partition int, view *View) {
	if view.PairAt(partition).Has(c.self) {
		c.since[partition] = always
	}
}

// HasCompleteHistory reports whether this node has been one of the pair for the whole lifetime, or
// has a complete copy.
func (c *Continuity) HasCompleteHistory(partition int, now, lifetime time.Duration) bool {
	since := c.since[partition]
	return since == always || since != never && now-since >= lifetime
}
