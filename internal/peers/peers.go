// Package peers keeps what one balancer knows of others: who is alive, how fresh
// each one's beliefs are, and from whom this one should hear of changes. It is pure:
// no clock, no socket.
//
// Balancers follow each other so that the store is asked by few. A balancer follows
// a live peer with a lower rank, if there is one, in its zone or, where the zone is
// small or has none, in any; ranks go by the capacity that each tells of itself, the able ones
// first, then by a hash of the address. Ranks fall strictly along the chain, so that there are no
// circles, and a balancer with no lower neighbour asks the store itself. Each keeps only the
// neighbours nearest to itself by hash, so that tables stay small in large zones, at most about
// one balancer in maxZonePeers asks the store, and few able ones are not followed by a whole zone.
//
// # Usage
//
//	t := peers.New(peers.Introduction{Control: self, Zone: "a"})
//	t.Introduce(now, peers.Introduction{Control: seed})
//	for _, target := range t.Round(now, loads) { ... }   // send a hello to each
//	isNew := t.Heard(now, hello)                          // for each hello that came
//	peer, found := t.Upstream(now, maxAge)                // whom to follow, or the store
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
	// aliveTime is the silence after which a peer no longer counts as alive. What it
	// knows is too old to follow much earlier.
	aliveTime = 3 * time.Second
	// forgetTime is the silence after which a peer is forgotten.
	forgetTime = 30 * time.Second
	// maxZonePeers and maxOtherPeers bound the table.
	maxZonePeers  = 24
	maxOtherPeers = 8
	// smallZone is the number of zone peers below which peers of other zones are
	// followed too, so that a small fleet asks the store once.
	smallZone = 8
	// refusedTime is how long a peer that sent this balancer away is not followed.
	refusedTime = 5 * time.Second
	// fewPeers is the number of live peers below which seeds are asked.
	fewPeers = 4
	// sampleSize is how many other peers a hello names.
	sampleSize = 4
)

// Hash of a balancer's address says who is near to whom.
type Hash uint64

// HashOf returns the hash of the balancer at an address.
func HashOf(address netip.AddrPort) Hash {
	return Hash(xxh3.HashString(address.String()))
}

// Peer is one other balancer.
type Peer struct {
	Hello
	hash  Hash
	heard time.Duration
	// greeted counts the hellos that went there.
	greeted uint64
	// loads are from the last full hello, which came at loadsAt.
	loads   []Load
	loadsAt time.Duration
	// failures are from the last hello that had any or was full, which came at failuresAt.
	failures   []Failure
	failuresAt time.Duration
	// refusedUntil is until when the peer, which served as many as it could, is not
	// followed.
	refusedUntil time.Duration
	// everHeard is unset while the peer is known from others only.
	everHeard bool
}

// Table is what one balancer knows of others. It is not safe for concurrent use.
type Table struct {
	self  Introduction
	hash  Hash
	peers map[netip.AddrPort]*Peer
	round int
}

// New returns a table of the balancer itself that knows no other.
func New(self Introduction) *Table {
	return &Table{self: self, hash: HashOf(self.Control), peers: map[netip.AddrPort]*Peer{}}
}

// Introduce adds a balancer that was not heard yet. Of one that is known, but was not heard, it
// takes over the capacity; what a balancer says of itself stands.
func (t *Table) Introduce(now time.Duration, other Introduction) {
	if other.Control == t.self.Control || !other.Control.IsValid() {
		return
	}
	if known := t.peers[other.Control]; known != nil {
		if !known.everHeard {
			known.Capacity = max(known.Capacity, other.Capacity)
		}
		return
	}
	t.peers[other.Control] = &Peer{
		Hello: Hello{Control: other.Control, Zone: other.Zone, Capacity: other.Capacity},
		hash:  HashOf(other.Control),
		heard: now,
	}
}

