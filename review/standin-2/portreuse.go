package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

const (
	portsPerClient = 20
	firstPort      = 40001
	// requestLimit is the deadline of a request.
	requestLimit = time.Second
	// restMargin is added to idleTimeout.
	restMargin = time.Second
)

// portReuse opens flows, closes them, and opens new flows from the same ports after the closed ones have rested for
// longer than idleTimeoutMs. One balancer is stopped and started twice as planned, so that the packets of the flows
// pass through different balancers.
func portReuse(w *world) {
	const zone = "kushiro-a"
	feeds := routeOf{netip.AddrPortFrom(w.ip(250, 1), 8443), "forecast-feed", "safe"}
	lookups := routeOf{netip.AddrPortFrom(w.ip(250, 1), 8080), "forecast-feed", "unsafe"}
	w.configure(7, feeds, lookups)
	for i := range 5 {
		w.addServer(0x7f3a910000+uint64(i)*0x01020304, "forecast-feed", zone)
	}
	for range 3 {
		w.addBalancer(zone)
	}
	for range 3 {
		w.addClient(zone)
	}
	w.startAll()

	rolled := w.balancers[len(w.balancers)-1]
	roll := func(whileOut func()) {
		if w.trouble {
			rolled.restart(whileOut)
			return
		}
		whileOut()
		time.Sleep(2 * time.Second)
	}
	flows := w.openFlows("first", lookups.address)
	w.requestOnAll(flows, "first-a")
	roll(func() {
		w.requestOnAll(flows, "first-b")
		w.closeAll(flows)
	})
	time.Sleep(idleTimeout + restMargin)
	roll(func() {
		flows = w.openFlows("second", lookups.address)
		w.requestOnAll(flows, "second-a")
	})
	w.requestOnAll(flows, "second-b")
	w.judgeFlows(flows)
}

// openFlows opens a flow from each port of each client.
func (w *world) openFlows(name string, route netip.AddrPort) []*clientFlow {
	var mutex sync.Mutex
	var group sync.WaitGroup
	var flows []*clientFlow
	for _, c := range w.clients {
		group.Go(func() {
			for i := range portsPerClient {
				f := c.open(uint16(firstPort+i), route)
				if f == nil {
					w.recordf("client %v: the %s flow from port %d did not open", c.ip, name, firstPort+i)
					continue
				}
				mutex.Lock()
				flows = append(flows, f)
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	w.recordf("%d %s flows are open", len(flows), name)
	return flows
}

// requestOnAll sends a request on each flow that was not reset, and records how they ended.
func (w *world) requestOnAll(flows []*clientFlow, name string) {
	var mutex sync.Mutex
	counts := map[outcome]int{}
	w.perClient(flows, func(f *clientFlow) {
		if f.ended {
			return
		}
		got := f.request(fmt.Sprintf("%s-%v", name, f.key.client), requestLimit)
		mutex.Lock()
		counts[got]++
		mutex.Unlock()
	})
	w.recordf("requests %s: %v", name, counts)
}

func (w *world) closeAll(flows []*clientFlow) {
	w.perClient(flows, func(f *clientFlow) {
		if !f.close() {
			w.recordf("flow %v: its server has not confirmed the end", f.key.client)
		}
	})
	w.recordf("the flows are closed at both ends")
}

// perClient calls do for each flow, those of one client in turn.
func (w *world) perClient(flows []*clientFlow, do func(f *clientFlow)) {
	var group sync.WaitGroup
	for _, c := range w.clients {
		group.Go(func() {
			for _, f := range flows {
				if f.client == c {
					do(f)
				}
			}
		})
	}
	group.Wait()
}

const (
	// reorderTime is flowReorderMs, and strayPackets the number of packets that break FLOW (b).
	reorderTime  = 2 * time.Second
	strayPackets = 3
)

// judgeFlows checks FLOW (b): three packets of a flow or more reach other servers within flowReorderMs, and none
// reaches its own.
func (w *world) judgeFlows(flows []*clientFlow) {
	w.mutex.Lock()
	arrivals := w.arrivals
	w.mutex.Unlock()
	for _, f := range flows {
		stray, begun := 0, time.Time{}
		for _, a := range arrivals {
			if a.flow != f.key || a.at.Before(f.opened) || a.flags&flagSYN != 0 || f.server == nil {
				continue
			}
			if a.server == f.server || stray > 0 && a.at.Sub(begun) > reorderTime {
				stray = 0
			}
			if a.server == f.server {
				continue
			}
			if stray == 0 {
				begun = a.at
			}
			w.recordf("flow %v of %s: a packet with flags %d and %d bytes reached %s through %s", f.key.client, f.server.name(), a.flags, a.bytes, a.server.name(), w.nameOf(a.balancer))
			if stray++; stray == strayPackets {
				w.violation("FLOW: %d packets of flow %v, open at %s, reached other servers within %v and none its own", stray, f.key.client, f.server.name(), reorderTime)
			}
		}
	}
}
