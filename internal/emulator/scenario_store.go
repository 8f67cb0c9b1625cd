package emulator

import (
	"slices"
	"time"

	"gaugeyard/internal/peers"
)

// faultTime is how long the store's faults last.
const faultTime = 6 * time.Second

func duringFault(fault storeFault) func(*world) {
	return func(w *world) {
		w.At(troubleStart, func() { w.store.setFault(fault) })
		w.At(troubleStart+faultTime, func() { w.store.setFault(storeSound) })
		w.release()
		w.At(troubleStart+faultTime+time.Second, func() {
			w.operator.probe = serviceFeed
			w.operator.publish()
		})
	}
}

func (w *world) silentLate() {
	const begin = troubleStart + 12*time.Second
	w.At(begin, func() { w.store.setFault(storeSilent) })
	w.At(begin+faultTime, func() { w.store.setFault(storeSound) })
	w.At(begin+faultTime+time.Second, func() {
		w.operator.probe = serviceFeed
		w.operator.publish()
	})
}

func (w *world) storeLapse() {
	w.At(troubleStart, func() { w.store.setFault(storeSilent) })
	w.At(troubleStart+faultTime, func() {
		w.store.lapse()
		w.store.setFault(storeSound)
	})
}

func (w *world) storeCompact() {
	w.At(troubleStart, func() {
		w.store.stalled = true
		for _, s := range w.third() {
			s.serveOn = serveLong
			s.leave(true)
		}
		w.operator.probe = serviceFeed
		w.operator.publish()
	})
	w.At(troubleStart+time.Second, w.store.compact)
}

// cutEverySecond cuts every second balancer off from the store and the others, not from clients and servers.
func (w *world) cutEverySecond(at, length time.Duration) {
	w.At(at, func() {
		for i, n := range w.nodes {
			if i%2 == 0 {
				n.cut(length, true)
			}
		}
	})
}

func (w *world) storeCut() {
	w.cutEverySecond(troubleStart, 8*time.Second)
	w.release()
	w.At(troubleStart+4*time.Second, func() {
		w.operator.probe = serviceFeed
		w.operator.publish()
	})
	w.At(troubleStart+9*time.Second, func() {
		w.operator.probe = ""
		w.operator.publish()
	})
}

// ranked returns the balancers in the order in which others follow them.
func (w *world) ranked() []*node {
	ranked := slices.Clone(w.nodes)
	slices.SortFunc(ranked, func(a, b *node) int {
		return peers.RankOf(a.introduction()).Compare(peers.RankOf(b.introduction()))
	})
	return ranked
}

// storeTurnsAway has those that are turned away count as in touch: others are served, and tell them.
func (w *world) storeTurnsAway() {
	const awayTime = 9 * time.Second
	ranked := w.ranked()
	away := ranked[:len(ranked)/3]
	w.At(troubleStart, func() { w.store.turnAway(away, true) })
	w.At(troubleStart+awayTime, func() { w.store.turnAway(away, false) })
	w.release()
	for i := range 4 {
		w.At(troubleStart+time.Duration(2*i+1)*time.Second, func() {
			w.operator.probe = []string{serviceFeed, ""}[i%2]
			w.operator.publish()
		})
	}
}

// cutSources cuts those that most others follow off from the store alone, so that they go
// on telling what they know, and restarts the others in turn while servers leave.
func (w *world) cutSources() {
	const cutTime = 14 * time.Second
	ranked := w.ranked()
	sources, others := ranked[:2], ranked[2:]
	w.At(troubleStart, func() {
		for _, n := range sources {
			n.cut(cutTime, false)
		}
	})
	for i := range 2 * len(others) {
		w.At(troubleStart+time.Duration(i)*1100*time.Millisecond, func() {
			if n := others[i%len(others)]; n.up && !n.leaving {
				n.stop()
			}
		})
	}
	w.release()
}

// loseAble takes those away that come first by rank, one in each zone where machines are alike.
func (w *world) loseAble() {
	const downTime, cutTime = 6 * time.Second, 10 * time.Second
	for _, n := range w.ranked()[:len(w.zones)] {
		w.At(troubleStart, func() { n.kill(downTime) })
		w.At(troubleStart+downTime+time.Second, func() { n.cut(cutTime, false) })
	}
	w.release()
}

// cut partitions a machine from the store, and from other balancers too.
func (n *node) cut(length time.Duration, peersToo bool) {
	n.disturb()
	n.cutFromStore, n.cutFromPeers = true, peersToo
	n.world.After(length, func() {
		n.disturb()
		n.cutFromStore, n.cutFromPeers = false, false
	})
}

func (w *world) startInOutage() {
	w.At(troubleStart, func() { w.store.setFault(storeSilent) })
	w.At(troubleStart+time.Second, func() {
		for _, n := range w.oneInEachZone() {
			n.kill(restartTime)
		}
	})
	w.addBalancers()
	w.At(troubleStart+10*time.Second, func() { w.store.setFault(storeSound) })
}
