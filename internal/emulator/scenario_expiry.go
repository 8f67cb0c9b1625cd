package emulator

import (
	"time"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// returnPeriod is the time from the store's return within which all servers register again.
const returnPeriod = 2 * time.Second

// expireInOutage removes all entries while the store is unresponsive. Servers register again one by
// one after its return.
func (w *world) expireInOutage() {
	w.At(faultStart, func() { w.store.setFault(storeUnresponsive) })
	w.At(faultStart+storeFaultDuration, func() {
		w.store.expireAll()
		w.store.setFault(storeHealthy)
		w.returnOneByOne()
	})
}

// returnOneByOne lets each server register at a random time within returnPeriod.
func (w *world) returnOneByOne() {
	for _, s := range w.incarnations {
		if s.crashed || s.heartbeatStopped {
			continue
		}
		s.heartbeatStopped = true
		w.After(time.Duration(w.Random.Float64()*float64(returnPeriod)), func() {
			s.heartbeatStopped = false
			s.heartbeat()
		})
	}
	w.measureReturn()
}

// measureReturn measures how evenly feed servers are used until half of the entries are back: the
// first ones must not receive all requests.
func (w *world) measureReturn() {
	type count struct {
		server *server
		before int
	}
	var counts []count
	for _, s := range w.availableFeedServers() {
		counts = append(counts, count{s, s.requestsStarted})
	}
	w.After(returnPeriod/2, func() {
		var requests []float64
		for _, c := range counts {
			requests = append(requests, float64(c.server.requestsStarted-c.before))
		}
		if floats.Sum(requests) > 0 {
			w.busiestDuringReturn = floats.Max(requests) / stat.Mean(requests, nil)
		}
	})
}

// expireAndCrash crashes a third of the feed servers in the outage and reuses the addresses of half
// of them.
func (w *world) expireAndCrash() {
	w.expireInOutage()
	w.At(faultStart+storeFaultDuration-3*time.Second, func() {
		for i, s := range w.randomThird() {
			s.crash(i%2 == 0)
		}
	})
}

// expireAndRelease replaces servers before, during and after the outage, half of them unannounced.
func (w *world) expireAndRelease() {
	w.expireInOutage()
	w.At(faultStart-2*time.Second, func() {
		for i, s := range w.availableFeedServers() {
			w.After(time.Duration(i)*time.Second, func() {
				w.addServer(s.service, s.zone)
				w.After(500*time.Millisecond, func() { s.leave(i%2 == 0) })
			})
		}
	})
}

// restartAllInOutage kills every balancer shortly before the store returns; they start shortly
// after it.
func (w *world) restartAllInOutage() {
	const down = 1700 * time.Millisecond
	w.At(faultStart+storeFaultDuration-down, func() {
		for _, n := range w.nodes {
			n.kill(down)
		}
	})
}

// loseWrites leaves half of the writes unanswered and kills the balancer that writes the snapshot
// several times.
func (w *world) loseWrites() {
	w.store.unansweredWrites = 0.5
	first := w.ranked()[0]
	for i := range 3 {
		w.At(trafficStart+time.Duration(i)*1300*time.Millisecond, func() { first.kill(restartTime) })
	}
}
