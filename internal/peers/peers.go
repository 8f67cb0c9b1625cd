// Package peers tracks the other balancers: which are alive, how stale their views are, and which
// one to receive changes from. It does no I/O and reads no clock.
//
// Balancers follow each other, so that few read the store. A balancer follows a live peer of lower
// rank, in its zone or, where the zone is small or has none, in any zone. Without such a peer it
// reads the store itself. Ranks go by the capacity that each balancer reports, high capacity first,
// then by a hash of the address. They strictly decrease along a chain of followers, so that there
// are no cycles. A table holds only the peers nearest by hash, which bounds it in large zones,
// limits the readers of the store to about one balancer in maxZonePeers, and spreads followers over
// the balancers of high capacity.
//
// # Usage
//
//	t := peers.New(peers.Introduction{Control: self, Zone: "a"})
//	t.Introduce(now, peers.Introduction{Control: seed})
//	for _, target := range t.Round(now, loads) { ... }   // send a hello to each
//	isNew := t.Receive(now, hello)                        // for each hello received
//	peer, found := t.Upstream(now, maxStaleness)          // the peer to follow; none: read the store
package peers

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"gaugeyard/internal/steering"
)

const (
	// HelloInterval is the time between two rounds of hellos.
	HelloInterval = 500 * time.Millisecond
	// aliveTimeout is the silence after which a peer counts as dead. Its view is too stale to
	// follow well before.
	aliveTimeout = 3 * time.Second
	// forgetTimeout is the silence after which a peer is dropped.
	forgetTimeout = 30 * time.Second
	// maxZonePeers and maxOtherPeers bound the table for the own zone and for all others.
	maxZonePeers  = 24
	maxOtherPeers = 8
	// smallZone is the number of live zone peers below which peers of other zones are followed too,
	// so that a small fleet has one reader of the store.
	smallZone = 8
	// refusalPeriod is how long a peer that refused this balancer is not followed.
	refusalPeriod = 5 * time.Second
	// minPeersWithoutSeeds is the number of live peers below which seeds are contacted.
	minPeersWithoutSeeds = 4
	// sampleSize is the maximum number of introductions in a hello.
	sampleSize = 4
)

// Hash is the hash of a balancer's address. The distance of two hashes is their exclusive or.
type Hash uint64

// HashOf returns the hash of the balancer at an address.
func HashOf(address netip.AddrPort) Hash {
	return Hash(xxh3.HashString(address.String()))
}

// Peer is the known state of another balancer, with the last hello received from it.
type Peer struct {
	Hello
	hash Hash
	// lastReceived is when a hello or an answer last arrived from the peer, or when it was
	// introduced if none has.
	lastReceived time.Duration
	// hellosSent counts the hellos sent to the peer.
	hellosSent uint64
	// loads are from the last full hello, received at loadsAt.
	loads   []Load
	loadsAt time.Duration
	// failures are from the last hello that was full or had any, received at failuresAt.
	failures   []Failure
	failuresAt time.Duration
	// refusedUntil is the time until which the peer, which accepts no further followers, is not
	// followed.
	refusedUntil time.Duration
	// receivedHello is unset while the peer is known only from introductions.
	receivedHello bool
}

// Table holds the peers known to one balancer. It is not safe for concurrent use.
type Table struct {
	self  Introduction
	hash  Hash
	peers map[netip.AddrPort]*Peer
	round int
}

// New returns an empty table for the balancer described by self.
func New(self Introduction) *Table {
	return &Table{self: self, hash: HashOf(self.Control), peers: map[netip.AddrPort]*Peer{}}
}

// Introduce adds a balancer from which no hello was received. If it is already known, but only from
// introductions, its capacity is raised to the introduced one.
func (t *Table) Introduce(now time.Duration, other Introduction) {
	if other.Control == t.self.Control || !other.Control.IsValid() {
		return
	}
	if known := t.peers[other.Control]; known != nil {
		if !known.receivedHello {
			known.Capacity = max(known.Capacity, other.Capacity)
		}
		return
	}
	t.peers[other.Control] = &Peer{
		Hello:        Hello{Control: other.Control, Zone: other.Zone, Capacity: other.Capacity},
		hash:         HashOf(other.Control),
		lastReceived: now,
	}
}

