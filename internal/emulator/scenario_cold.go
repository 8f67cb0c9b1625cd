package emulator

import "time"

const (
	// limitedRate is how many flows a second a server takes while it warms up, limitedColdTime how
	// long that is.
	limitedRate     = 4
	limitedColdTime = 8 * time.Second
	// goneTime is how long servers that come back cold are gone.
	goneTime = 4500 * time.Millisecond
)

// limitColdServers bounds from now on what servers that warm up may get.
func (w *world) limitColdServers() {
	w.coldTime, w.operator.warmUpRate = limitedColdTime, limitedRate
	w.operator.publish()
}

// coldReturn has only the servers of the first zone come back cold, all at once.
func (w *world) coldReturn() {
	w.limitColdServers()
	w.At(troubleStart, func() {
		for _, s := range w.feedIncarnations() {
			if s.zone == w.zones[0] {
				s.crash(false)
				w.After(goneTime, func() { w.startServer(s.service, s.zone, s.address) })
			}
		}
	})
}

// killMost kills the balancers of the first zone but for one while its servers warm up.
func (w *world) killMost() {
	w.At(troubleStart+goneTime+2*time.Second, func() {
		left := 0
		for _, n := range w.nodes {
			if n.zone == w.zones[0] {
				if left++; left > 1 {
					n.kill(restartTime)
				}
			}
		}
	})
}

// cutHalf cuts half of the balancers off while the servers are gone and when they are back.
func (w *world) cutHalf() { w.cutEverySecond(troubleStart+3*time.Second, 6*time.Second) }

// coldEvacuation has the entries tell that servers are cold just before the zone is taken back.
func (w *world) coldEvacuation() {
	w.limitColdServers()
	w.At(troubleStart, func() { w.store.evacuate(w.zones[0], true) })
	w.At(troubleStart+evacuationTime, func() {
		for _, s := range w.feedIncarnations() {
			if s.zone == w.zones[0] {
				s.coldAt = w.Now
				s.heartbeat()
			}
		}
		w.store.evacuate(w.zones[0], false)
	})
}
