package emulator

import (
	"slices"
	"time"

	"gaugeyard/internal/peers"
)

const storeFaultDuration = 6 * time.Second

func storeFaultDuringRelease(fault storeFault) func(*world) {
	return func(w *world) {
		w.At(faultStart, func() { w.store.setFault(fault) })
		w.At(faultStart+storeFaultDuration, func() { w.store.setFault(storeHealthy) })
		w.release()
		w.At(faultStart+storeFaultDuration+time.Second, func() {
			w.operator.probeService = serviceFeed
			w.operator.publish()
		})
	}
}

func (w *world) silentLate() {
	const begin = faultStart + 12*time.Second
	w.At(begin, func() { w.store.setFault(storeUnresponsive) })
	w.At(begin+storeFaultDuration, func() { w.store.setFault(storeHealthy) })
	w.At(begin+storeFaultDuration+time.Second, func() {
		w.operator.probeService = serviceFeed
		w.operator.publish()
	})
}

func (w *world) storeExpiry() {
	w.At(faultStart, func() { w.store.setFault(storeUnresponsive) })
	w.At(faultStart+storeFaultDuration, func() {
		w.store.expireAll()
		w.store.setFault(storeHealthy)
	})
}

func (w *world) storeCompact() {
	w.At(faultStart, func() {
		w.store.watchesBlocked = true
		for _, s := range w.randomThird() {
			s.serveAfterDrain = longServeAfterDrain
			s.leave(true)
		}
		w.operator.probeService = serviceFeed
		w.operator.publish()
	})
	w.At(faultStart+time.Second, w.store.compact)
}

// partitionEverySecond partitions every second balancer from the store and its peers, not from
// clients and servers.
func (w *world) partitionEverySecond(at, length time.Duration) {
	w.At(at, func() {
		for i, n := range w.nodes {
			if i%2 == 0 {
				n.partition(length, true)
			}
		}
	})
}

func (w *world) storeCut() {
	w.partitionEverySecond(faultStart, 8*time.Second)
	w.release()
	w.At(faultStart+4*time.Second, func() {
		w.operator.probeService = serviceFeed
		w.operator.publish()
	})
	w.At(faultStart+9*time.Second, func() {
		w.operator.probeService = ""
		w.operator.publish()
	})
}

// ranked returns the balancers by rank, the first ones being those that others follow.
func (w *world) ranked() []*node {
	ranked := slices.Clone(w.nodes)
	slices.SortFunc(ranked, func(a, b *node) int {
		return peers.RankOf(a.introduction()).Compare(peers.RankOf(b.introduction()))
	})
	return ranked
}

// storeTurnsAway rejects a third of the balancers. These still count as in contact, as they can
// follow peers that the store serves.
func (w *world) storeTurnsAway() {
	const rejectTime = 9 * time.Second
	ranked := w.ranked()
	rejected := ranked[:len(ranked)/3]
	w.At(faultStart, func() { w.store.setRejected(rejected, true) })
	w.At(faultStart+rejectTime, func() { w.store.setRejected(rejected, false) })
	w.release()
	for i := range 4 {
		w.At(faultStart+time.Duration(2*i+1)*time.Second, func() {
			w.operator.probeService = []string{serviceFeed, ""}[i%2]
			w.operator.publish()
		})
	}
}

// cutSources partitions the balancers that most others follow from the store alone, so that they
// still answer their peers, and restarts the others in rotation while servers leave.
func (w *world) cutSources() {
	const partitionTime = 14 * time.Second
	ranked := w.ranked()
	sources, others := ranked[:2], ranked[2:]
	w.At(faultStart, func() {
		for _, n := range sources {
			n.partition(partitionTime, false)
		}
	})
	for i := range 2 * len(others) {
		w.At(faultStart+time.Duration(i)*1100*time.Millisecond, func() {
			if n := others[i%len(others)]; n.up && !n.leaving {
				n.stop()
			}
		})
	}
	w.release()
}

// loseHighCapacity kills as many of the first balancers by rank as there are zones, and partitions
// them from the store when they are back.
func (w *world) loseHighCapacity() {
	const killTime, partitionTime = 6 * time.Second, 10 * time.Second
	for _, n := range w.ranked()[:len(w.zones)] {
		w.At(faultStart, func() { n.kill(killTime) })
		w.At(faultStart+killTime+time.Second, func() { n.partition(partitionTime, false) })
	}
	w.release()
}

// partition partitions a machine from the store, and with peersToo from other balancers.
func (n *node) partition(length time.Duration, peersToo bool) {
	n.disturb()
	n.partitionedFromStore, n.partitionedFromPeers = true, peersToo
	n.world.After(length, func() {
		n.disturb()
		n.partitionedFromStore, n.partitionedFromPeers = false, false
	})
}

func (w *world) startInOutage() {
	w.At(faultStart, func() { w.store.setFault(storeUnresponsive) })
	w.At(faultStart+time.Second, func() {
		for _, n := range w.randomNodePerZone() {
			n.kill(restartTime)
		}
	})
	w.addBalancers()
	w.At(faultStart+10*time.Second, func() { w.store.setFault(storeHealthy) })
}
