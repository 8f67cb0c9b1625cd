package peers

import (
	"cmp"
	"slices"
)

// trim drops the peers beyond the limits of the table. Of the own zone it keeps the nearest by
// hash. Of other zones it prefers peers of at least this balancer's capacity, then the nearest, so
// that balancers of high capacity in all zones find each other and one of them reads the store. It
// always keeps the nearest peer of higher capacity, if there is any: a balancer that knows none may
// read the store, and write there, itself.
func (t *Table) trim() {
	var zonePeers, otherPeers []*Peer
	for _, peer := range t.peers {
		if peer.Zone == t.self.Zone {
			zonePeers = append(zonePeers, peer)
		} else {
			otherPeers = append(otherPeers, peer)
		}
	}
	t.dropBeyond(zonePeers, maxZonePeers, t.compareDistance)
	retained := t.nearestWithHigherCapacity(otherPeers)
	t.dropBeyond(otherPeers, maxOtherPeers, func(a, b *Peer) int {
		switch retained {
		case a:
			return -1
		case b:
			return 1
		}
		return cmp.Or(cmp.Compare(t.capCapacity(b.Capacity), t.capCapacity(a.Capacity)), t.compareDistance(a, b))
	})
}

// nearestWithHigherCapacity returns the nearest of the peers whose capacity exceeds this
// balancer's, nil if there is none.
func (t *Table) nearestWithHigherCapacity(list []*Peer) *Peer {
	var nearest *Peer
	for _, peer := range list {
		if peer.Capacity > t.self.Capacity && (nearest == nil || t.compareDistance(peer, nearest) < 0) {
			nearest = peer
		}
	}
	return nearest
}

// compareDistance orders peers by hash distance to this balancer.
func (t *Table) compareDistance(a, b *Peer) int {
	return cmp.Compare(a.hash^t.hash, b.hash^t.hash)
}

// capCapacity returns capacity, limited to this balancer's own.
func (t *Table) capCapacity(capacity Capacity) Capacity {
	return min(capacity, t.self.Capacity)
}

// dropBeyond drops the peers of the list after the first limit ones in the order of compare.
func (t *Table) dropBeyond(list []*Peer, limit int, compare func(a, b *Peer) int) {
	if len(list) <= limit {
		return
	}
	slices.SortFunc(list, compare)
	for _, peer := range list[limit:] {
		delete(t.peers, peer.Control)
	}
}
