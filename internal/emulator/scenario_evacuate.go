package emulator

import "time"

// evacuationDuration is how long scenarios evacuate a zone, well beyond evacuateBound.
const evacuationDuration = 8 * time.Second

// zoneAt returns the zone with the index modulo the number of zones.
func (w *world) zoneAt(i int) string { return w.zones[i%len(w.zones)] }

// evacuateAt evacuates a zone for evacuationDuration.
func (w *world) evacuateAt(at time.Duration, zone string) {
	w.At(at, func() { w.store.setEvacuated(zone, true) })
	w.At(at+evacuationDuration, func() { w.store.setEvacuated(zone, false) })
}

func (w *world) evacuateInTurn() {
	w.evacuateAt(faultStart, w.zoneAt(0))
	w.evacuateAt(faultStart+evacuationDuration+time.Second, w.zoneAt(1))
	w.release()
}

func (w *world) evacuateAll() {
	for _, zone := range w.zones {
		w.evacuateAt(faultStart, zone)
	}
}

// evacuateCompact ends one evacuation and begins another while watches are blocked and before the
// history is compacted.
func (w *world) evacuateCompact() {
	w.At(faultStart, func() { w.store.setEvacuated(w.zoneAt(0), true) })
	w.At(faultStart+4*time.Second, func() {
		w.store.watchesBlocked = true
		w.store.setEvacuated(w.zoneAt(0), false)
		w.store.setEvacuated(w.zoneAt(1), true)
		w.operator.probeService = serviceFeed
		w.operator.publish()
	})
	w.At(faultStart+5*time.Second, w.store.compact)
	w.At(faultStart+14*time.Second, func() { w.store.setEvacuated(w.zoneAt(1), false) })
}

func (w *world) evacuateCut() {
	w.partitionEverySecond(faultStart, 6*time.Second)
	w.At(faultStart+2*time.Second, func() { w.store.setEvacuated(w.zoneAt(0), true) })
	w.At(faultStart+16*time.Second, func() { w.store.setEvacuated(w.zoneAt(0), false) })
}

func (w *world) evacuateTurnedAway() {
	w.storeTurnsAway()
	w.evacuateAt(faultStart+500*time.Millisecond, w.zoneAt(0))
	w.evacuateAt(faultStart+4*time.Second, w.zoneAt(2))
}

// evacuateOutage restarts balancers in an outage, so that they learn of the evacuation from peers
// alone.
func (w *world) evacuateOutage() {
	w.evacuateAt(faultStart, w.zoneAt(0))
	w.At(faultStart+500*time.Millisecond, func() { w.store.setFault(storeUnresponsive) })
	for i, n := range w.nodes {
		w.At(faultStart+time.Second+time.Duration(i)*400*time.Millisecond, func() { n.kill(restartTime) })
	}
	w.At(faultStart+storeFaultDuration, func() { w.store.setFault(storeHealthy) })
}

func (w *world) evacuateRestart() {
	w.At(faultStart, func() { w.store.setEvacuated(w.zoneAt(0), true) })
	w.At(faultStart+2*time.Second, func() {
		for _, n := range w.nodes {
			n.kill(restartTime)
		}
	})
	w.configStorm()
	w.At(faultStart+16*time.Second, func() { w.store.setEvacuated(w.zoneAt(0), false) })
}

func (w *world) evacuateDark() {
	w.evacuateAt(faultStart, w.zoneAt(0))
	w.At(faultStart+3*time.Second, func() {
		for _, s := range w.incarnations {
			if s.zone == w.zoneAt(1) {
				s.hung, s.disturbed = true, w.Now
			}
		}
	})
	w.At(faultStart+evacuationDuration, func() {
		for _, s := range w.incarnations {
			s.hung, s.disturbed = false, w.Now
		}
	})
}
