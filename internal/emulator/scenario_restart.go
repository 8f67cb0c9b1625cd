package emulator

import "time"

// downTime is how long a server that starts again under its identifier is down: less than its entry lives.
const downTime = 700 * time.Millisecond

// restartServers has a third of the feed servers crash and start again under their identifiers, once in each
// of times.
func (w *world) restartServers(times ...time.Duration) {
	w.At(troubleStart, func() {
		for _, s := range w.third() {
			for _, at := range times {
				w.After(at, w.servers[s.address].restart)
			}
		}
	})
}

// restart ends whoever is at the server's address and starts another one under its identifier, which holds
// nothing of it.
func (s *server) restart() {
	w := s.world
	if present := w.servers[s.address]; present != nil {
		present.end()
	}
	w.After(downTime, func() { w.startServerAs(s.id, s.service, s.zone, s.address) })
}

func (w *world) restartServersOnce() { w.restartServers(0) }

// restartServersOften has them restart three times within one interval of their entries, so that balancers
// learn of the last start alone, and once more later.
func (w *world) restartServersOften() {
	w.restartServers(0, downTime+10*time.Millisecond, 2*(downTime+10*time.Millisecond), 8*time.Second)
}

// restartServersUnseen has them restart while half of the balancers are cut off from the store and the others.
func (w *world) restartServersUnseen() {
	w.cutHalf()
	w.restartServers(4 * time.Second)
}

// restartServersBack has their clocks set back meanwhile, so that the later start tells the earlier birth.
func (w *world) restartServersBack() {
	w.restartServers(0)
	w.At(troubleStart, func() { w.clockBack = 3600 * time.Second })
}
