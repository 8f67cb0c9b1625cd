package emulator

import (
	"time"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// backWithin is within what time of the store's return servers' entries are back.
const backWithin = 2 * time.Second

// lapseInOutage drops all entries while the store is away. Servers get through to it again one by one.
func (w *world) lapseInOutage() {
	w.At(troubleStart, func() { w.store.setFault(storeSilent) })
	w.At(troubleStart+faultTime, func() {
		w.store.lapse()
		w.store.setFault(storeSound)
		w.backOneByOne()
	})
}

// backOneByOne lets each server write its entry at some time within backWithin.
func (w *world) backOneByOne() {
	for _, s := range w.incarnations {
		if s.crashed || s.mute {
			continue
		}
		s.mute = true
		w.After(time.Duration(w.Random.Float64()*float64(backWithin)), func() {
			s.mute = false
			s.heartbeat()
		})
	}
	w.measureBack()
}

// measureBack compares how many requests the feed servers began until half of the entries are back:
// few that are back first must not take everything.
func (w *world) measureBack() {
	type count struct {
		server *server
		before int
	}
	var counts []count
	for _, s := range w.feedIncarnations() {
		counts = append(counts, count{s, s.begun})
	}
	w.After(backWithin/2, func() {
		var begun []float64
		for _, c := range counts {
			begun = append(begun, float64(c.server.begun-c.before))
		}
		if floats.Sum(begun) > 0 {
			w.busiestBack = floats.Max(begun) / stat.Mean(begun, nil)
		}
	})
}

// lapseAndCrash has a third of the feed servers crash in the outage; their addresses go to others.
func (w *world) lapseAndCrash() {
	w.lapseInOutage()
	w.At(troubleStart+faultTime-3*time.Second, func() {
		for i, s := range w.third() {
			s.crash(i%2 == 0)
		}
	})
}

// lapseAndRelease has servers leave before, in and after the outage, with and without a word.
func (w *world) lapseAndRelease() {
	w.lapseInOutage()
	w.At(troubleStart-2*time.Second, func() {
		for i, s := range w.feedIncarnations() {
			w.After(time.Duration(i)*time.Second, func() {
				w.addServer(s.service, s.zone)
				w.After(500*time.Millisecond, func() { s.leave(i%2 == 0) })
			})
		}
	})
}

// powerInOutage kills every balancer before the store is back; those that are on start soon after it.
func (w *world) powerInOutage() {
	const down = 1700 * time.Millisecond
	w.At(troubleStart+faultTime-down, func() {
		for _, n := range w.nodes {
			n.kill(down)
		}
	})
}

// loseWrites leaves writes unanswered, and kills the balancer that writes now and then.
func (w *world) loseWrites() {
	w.store.lostWrites = 0.5
	first := w.ranked()[0]
	for i := range 3 {
		w.At(trafficStart+time.Duration(i)*1300*time.Millisecond, func() { first.kill(restartTime) })
	}
}
