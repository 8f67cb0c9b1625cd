package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// Ports, alike on all machines.
const (
	dataPort    = 8172
	readyPort   = 8167
	controlPort = 8166
	peerPort    = 7720
	serverPort  = 8080
	storePort   = 8169
)

// world is a small deployment on loopback.
type world struct {
	network   byte
	folder    string
	begun     time.Time
	trouble   bool
	store     *store
	router    *router
	balancers []*balancer
	servers   []*server
	clients   []*client
	bounds    map[string]any

	recordMutex sync.Mutex
	record      *os.File
	violations  int

	mutex    sync.Mutex
	arrivals []arrival
	runs     map[string]int
	requests map[string]bool
	resets   map[endpoints]*server
}

func (w *world) ip(third, fourth byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network, third, fourth})
}

// recordf adds a line to the record.
func (w *world) recordf(format string, arguments ...any) {
	w.recordMutex.Lock()
	defer w.recordMutex.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

// violation records that a rule was broken.
func (w *world) violation(format string, arguments ...any) {
	w.mutex.Lock()
	w.violations++
	w.mutex.Unlock()
	w.recordf("BROKEN "+format, arguments...)
}

// await waits for a condition, and ends the case if it does not come about.
func (w *world) await(what string, condition func() bool) {
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			fatal(fmt.Errorf("%s: not within 20 s", what))
		}
	}
}

// bound returns a bound of the settings in milliseconds.
func (w *world) bound(name string) time.Duration {
	return time.Duration(w.bounds[name].(int)) * time.Millisecond
}

func (w *world) addBalancer(zone string) *balancer {
	number := len(w.balancers) + 1
	b := &balancer{world: w, name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, ip: w.ip(1, byte(number)), first: true}
	w.balancers = append(w.balancers, b)
	w.store.listen(b.store())
	return b
}

// addServer starts and announces a server.
func (w *world) addServer(id uint64, service, zone string) *server {
	s := &server{world: w, id: id, service: service, zone: zone, born: time.Now().UnixMilli(), flows: map[endpoints]*serverFlow{}}
	s.address = netip.AddrPortFrom(w.ip(100, byte(len(w.servers)+1)), serverPort)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.address))
	if err != nil {
		fatal(err)
	}
	s.socket = socket
	w.servers = append(w.servers, s)
	go s.serve()
	s.announce("ready")
	return s
}

func (w *world) addClient(zone string) *client {
	c := &client{world: w, zone: zone, ip: w.ip(200, byte(len(w.clients)+1)), inboxes: map[endpoints]chan received{}}
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: c.ip.AsSlice(), Port: dataPort})
	if err != nil {
		fatal(err)
	}
	c.socket = socket
	w.clients = append(w.clients, c)
	go c.receive()
	return c
}

// route hands a client's packet to a balancer.
func (w *world) route(zone string, p *packet) {
	if b := w.router.target(zone, p); b != nil {
		// Errors are ignored: the balancer may be down.
		_, _ = w.router.socket.WriteToUDPAddrPort(p.encode(), b.data())
	}
}

func (w *world) serverByName(name string) *server {
	for _, s := range w.servers {
		if s.name() == name {
			return s
		}
	}
	return nil
}

// nameOf names the machine with an address.
func (w *world) nameOf(address netip.AddrPort) string {
	for _, s := range w.servers {
		if s.address == address {
			return "server " + s.name()
		}
	}
	if b := w.balancerAt(address); b != nil {
		return b.name
	}
	return address.String()
}

func (w *world) balancerAt(data netip.AddrPort) *balancer {
	for _, b := range w.balancers {
		if b.data() == data {
			return b
		}
	}
	return nil
}

func (w *world) arrived(a arrival) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.arrivals = append(w.arrivals, a)
}

func (w *world) sent(id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.requests[id] = true
}

func (w *world) ran(s *server, id string) {
	w.mutex.Lock()
	known := w.requests[id]
	w.runs[id]++
	w.mutex.Unlock()
	if !known {
		w.violation("UNASKED: server %s ran request %q, which no client sent", s.name(), id)
	}
}

func (w *world) resetBy(s *server, flow endpoints) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.resets[flow] = s
}

// routeOf describes a route of the operator's configuration.
type routeOf struct {
	address netip.AddrPort
	service string
	kind    string
}

// configure writes a version of the configuration.
func (w *world) configure(version int, routes ...routeOf) {
	var list []map[string]any
	services := []map[string]any{}
	seen := map[string]bool{}
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": r.address.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", r.address.Port()),
			"routeType": r.kind, "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 1, "service": r.service, "maxAttempts": 2,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{"name": r.service, "healthPath": "/health", "maxConnections": 2000, "protocol": "h1", "tls": false})
		}
	}
	w.store.put("op/config", map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeout.Milliseconds()},
	})
}

// idleTimeout is the limit idleTimeoutMs of the configuration.
const idleTimeout = 15 * time.Second

// startAll starts the balancers, and waits until all are in and have been in touch for the contact bound.
func (w *world) startAll() {
	for _, b := range w.balancers {
		b.start()
	}
	go w.router.run()
	for _, b := range w.balancers {
		w.await(b.name+" is in", func() bool { return w.router.isIn(b) })
	}
	time.Sleep(w.bound("contactMs") + time.Second)
}

// stopAll ends all processes.
func (w *world) stopAll() {
	for _, b := range w.balancers {
		if b.command != nil {
			_ = b.command.Process.Kill()
			<-b.ended
		}
	}
}
