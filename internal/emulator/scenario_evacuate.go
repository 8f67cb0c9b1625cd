package emulator

import "time"

// evacuationTime is how long scenarios keep a zone empty: well beyond the bound.
const evacuationTime = 8 * time.Second

// zoneAt counts on from the first zone again where there are fewer.
func (w *world) zoneAt(i int) string { return w.zones[i%len(w.zones)] }

// evacuateAt evacuates a zone at a time and takes it back later.
func (w *world) evacuateAt(at time.Duration, zone string) {
	w.At(at, func() { w.store.evacuate(zone, true) })
	w.At(at+evacuationTime, func() { w.store.evacuate(zone, false) })
}

func (w *world) evacuateInTurn() {
	w.evacuateAt(troubleStart, w.zoneAt(0))
	w.evacuateAt(troubleStart+evacuationTime+time.Second, w.zoneAt(1))
	w.release()
}

func (w *world) evacuateAll() {
	for _, zone := range w.zones {
		w.evacuateAt(troubleStart, zone)
	}
}

// evacuateCompact has a removal and an evacuation in one gap that no watch heard of.
func (w *world) evacuateCompact() {
	w.At(troubleStart, func() { w.store.evacuate(w.zoneAt(0), true) })
	w.At(troubleStart+4*time.Second, func() {
		w.store.stalled = true
		w.store.evacuate(w.zoneAt(0), false)
		w.store.evacuate(w.zoneAt(1), true)
		w.operator.probe = serviceFeed
		w.operator.publish()
	})
	w.At(troubleStart+5*time.Second, w.store.compact)
	w.At(troubleStart+14*time.Second, func() { w.store.evacuate(w.zoneAt(1), false) })
}

func (w *world) evacuateCut() {
	w.cutEverySecond(troubleStart, 6*time.Second)
	w.At(troubleStart+2*time.Second, func() { w.store.evacuate(w.zoneAt(0), true) })
	w.At(troubleStart+16*time.Second, func() { w.store.evacuate(w.zoneAt(0), false) })
}

func (w *world) evacuateTurnedAway() {
	w.storeTurnsAway()
	w.evacuateAt(troubleStart+500*time.Millisecond, w.zoneAt(0))
	w.evacuateAt(troubleStart+4*time.Second, w.zoneAt(2))
}

// evacuateOutage has balancers that start learn of the evacuation from others alone.
func (w *world) evacuateOutage() {
	w.evacuateAt(troubleStart, w.zoneAt(0))
	w.At(troubleStart+500*time.Millisecond, func() { w.store.setFault(storeSilent) })
	for i, n := range w.nodes {
		w.At(troubleStart+time.Second+time.Duration(i)*400*time.Millisecond, func() { n.kill(restartTime) })
	}
	w.At(troubleStart+faultTime, func() { w.store.setFault(storeSound) })
}

func (w *world) evacuateRestart() {
	w.At(troubleStart, func() { w.store.evacuate(w.zoneAt(0), true) })
	w.At(troubleStart+2*time.Second, func() {
		for _, n := range w.nodes {
			n.kill(restartTime)
		}
	})
	w.configStorm()
	w.At(troubleStart+16*time.Second, func() { w.store.evacuate(w.zoneAt(0), false) })
}

func (w *world) evacuateDark() {
	w.evacuateAt(troubleStart, w.zoneAt(0))
	w.At(troubleStart+3*time.Second, func() {
		for _, s := range w.incarnations {
			if s.zone == w.zoneAt(1) {
				s.hung, s.disturbed = true, w.Now
			}
		}
	})
	w.At(troubleStart+evacuationTime, func() {
		for _, s := range w.incarnations {
			s.hung, s.disturbed = false, w.Now
		}
	})
}
