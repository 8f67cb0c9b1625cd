package tagged

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// AddRoutes writes a configuration with count more routes, which only probes use.
func (w *World) AddRoutes(count int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for range count {
		next := len(w.added) + len(w.dropped)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, byte(next >> 8), byte(next)}), 80)
		w.routes[address] = feedService
		w.added = append(w.added, address)
	}
	w.publish()
	w.logf("the operators add %d routes in version %d", count, w.version)
}

// DropRoute writes a configuration without the oldest added route. If there is none, it
// only writes a new version.
func (w *World) DropRoute() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.added) > 0 {
		delete(w.routes, w.added[0])
		w.dropped = append(w.dropped, w.added[0])
		w.added = w.added[1:]
	}
	w.publish()
	w.logf("the operators drop a route in version %d", w.version)
}

// pickServer returns a random server of the feed service that is neither stopped nor
// leaving, and nil if its zone has no other one.
func (w *World) pickServer(random *rand.Rand) *server {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.checker.mutex.Lock()
	defer w.checker.mutex.Unlock()
	perZone := map[string][]*server{}
	for _, s := range w.servers {
		if _, leaving := w.checker.leftAt[s]; !leaving && s.service == feedService {
			perZone[s.zone] = append(perZone[s.zone], s)
		}
	}
	candidates := perZone[w.zones[random.IntN(len(w.zones))]]
	if len(candidates) < 2 {
		return nil
	}
	return candidates[random.IntN(len(candidates))]
}

// ReplaceServer starts a new server and removes an old one in its zone. The old one
// announces the state draining or, if quiet, removes its entry. It stops well after the
// time bound of the drain rule.
func (w *World) ReplaceServer(random *rand.Rand, quiet bool) {
	old := w.pickServer(random)
	if old == nil {
		return
	}
	if _, err := w.startServer(old.service, old.zone, w.unusedAddress(old.zone)); err != nil {
		w.logf("cannot start a new server: %v", err)
		return
	}
	action := "drains"
	if quiet {
		action = "removes its entry without draining"
		old.deregister()
	} else {
		old.drain()
	}
	time.AfterFunc(2*drainTime+settleTime, old.stop)
	w.logf("server %x %s; a new one starts", old.id, action)
}

// CrashServer stops a server without notice. Later a server of the other service reuses
// its address, and a new one replaces it.
func (w *World) CrashServer(random *rand.Rand) {
	old := w.pickServer(random)
	if old == nil {
		return
	}
	old.crash()
	w.logf("server %x crashes", old.id)
	time.AfterFunc(entryLifetime, func() { w.store.Remove(old.key()) })
	time.AfterFunc(max(entryLifetime, addressReuseDelay), func() {
		if _, err := w.startServer(ingestService, old.zone, old.address); err != nil {
			w.logf("cannot reuse the address of server %x: %v", old.id, err)
		}
		if _, err := w.startServer(feedService, old.zone, w.unusedAddress(old.zone)); err != nil {
			w.logf("cannot start a new server: %v", err)
		}
	})
}

// restartDelay is how long a server is down before it restarts under the same identifier.
const restartDelay = 300 * time.Millisecond

// RestartServer stops a server without notice and starts another one with its identifier
// and address but without its flows.
func (w *World) RestartServer(random *rand.Rand) {
	old := w.pickServer(random)
	if old == nil {
		return
	}
	old.crash()
	w.logf("server %x crashes and restarts under its identifier", old.id)
	time.AfterFunc(restartDelay, func() {
		if _, err := w.startServerAs(old.id, old.service, old.zone, old.address); err != nil {
			w.logf("cannot restart server %x: %v", old.id, err)
		}
	})
}

// unusedAddress returns an address that no server of the zone has used.
func (w *World) unusedAddress(zone string) netip.AddrPort {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	number := byte(0)
	for i, name := range w.zones {
		if name == zone {
			number = byte(i + 1)
		}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, w.config.Network, 100 + number, byte(10 + w.serversStarted%200)}), serverPort)
}

// evacuationKey is the store's key of a zone's evacuation.
func evacuationKey(zone string) string { return "op/evacuate/" + zone }

