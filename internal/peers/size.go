package peers

import (
	"math"
	"time"
)

// Sizes returns how many balancers there are, this one included: in its zone, and in all zones, taking the zones
// that are known for alike. Where a table has no room for all, the number follows from how near the nearest ones
// are: hashes are spread evenly, so that of N others the k-th nearest is at k/N of the whole range in the mean. With
// 24 live ones the error has a standard deviation of a fifth, whatever N is.
func (t *Table) Sizes(now time.Duration) (zone, fleet int) {
	live, known, zones := 0, 0, map[string]bool{t.self.Zone: true}
	farthest := Hash(0)
	for _, peer := range t.peers {
		if !peer.everHeard {
			continue
		}
		zones[peer.Zone] = true
		if peer.Zone != t.self.Zone {
			continue
		}
		known++
		farthest = max(farthest, peer.hash^t.hash)
		if now-peer.heard <= aliveTime {
			live++
		}
	}
	zone = live + 1
	if known >= maxZonePeers && live > 1 {
		// Those that are farthest away bound the range, dead or alive; the farthest itself does not count in it.
		zone = 1 + max(live, int(math.Round(float64(live-1)/float64(farthest)*math.MaxUint64)))
	}
	return zone, zone * len(zones)
}
