package emulator

import "time"

// serverDownTime is how long a restarting server is down, less than entryTTL.
const serverDownTime = 700 * time.Millisecond

// restartServers restarts a third of the feed servers under their identifiers, once at each of the
// times.
func (w *world) restartServers(times ...time.Duration) {
	w.At(faultStart, func() {
		for _, s := range w.randomThird() {
			for _, at := range times {
				w.After(at, w.servers[s.address].restart)
			}
		}
	})
}

// restart ends the present server at the address and starts another one, without its flows, under
// the same identifier.
func (s *server) restart() {
	w := s.world
	if present := w.servers[s.address]; present != nil {
		present.stop()
	}
	w.After(serverDownTime, func() { w.startServerAs(s.id, s.service, s.zone, s.address) })
}

func (w *world) restartServersOnce() { w.restartServers(0) }

// restartServersOften restarts them three times within one heartbeat interval, so that balancers
// learn of the last start only, and once more later.
func (w *world) restartServersOften() {
	w.restartServers(0, serverDownTime+10*time.Millisecond, 2*(serverDownTime+10*time.Millisecond), 8*time.Second)
}

// restartServersUnseen restarts them while half of the balancers are partitioned.
func (w *world) restartServersUnseen() {
	w.partitionHalf()
	w.restartServers(4 * time.Second)
}

// restartServersBack sets the servers' clocks back meanwhile, so that the later start has the
// earlier start time.
func (w *world) restartServersBack() {
	w.restartServers(0)
	w.At(faultStart, func() { w.clockSetBack = 3600 * time.Second })
}