// EvacuateZone evacuates a random zone for the given time, unless one is evacuated already.
func (w *World) EvacuateZone(random *rand.Rand, length time.Duration) {
	if w.checker.anyEvacuated() {
		return
	}
	zone := w.zones[random.IntN(len(w.zones))]
	if w.config.Sabotage != HiddenEvacuation {
		w.store.Put(evacuationKey(zone), struct{}{})
	}
	w.checker.setEvacuated(zone, true)
	w.logf("the operators evacuate %s for %v", zone, length)
	time.AfterFunc(length, func() {
		w.checker.setEvacuated(zone, false)
		w.store.Remove(evacuationKey(zone))
		w.logf("the operators end the evacuation of %s", zone)
	})
}

// SilenceStore stops the store from answering any request for the given time.
func (w *World) SilenceStore(length time.Duration) {
	w.checker.disturbances.markStore(time.Now().Add(length))
	w.store.SetSilent(true)
	w.logf("the store falls silent")
	time.AfterFunc(length, func() {
		w.store.SetSilent(false)
		w.checker.disturbances.markStore(time.Now())
		w.logf("the store answers again")
	})
}

// CompactStore discards the store's history.
func (w *World) CompactStore() {
	w.store.Compact()
	w.logf("the store compacts its history")
}

// InjectStoreFault applies a fault to one balancer's access to the store for the given time.
func (w *World) InjectStoreFault(balancer int, fault StoreFault, length time.Duration) {
	if fault != StaleStore {
		// Stale answers do not suspend the time bounds, so that the rules can fail.
		w.disturb(balancer, length)
	}
	w.endpoints[balancer].setFault(fault)
	w.logf("the store is %s to balancer %d for %v", fault, balancer, length)
	time.AfterFunc(length, func() { w.endpoints[balancer].setFault(HealthyStore) })
}

// SilenceConnections drops all further traffic on the connections open between balancers
// and the store, without closing them. New connections work. It counts as a disturbance of
// all balancers; the caller silences the connections between balancers.
func (w *World) SilenceConnections() {
	for i, endpoint := range w.endpoints {
		w.disturb(i, 0)
		endpoint.silencer.Silence()
	}
	w.logf("open connections to the store drop all traffic")
}

// InjectLinkFault applies a fault to the link of a balancer to routers and servers for the
// given time.
func (w *World) InjectLinkFault(balancer int, fault LinkFault, length time.Duration) {
	w.disturb(balancer, length)
	data := w.config.Balancers[balancer].Data
	w.links.set(data, fault)
	w.logf("the link of balancer %d has fault %+[3]v for %[2]v", balancer, length, fault)
	time.AfterFunc(length, func() { w.links.set(data, LinkFault{}) })
}

// SetLingering sets whether packets of open flows still go to a balancer that is stopping.
func (w *World) SetLingering(balancer int, lingers bool) {
	w.router.setLingering(w.config.Balancers[balancer].Data, lingers)
}

// FlapServer drains a server and returns it to service twice, gap apart.
func (w *World) FlapServer(random *rand.Rand, gap time.Duration) {
	s := w.pickServer(random)
	if s == nil {
		return
	}
	w.logf("server %x drains and returns to service twice", s.id)
	go func() {
		for range 2 {
			s.drain()
			time.Sleep(gap)
			s.undrain()
			time.Sleep(gap)
		}
	}()
}

// RecordDisturbance records that a balancer is disturbed for length. If restarted, its
// process is a new one.
func (w *World) RecordDisturbance(balancer int, length time.Duration, restarted bool) {
	w.disturb(balancer, length)
	if restarted {
		w.checker.recordRestart(w.config.Balancers[balancer].Data)
	}
}

// RecordAllKilled records that all balancers were killed at once and have just restarted.
func (w *World) RecordAllKilled() {
	w.checker.recordAllKilled()
}

func (w *World) disturb(balancer int, length time.Duration) {
	w.checker.disturbances.markBalancer(w.config.Balancers[balancer].Data, time.Now().Add(length))
}

// LoseRoute rewrites the configuration without the newest added route and does not record that
// in the checker. It shows that the rule LOST can fail.
func (w *World) LoseRoute() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.added) == 0 {
		return
	}
	w.lostRoute = w.added[len(w.added)-1]
	w.putConfiguration()
}
