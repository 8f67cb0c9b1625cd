package emulator

import "time"

const (
	// limitedWarmUpRate is how many new flows per second a server accepts during warm-up,
	// limitedWarmUpTime how long that lasts.
	limitedWarmUpRate = 4
	limitedWarmUpTime = 8 * time.Second
	// coldReturnDownTime is how long the servers are down.
	coldReturnDownTime = 4500 * time.Millisecond
)

// limitWarmUp limits the rate of new flows during warm-up from now on.
func (w *world) limitWarmUp() {
	w.warmUpTime, w.operator.warmUpRate = limitedWarmUpTime, limitedWarmUpRate
	w.operator.publish()
}

// coldReturn crashes the feed servers of the first zone and starts all of them again at once.
func (w *world) coldReturn() {
	w.limitWarmUp()
	w.At(faultStart, func() {
		for _, s := range w.availableFeedServers() {
			if s.zone == w.zones[0] {
				s.crash(false)
				w.After(coldReturnDownTime, func() { w.startServer(s.service, s.zone, s.address) })
			}
		}
	})
}

// killMost kills all balancers but one of the first zone while its servers are warming up.
func (w *world) killMost() {
	w.At(faultStart+coldReturnDownTime+2*time.Second, func() {
		seen := 0
		for _, n := range w.nodes {
			if n.zone == w.zones[0] {
				if seen++; seen > 1 {
					n.kill(restartTime)
				}
			}
		}
	})
}

// partitionHalf partitions every second balancer. In coldReturn, this begins while the servers are
// down and lasts beyond their return.
func (w *world) partitionHalf() { w.partitionEverySecond(faultStart+3*time.Second, 6*time.Second) }

// coldEvacuation makes the servers of an evacuated zone register as warming up just before the
// evacuation ends.
func (w *world) coldEvacuation() {
	w.limitWarmUp()
	w.At(faultStart, func() { w.store.setEvacuated(w.zones[0], true) })
	w.At(faultStart+evacuationDuration, func() {
		for _, s := range w.availableFeedServers() {
			if s.zone == w.zones[0] {
				s.warmUpStart = w.Now
				s.heartbeat()
			}
		}
		w.store.setEvacuated(w.zones[0], false)
	})
}
