package main

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"
)

const (
	// openInterval is the time between two new flows of one client.
	openInterval = 25 * time.Millisecond
	// freezeTime is how long a machine stands still.
	freezeTime = 4 * time.Second
	// lingerTime is how long a server serves on after drainMs.
	lingerTime = time.Second
)

// groupLeaves removes the entries of all servers of a service, which never say draining and serve on, while the
// balancer that reads the store stands still.
func groupLeaves(w *world) {
	zones := []string{"kushiro-a", "obihiro-b", "nemuro-c"}
	feeds := routeOf{netip.AddrPortFrom(w.ip(250, 1), 8443), "forecast-feed", "safe"}
	uploads := routeOf{netip.AddrPortFrom(w.ip(250, 2), 8443), "obs-ingest", "upload"}
	w.configure(7, feeds, uploads)
	id := uint64(0x9e16b70000)
	for i := range 14 {
		id += 0x01020304
		w.addServer(id, "forecast-feed", zones[i%len(zones)])
	}
	var leaving []*server
	for _, zone := range zones[:2] {
		id += 0x01020304
		leaving = append(leaving, w.addServer(id, "obs-ingest", zone))
	}
	for i := range 9 {
		w.addBalancer(zones[i%len(zones)])
	}
	for _, zone := range zones {
		w.addClient(zone)
	}
	w.startAll()
	w.store.topWatcher()

	stop := make(chan struct{})
	for _, c := range w.clients {
		go c.openRepeatedly(uploads.address, stop)
	}
	time.Sleep(3 * time.Second)
	reader := w.storeReader()
	w.recordf("%s reads the store for the others", reader.name)
	if w.trouble {
		reader.signal(syscall.SIGSTOP)
		w.recordf("%s stands still", reader.name)
		time.AfterFunc(freezeTime, func() {
			reader.signal(syscall.SIGCONT)
			w.recordf("%s runs again", reader.name)
		})
	}
	for _, s := range leaving {
		s.deregister()
	}
	time.Sleep(w.bound("drainMs") + lingerTime)
	for _, s := range leaving {
		s.end()
	}
	time.Sleep(2 * time.Second)
	close(stop)
	w.judgeDrain(reader, w.trouble)
}

// storeReader returns the balancer that has watched the store most often.
func (w *world) storeReader() *balancer {
	address := w.store.topWatcher()
	for _, b := range w.balancers {
		if b.store().String() == address {
			return b
		}
	}
	fatal(fmt.Errorf("no balancer watches the store at %q", address))
	return nil
}

// openRepeatedly opens flows with one request each until stop is closed.
func (c *client) openRepeatedly(route netip.AddrPort, stop <-chan struct{}) {
	for port := uint16(firstPort); ; port++ {
		go func() {
			if f := c.open(port, route); f != nil {
				if f.request(fmt.Sprintf("u-%v-%d", c.ip, port), requestLimit) == answered {
					f.close()
				}
			}
		}()
		select {
		case <-stop:
			return
		case <-time.After(openInterval):
		}
	}
}

// judgeDrain checks DRAIN: no opening packet reaches a server later than drainMs after the store has acknowledged
// that it is gone. Packets through a balancer that was disturbed are not judged.
func (w *world) judgeDrain(disturbed *balancer, wasDisturbed bool) (late int) {
	w.mutex.Lock()
	arrivals := w.arrivals
	w.mutex.Unlock()
	var latest time.Duration
	for _, a := range arrivals {
		left := a.server.leftAt()
		if a.flags&flagSYN == 0 || left.IsZero() || wasDisturbed && a.balancer == disturbed.data() {
			continue
		}
		age := a.at.Sub(left)
		latest = max(latest, age)
		if age > w.bound("drainMs") {
			late++
			w.violation("DRAIN: server %s got a new flow of %v through %s %.3f s after its entry had gone", a.server.name(), a.flow.client, w.nameOf(a.balancer), age.Seconds())
		}
	}
	w.recordf("the last new flow reached a leaving server %.3f s after its entry had gone", latest.Seconds())
	return late
}
