package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"
)

const (
	feedService   = "feeds"
	ingestService = "ingest"
)

// Routes with traffic.
var (
	feedRoute   = netip.MustParseAddrPort("198.18.0.1:443")
	lookupRoute = netip.MustParseAddrPort("198.18.0.1:8443")
	ingestRoute = netip.MustParseAddrPort("198.18.0.2:443")
	// laterRoute is added by a later version of the configuration.
	laterRoute = netip.MustParseAddrPort("198.18.0.3:443")
)

// Bounds of the small deployments.
const (
	configApply = 3 * time.Second
	drainBound  = 3 * time.Second
	recovery    = 12 * time.Second
)

// world is a small deployment: balancers, store, servers, routers and clients.
type world struct {
	record  *record
	judge   *judge
	store   *store
	fleet   *fleet
	router  *router
	servers []*server
	clients []*client
	// trouble is unset if the disruption is left out.
	trouble bool

	version, idleTimeoutMs int
	routes                 map[netip.AddrPort]string
}

// newWorld starts 7 balancers, 14 servers of one service and 4 of another one, in 3 zones. counts are the numbers of
// balancers of each zone.
func newWorld(ctx context.Context, root, folder string, r *record, trouble bool, counts []int) (*world, error) {
	w := &world{
		record: r, store: newStore(), trouble: trouble, version: 4, idleTimeoutMs: 15000,
		routes: map[netip.AddrPort]string{feedRoute: feedService, lookupRoute: feedService, ingestRoute: ingestService},
	}
	w.judge = &judge{world: w}
	w.fleet = &fleet{root: root, folder: folder, record: r, bounds: map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
		"configApplyMs": 3000, "rollbackSlackMs": 250, "outerMs": 12000, "recoveryS": 12, "flowReorderMs": 2000, "flowTtlS": 60,
	}}
	var err error
	if w.router, err = newRouter(); err != nil {
		return nil, err
	}
	if err := w.fleet.serveStore(w.store, 7); err != nil {
		return nil, err
	}
	w.putConfiguration()
	for z, zone := range zones {
		for i := range counts[z] {
			b := &balancer{number: len(w.fleet.balancers), zone: zone, ip: w.fleet.address(byte(1+z), byte(10+i))}
			w.fleet.balancers = append(w.fleet.balancers, b)
			w.router.members = append(w.router.members, &member{zone: zone, data: b.data(), ready: netip.AddrPortFrom(b.ip, readyPort)})
		}
	}
	for _, b := range w.fleet.balancers {
		if err := w.fleet.start(b); err != nil {
			return nil, err
		}
	}
	feeds, ingests := []int{5, 5, 4}, []int{2, 1, 1}
	for z := range zones {
		for range feeds[z] {
			if _, err := w.addServer(feedService, z); err != nil {
				return nil, err
			}
		}
		for range ingests[z] {
			if _, err := w.addServer(ingestService, z); err != nil {
				return nil, err
			}
		}
	}
	go w.router.run(ctx)
	return w, w.fleet.awaitReady(ctx, w.router)
}

// addServer starts a server in a zone and writes its entry.
func (w *world) addServer(service string, zone int) (*server, error) {
	number := len(w.servers)
	id := uint64(0x7f3a0000) + uint64(number)*0x1011 + uint64(w.fleet.network)
	address := netip.AddrPortFrom(w.fleet.address(byte(11+zone), byte(10+number)), serverPort)
	s, err := startServer(id, service, zones[zone], address, dataPort, 40*time.Millisecond, w.record)
	if err != nil {
		return nil, err
	}
	s.onOpen, s.onReset = w.judge.opened, w.judge.serverReset
	w.servers = append(w.servers, s)
	w.store.write(change{s.key(), s.entry()})
	return s, nil
}

// serversOf returns the servers of a service.
func (w *world) serversOf(service string) []*server {
	var found []*server
	for _, s := range w.servers {
		if s.service == service {
			found = append(found, s)
		}
	}
	return found
}

// putConfiguration writes the next version of the configuration, and returns the time of its acknowledgement.
func (w *world) putConfiguration() time.Time {
	w.version += 3
	type object map[string]any
	routes := []object{}
	for _, address := range []netip.AddrPort{feedRoute, lookupRoute, ingestRoute, laterRoute} {
		service, found := w.routes[address]
		if !found {
			continue
		}
		kind := map[netip.AddrPort]string{feedRoute: "safe", lookupRoute: "unsafe", ingestRoute: "upload", laterRoute: "safe"}[address]
		routes = append(routes, object{
			"name": fmt.Sprintf("r-%d", address.Port()), "host": address.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", address.Port()),
			"routeType": kind, "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 2, "service": service, "maxAttempts": 2,
		})
	}
	var services []object
	for _, name := range []string{feedService, ingestService} {
		services = append(services, object{"name": name, "healthPath": "/health", "maxConnections": 2000, "protocol": "h1", "tls": false})
	}
	limits := object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": w.idleTimeoutMs}
	at := w.store.write(change{"op/config", object{"version": w.version, "routes": routes, "services": services, "limits": limits}})
	w.record.say("the store acknowledges version %d of the configuration: %d routes, idleTimeoutMs %d", w.version, len(routes), w.idleTimeoutMs)
	return at
}

// addClients starts count clients of a route in each zone.
func (w *world) addClients(ctx context.Context, count int, route netip.AddrPort, service string, keepsFlow, repeatable bool) error {
	for z, zone := range zones {
		for range count {
			number := len(w.clients)
			ip := w.fleet.address(byte(21+z), byte(1+number))
			c, err := newClient(fmt.Sprintf("c%d", number), zone, ip, dataPort, w.router, w.record, w.judge)
			if err != nil {
				return err
			}
			c.route, c.service, c.keepsFlow, c.repeatable, c.pause = route, service, keepsFlow, repeatable, 120*time.Millisecond
			w.clients = append(w.clients, c)
			go c.run(ctx)
		}
	}
	return nil
}

// serve starts the clients of the usual traffic.
func (w *world) serve(ctx context.Context) error {
	if err := w.addClients(ctx, 5, feedRoute, feedService, true, true); err != nil {
		return err
	}
	if err := w.addClients(ctx, 2, lookupRoute, feedService, false, false); err != nil {
		return err
	}
	return w.addClients(ctx, 2, ingestRoute, ingestService, false, false)
}

func (w *world) close() {
	w.fleet.stopAll()
	for _, s := range w.servers {
		s.stop()
	}
	for _, c := range w.clients {
		_ = c.socket.Close()
	}
}
