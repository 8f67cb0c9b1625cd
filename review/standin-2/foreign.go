package main

import (
	"fmt"
	"net/netip"
	"time"
)

// leaveLinger is how long the leaving servers of the case serve on.
const leaveLinger = 6 * time.Second

// foreignEntries lets two of fourteen servers leave as planned without saying draining. Another writer has written
// entries with their addresses, for a service that the configuration does not name.
func foreignEntries(w *world) {
	zones := []string{"kushiro-a", "obihiro-b"}
	lookups := routeOf{netip.AddrPortFrom(w.ip(250, 1), 8080), "forecast-feed", "unsafe"}
	w.configure(7, lookups)
	for i := range 14 {
		w.addServer(0x7f3a910000+uint64(i)*0x01020304, lookups.service, zones[i%2])
	}
	for i := range 4 {
		w.addBalancer(zones[i%2])
	}
	for i := range 4 {
		w.addClient(zones[i%2])
	}
	w.startAll()

	leaving := w.servers[:2]
	if w.trouble {
		for i, s := range leaving {
			w.store.put(fmt.Sprintf("servers/i-%010x", 0x5500000001+i), map[string]any{
				"service": "audit", "address": s.address.String(), "zone": s.zone, "version": "v1", "capacity": 2,
				"state": "ready", "warmupLeftMs": 0, "callSeq": 1,
			})
			w.recordf("another writer has written an entry of the service audit with the address %v", s.address)
		}
		time.Sleep(2 * time.Second)
	}
	flows := w.openFlows("lookup", lookups.address)
	w.requestOnAll(flows, "before")
	for _, s := range leaving {
		s.deregister()
	}
	// The servers still serve: well within drainMs and leaveLinger.
	for i := range 3 {
		time.Sleep(time.Second)
		w.requestOnAll(flows, fmt.Sprintf("after-%d", i))
	}
	w.judgeFlows(flows)
	time.Sleep(leaveLinger - 3*time.Second)
	for _, s := range leaving {
		s.end()
	}
}