// Receive records a hello. It reports whether the sender is new or restarted, and is in the table.
// A sender beyond the table's limits is never new, so that two balancers do not reply to each other
// without end.
func (t *Table) Receive(now time.Duration, hello *Hello) (isNew bool) {
	if hello.Control == t.self.Control || !hello.Control.IsValid() {
		return false
	}
	t.Introduce(now, Introduction{Control: hello.Control, Zone: hello.Zone})
	known := t.peers[hello.Control]
	isNew = !known.receivedHello || hello.Started != known.Started
	known.Hello, known.lastReceived, known.receivedHello = *hello, now, true
	if hello.Full {
		known.loads, known.loadsAt = hello.Loads, now
	}
	if hello.Full || len(hello.Failures) > 0 {
		known.failures, known.failuresAt = hello.Failures, now
	}
	for _, other := range hello.Introductions {
		t.Introduce(now, other)
	}
	t.trim()
	return isNew && t.peers[hello.Control] != nil
}

// Forget drops peers from which nothing was received for forgetTimeout.
func (t *Table) Forget(now time.Duration) {
	for address, peer := range t.peers {
		if now-peer.lastReceived > forgetTimeout {
			delete(t.peers, address)
		}
	}
}

// Alive returns the peers from which a hello or an answer was received within aliveTimeout, in
// order of rank.
func (t *Table) Alive(now time.Duration) []*Peer {
	var alive []*Peer
	for _, peer := range t.peers {
		if peer.receivedHello && now-peer.lastReceived <= aliveTimeout {
			alive = append(alive, peer)
		}
	}
	slices.SortFunc(alive, func(a, b *Peer) int { return a.rank().Compare(b.rank()) })
	return alive
}

// NeedsSeeds reports whether too few peers are alive to do without seeds.
func (t *Table) NeedsSeeds(now time.Duration) bool {
	return len(t.Alive(now)) < minPeersWithoutSeeds
}

// Sample returns some live peers to introduce to others, in rotation.
func (t *Table) Sample(now time.Duration) []Introduction {
	alive := t.Alive(now)
	var sample []Introduction
	for i := range min(sampleSize, len(alive)) {
		peer := alive[(t.round*sampleSize+i)%len(alive)]
		sample = append(sample, Introduction{Control: peer.Control, Zone: peer.Zone, Capacity: peer.Capacity})
	}
	return sample
}