// Heard takes over a hello. It tells whether the sender is new here or was started
// anew, and is kept: a sender for whom the table has no place is forgotten at once
// and must not be greeted for being new, each time anew.
func (t *Table) Heard(now time.Duration, hello *Hello) (isNew bool) {
	if hello.Control == t.self.Control || !hello.Control.IsValid() {
		return false
	}
	t.Introduce(now, Introduction{Control: hello.Control, Zone: hello.Zone})
	known := t.peers[hello.Control]
	isNew = !known.everHeard || hello.Started != known.Started
	known.Hello, known.heard, known.everHeard = *hello, now, true
	if hello.Full {
		known.loads, known.loadsAt = hello.Loads, now
	}
	if hello.Full || len(hello.Failures) > 0 {
		known.failures, known.failuresAt = hello.Failures, now
	}
	for _, other := range hello.Others {
		t.Introduce(now, other)
	}
	t.trim()
	return isNew && t.peers[hello.Control] != nil
}

// Forget drops peers that have been silent for long.
func (t *Table) Forget(now time.Duration) {
	for address, peer := range t.peers {
		if now-peer.heard > forgetTime {
			delete(t.peers, address)
		}
	}
}

// Alive returns the peers that were heard lately, in order of rank.
func (t *Table) Alive(now time.Duration) []*Peer {
	var alive []*Peer
	for _, peer := range t.peers {
		if peer.everHeard && now-peer.heard <= aliveTime {
			alive = append(alive, peer)
		}
	}
	slices.SortFunc(alive, func(a, b *Peer) int { return a.rank().Compare(b.rank()) })
	return alive
}

// NeedsIntroductions tells whether too few others are alive to do without seeds.
func (t *Table) NeedsIntroductions(now time.Duration) bool {
	return len(t.Alive(now)) < fewPeers
}

// Sample returns some live peers to introduce to others, in turn.
func (t *Table) Sample(now time.Duration) []Introduction {
	alive := t.Alive(now)
	var sample []Introduction
	for i := range min(sampleSize, len(alive)) {
		peer := alive[(t.round*sampleSize+i)%len(alive)]
		sample = append(sample, Introduction{Control: peer.Control, Zone: peer.Zone, Capacity: peer.Capacity})
	}
	return sample
}

