// Package membership keeps what a balancer knows of its peers: who is alive,
// who owns which flows, and since when. It is pure: time is an argument.
package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"gaugeyard/internal/placement"
)

// ID identifies a balancer; 0 is none.
type ID = uint32

// IDOf returns the identifier of one run of a balancer. The incarnation differs
// between runs, so that a process that was started again is not taken for one
// that still knows its flows.
func IDOf(address netip.AddrPort, incarnation uint64) ID {
	return ID(placement.Mix(xxh3.HashString(address.String()), incarnation)) | 1
}

func compareMembers(a, b Member) int {
	return cmp.Compare(a.ID, b.ID)
}

// PartitionCount is the number of parts into which flow hashes are split; each
// part has one owner and one successor.
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

// Pair is the owner and the successor of a partition. Successor is 0 when the
// owner is alone.
type Pair struct {
	Owner, Successor ID
}

// Has tells whether the balancer is one of the pair.
func (p Pair) Has(id ID) bool {
	return id != 0 && (p.Owner == id || p.Successor == id)
}

// Partner returns the other one of the pair, or 0 when the balancer is not in it.
func (p Pair) Partner(id ID) ID {
	switch id {
	case p.Owner:
		return p.Successor
	case p.Successor:
		return p.Owner
	}
	return 0
}

// View is one set of live balancers and the pairs that follow from it. It is
// read-only; two nodes with equal members compute equal pairs.
type View struct {
	Members []Member
	pairs   [PartitionCount]Pair
	byID    map[ID]Member
}

// NewView computes the pairs of the members. The owner of a partition is its
// highest member in rendezvous order; the successor is the next one in another
// zone, or the next one where all are in one zone. So a loss of one node or of
// one zone, or one join, leaves at least one of a pair in the next pair.
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

// Has tells whether the balancer is a live member.
func (v *View) Has(id ID) bool {
	_, known := v.byID[id]
	return known
}

// Continuity tracks, for each partition, since when this node has without a
// gap been one of the pair. A node that has been so for a request's whole
// lifetime holds every record of requests that may still be repeated.
type Continuity struct {
	self  ID
	since [PartitionCount]time.Duration
	// changed is when the partition's pair last became another one.
	changed [PartitionCount]time.Duration
	pairs   [PartitionCount]Pair
	// bootstrapUntil ends the time in which this node may assume that no
	// balancer ran before, so that it misses no record.
	bootstrapUntil time.Duration
}

const (
	// never is a time that no lifetime reaches back to.
	never = time.Duration(1<<63 - 1)
	// always is a time before every lifetime.
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

// Settled tells whether the partition's pair has been the same for ViewSettle,
// so that a change that is only half seen leads to no decision.
func (c *Continuity) Settled(partition int, now time.Duration) bool {
	return now < c.bootstrapUntil || now-c.changed[partition] >= ViewSettle
}

// Break forgets all continuity, for a node that was paused or cut off.
func (c *Continuity) Break(now time.Duration, view *View) {
	for partition := range c.since {
		c.since[partition] = never
	}
	c.Change(now, view)
}

// Grant records that a continuous node has copied everything of the partition here.
func (c *Continuity) Grant(partition int, view *View) {
	if view.PairAt(partition).Has(c.self) {
		c.since[partition] = always
	}
}

// Covers tells whether this node has been one of the pair for the whole lifetime.
func (c *Continuity) Covers(partition int, now, lifetime time.Duration) bool {
	since := c.since[partition]
	return since == always || since != never && now-since >= lifetime
}