// IntroductionsFor returns live peers to introduce to the sender of a hello: peers of its zone
// first, and of these the nearest to it by hash. If the sender has no view, peers that have one
// come first, in order of capacity, and then peers that have a summary.
func (t *Table) IntroductionsFor(now time.Duration, requester *Hello) []Introduction {
	hash, hasView := HashOf(requester.Control), requester.Revision > 0
	alive := t.Alive(now)
	slices.SortFunc(alive, func(a, b *Peer) int {
		if aHasView, bHasView := a.Revision > 0, b.Revision > 0; !hasView && aHasView != bHasView {
			return cmp.Compare(b.Revision, a.Revision)
		}
		if !hasView && a.Revision == 0 && a.HasSummary != b.HasSummary {
			if a.HasSummary {
				return -1
			}
			return 1
		}
		if !hasView && a.Revision > 0 && a.Capacity != b.Capacity {
			return cmp.Compare(b.Capacity, a.Capacity)
		}
		if aInZone, bInZone := a.Zone == requester.Zone, b.Zone == requester.Zone; aInZone != bInZone {
			if aInZone {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.hash^hash, b.hash^hash)
	})
	var introductions []Introduction
	for _, peer := range alive {
		if peer.Control != requester.Control && len(introductions) < sampleSize {
			introductions = append(introductions, Introduction{Control: peer.Control, Zone: peer.Zone, HasView: peer.Revision > 0, HasSummary: peer.HasSummary, Capacity: peer.Capacity})
		}
	}
	return introductions
}

// Staleness returns the time since the store confirmed the peer's view.
func (p *Peer) Staleness(now time.Duration) time.Duration {
	return p.StoreAge + now - p.lastReceived
}

// RecordAnswer records that a peer answered a call, with the staleness of its view and the revision
// up to which it is complete.
func (t *Table) RecordAnswer(now time.Duration, control netip.AddrPort, staleness time.Duration, revision uint64) {
	if peer := t.peers[control]; peer != nil && peer.receivedHello {
		peer.lastReceived, peer.StoreAge, peer.Revision = now, staleness, revision
	}
}

// RecordRefusal records that a peer accepts no further followers.
func (t *Table) RecordRefusal(now time.Duration, control netip.AddrPort) {
	if peer := t.peers[control]; peer != nil {
		peer.refusedUntil = now + refusalPeriod
	}
}

// Upstream returns the peer to follow: the lowest rank below this balancer's own, in its zone or,
// if the zone is small or has none, in any. The peer is alive, not leaving, has not refused
// recently, and its view is no staler than maxStaleness. It returns false if this balancer should
// read the store itself.
func (t *Table) Upstream(now, maxStaleness time.Duration) (*Peer, bool) {
	alive := t.Alive(now)
	anyZone := t.countZonePeers(alive) < smallZone
	var otherZone *Peer
	for _, peer := range alive {
		if peer.rank().Compare(t.rank()) >= 0 {
			break
		}
		if peer.Leaving || now < peer.refusedUntil || peer.Staleness(now) > maxStaleness {
			continue
		}
		if anyZone || peer.Zone == t.self.Zone {
			return peer, true
		}
		if otherZone == nil {
			otherZone = peer
		}
	}
	return otherZone, otherZone != nil
}

// Neighbours returns the known balancers of the own zone by hash.
func (t *Table) Neighbours(now time.Duration) steering.Neighbours {
	neighbours := steering.Neighbours{Own: uint64(t.hash)}
	known := 0
	for _, peer := range t.peers {
		switch {
		case peer.Zone != t.self.Zone:
			continue
		case !peer.receivedHello:
		case now-peer.lastReceived <= aliveTimeout && !peer.Leaving:
			neighbours.Live = append(neighbours.Live, uint64(peer.hash))
		default:
			neighbours.Silent++
		}
		known++
	}
	neighbours.Truncated = known >= maxZonePeers
	slices.Sort(neighbours.Live)
	return neighbours
}

// Position returns this balancer's index by rank among the known live balancers of its zone, itself
// included, their count, and the count in all zones.
func (t *Table) Position(now time.Duration) (index, zoneCount, fleetCount int) {
	alive := t.Alive(now)
	zoneCount = 1
	for _, peer := range alive {
		if peer.Zone != t.self.Zone {
			continue
		}
		zoneCount++
		if peer.rank().Compare(t.rank()) < 0 {
			index++
		}
	}
	return index, zoneCount, len(alive) + 1
}

// Membership returns what the placement of flows depends on: this balancer's position, the
// estimated sizes of its zone and the fleet, and its neighbours.
func (t *Table) Membership(now time.Duration) steering.Membership {
	index, zoneCount, fleetCount := t.Position(now)
	zoneSize, fleetSize := t.Sizes(now)
	return steering.Membership{Index: index, Count: zoneCount, Fleet: fleetCount, ZoneSize: zoneSize, FleetSize: fleetSize, Neighbours: t.Neighbours(now)}
}

func (t *Table) countZonePeers(peers []*Peer) int {
	count := 0
	for _, peer := range peers {
		if peer.Zone == t.self.Zone {
			count++
		}
	}
	return count
}

// HasLowerRank reports whether a live peer has a lower rank.
func (t *Table) HasLowerRank(now time.Duration) bool {
	alive := t.Alive(now)
	return len(alive) > 0 && alive[0].rank().Compare(t.rank()) < 0
}

// HasHigherCapacity reports whether a balancer of higher capacity is known that is alive or was
// recently introduced.
func (t *Table) HasHigherCapacity(now time.Duration) bool {
	for _, peer := range t.peers {
		if peer.Capacity > t.self.Capacity && !peer.Leaving && now-peer.lastReceived <= aliveTimeout {
			return true
		}
	}
	return false
}

// CountStoreUnavailable returns the number of live peers that get no answer from the store.
func (t *Table) CountStoreUnavailable(now time.Duration) int {
	count := 0
	for _, peer := range t.Alive(now) {
		if peer.StoreUnavailable {
			count++
		}
	}
	return count
}

// Newest returns the live peer with the highest revision above the given one, leaving out peers
// that refused this balancer recently.
func (t *Table) Newest(now time.Duration, above uint64) (*Peer, bool) {
	var newest *Peer
	for _, peer := range t.Alive(now) {
		if peer.Revision > above && now >= peer.refusedUntil && (newest == nil || peer.Revision > newest.Revision) {
			newest = peer
		}
	}
	return newest, newest != nil
}
