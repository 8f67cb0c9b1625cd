package peers

import (
	"cmp"
	"slices"
)

// trim keeps the peers nearest by hash in the own zone, and some elsewhere: of these first such as are
// as able as this balancer, so that the able ones of all zones find each other and one asks the store, and one
// that is abler, where there is any: of 24 that are near by hash none may be, and a balancer that knows no able
// one asks the store, and writes there, itself (6 of 986 did, with one able machine in 20).
func (t *Table) trim() {
	var zone, others []*Peer
	for _, peer := range t.peers {
		if peer.Zone == t.self.Zone {
			zone = append(zone, peer)
		} else {
			others = append(others, peer)
		}
	}
	t.dropLast(zone, maxZonePeers, t.nearer)
	able := t.nearestAbler(others)
	t.dropLast(others, maxOtherPeers, func(a, b *Peer) int {
		switch able {
		case a:
			return -1
		case b:
			return 1
		}
		return cmp.Or(cmp.Compare(t.upTo(b.Capacity), t.upTo(a.Capacity)), t.nearer(a, b))
	})
}

// nearestAbler returns the nearest of the peers that are abler than this balancer, nil for none.
func (t *Table) nearestAbler(list []*Peer) *Peer {
	var nearest *Peer
	for _, peer := range list {
		if peer.Capacity > t.self.Capacity && (nearest == nil || t.nearer(peer, nearest) < 0) {
			nearest = peer
		}
	}
	return nearest
}

// nearer orders by nearness to this balancer.
func (t *Table) nearer(a, b *Peer) int {
	return cmp.Compare(a.hash^t.hash, b.hash^t.hash)
}

// upTo returns a capacity as far as it does not exceed this balancer's.
func (t *Table) upTo(capacity Capacity) Capacity {
	return min(capacity, t.self.Capacity)
}

func (t *Table) dropLast(list []*Peer, most int, order func(a, b *Peer) int) {
	if len(list) <= most {
		return
	}
	slices.SortFunc(list, order)
	for _, peer := range list[most:] {
		delete(t.peers, peer.Control)
	}
}