// ForAsker returns live peers to name to the sender of a hello: those of its zone first, and
// among these the nearest to it by hash, since it is looking for its neighbours. To one that
// knows nothing yet, peers that do are named first, and the able ones of these before others.
func (t *Table) ForAsker(now time.Duration, asker *Hello) []Introduction {
	hash, knows := HashOf(asker.Control), asker.Revision > 0
	alive := t.Alive(now)
	slices.SortFunc(alive, func(a, b *Peer) int {
		if aKnows, bKnows := a.Revision > 0, b.Revision > 0; !knows && aKnows != bKnows {
			return cmp.Compare(b.Revision, a.Revision)
		}
		if !knows && a.Revision == 0 && a.Outline != b.Outline {
			if a.Outline {
				return -1
			}
			return 1
		}
		if !knows && a.Revision > 0 && a.Capacity != b.Capacity {
			return cmp.Compare(b.Capacity, a.Capacity)
		}
		if aNear, bNear := a.Zone == asker.Zone, b.Zone == asker.Zone; aNear != bNear {
			if aNear {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.hash^hash, b.hash^hash)
	})
	var named []Introduction
	for _, peer := range alive {
		if peer.Control != asker.Control && len(named) < sampleSize {
			named = append(named, Introduction{Control: peer.Control, Zone: peer.Zone, Knows: peer.Revision > 0, Outline: peer.Outline, Capacity: peer.Capacity})
		}
	}
	return named
}

// Age is how long ago the store confirmed the peer's beliefs, as far as is known now.
func (p *Peer) Age(now time.Duration) time.Duration {
	return p.StoreAge + now - p.heard
}

// Answered notes that a peer answered a call: how old its beliefs are and up to
// where they are complete.
func (t *Table) Answered(now time.Duration, control netip.AddrPort, age time.Duration, revision uint64) {
	if peer := t.peers[control]; peer != nil && peer.everHeard {
		peer.heard, peer.StoreAge, peer.Revision = now, age, revision
	}
}

// Refused notes that a peer serves as many others as it can.
func (t *Table) Refused(now time.Duration, control netip.AddrPort) {
	if peer := t.peers[control]; peer != nil {
		peer.refusedUntil = now + refusedTime
	}
}

// Upstream returns the peer to follow: the lowest rank below the own, of the zone
// or, where the zone is small or has none, of any; alive, not leaving, with beliefs confirmed
// within maxAge. There is none where this balancer should ask the store itself.
func (t *Table) Upstream(now, maxAge time.Duration) (*Peer, bool) {
	alive := t.Alive(now)
	anyZone := t.zonePeers(alive) < smallZone
	var elsewhere *Peer
	for _, peer := range alive {
		if peer.rank().Compare(t.rank()) >= 0 {
			break
		}
		if peer.Leaving || now < peer.refusedUntil || peer.Age(now) > maxAge {
			continue
		}
		if anyZone || peer.Zone == t.self.Zone {
			return peer, true
		}
		if elsewhere == nil {
			elsewhere = peer
		}
	}
	return elsewhere, elsewhere != nil
}

// Neighbours returns the balancers of the own zone by hash, as far as they are known.
func (t *Table) Neighbours(now time.Duration) steering.Neighbours {
	neighbours := steering.Neighbours{Own: uint64(t.hash)}
	known := 0
	for _, peer := range t.peers {
		switch {
		case peer.Zone != t.self.Zone:
			continue
		case !peer.everHeard:
		case now-peer.heard <= aliveTime && !peer.Leaving:
			neighbours.Live = append(neighbours.Live, uint64(peer.hash))
		default:
			neighbours.Silent++
		}
		known++
	}
	neighbours.Bounded = known >= maxZonePeers
	slices.Sort(neighbours.Live)
	return neighbours
}

// Place returns where this balancer stands by rank among the live ones of its zone that
// it knows, itself included, how many there are, and how many in all zones.
func (t *Table) Place(now time.Duration) (index, count, fleet int) {
	alive := t.Alive(now)
	count = 1
	for _, peer := range alive {
		if peer.Zone != t.self.Zone {
			continue
		}
		count++
		if peer.rank().Compare(t.rank()) < 0 {
			index++
		}
	}
	return index, count, len(alive) + 1
}

// OwnPlace returns where this balancer stands, for placing flows.
func (t *Table) OwnPlace(now time.Duration) steering.Place {
	index, count, fleet := t.Place(now)
	zoneSize, fleetSize := t.Sizes(now)
	return steering.Place{Index: index, Count: count, Fleet: fleet, ZoneSize: zoneSize, FleetSize: fleetSize, Zone: t.Neighbours(now)}
}

func (t *Table) zonePeers(peers []*Peer) int {
	count := 0
	for _, peer := range peers {
		if peer.Zone == t.self.Zone {
			count++
		}
	}
	return count
}

// HasLower tells whether a live peer has a lower rank.
func (t *Table) HasLower(now time.Duration) bool {
	alive := t.Alive(now)
	return len(alive) > 0 && alive[0].rank().Compare(t.rank()) < 0
}

// HasAbler tells whether a balancer on an abler machine is known that is alive, or that another one has named
// just now.
func (t *Table) HasAbler(now time.Duration) bool {
	for _, peer := range t.peers {
		if peer.Capacity > t.self.Capacity && !peer.Leaving && now-peer.heard <= aliveTime {
			return true
		}
	}
	return false
}

// Failing returns how many live peers say that the store does not answer them.
func (t *Table) Failing(now time.Duration) int {
	count := 0
	for _, peer := range t.Alive(now) {
		if peer.Failing {
			count++
		}
	}
	return count
}

// Freshest returns the live peer with the newest revision above the given one, of
// those that did not send this balancer away lately.
func (t *Table) Freshest(now time.Duration, above uint64) (*Peer, bool) {
	var freshest *Peer
	for _, peer := range t.Alive(now) {
		if peer.Revision > above && now >= peer.refusedUntil && (freshest == nil || peer.Revision > freshest.Revision) {
			freshest = peer
		}
	}
	return freshest, freshest != nil
}
