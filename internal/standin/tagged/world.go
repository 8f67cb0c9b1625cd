package tagged

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Services of the platform.
const (
	feedService   = "feeds"
	ingestService = "ingest"
)

const (
	serverPort = 8080
	// serversPerZone is the number of servers of the feed service; the ingest service has one.
	serversPerZone = 4
	clientsPerZone = 8
	// lookupPrefix begins the names of requests that may run at most once.
	lookupPrefix    = "lookup"
	requestInterval = 60 * time.Millisecond
	readyTimeout    = 20 * time.Second
	// entryLifetime is how long the entry of a crashed server stays.
	entryLifetime = 3600 * time.Millisecond
	// addressReuseDelay is the time before another server may get an address.
	addressReuseDelay = 2 * time.Second
)

// Addresses of the routes with traffic.
var (
	feedRoute   = netip.MustParseAddrPort("198.18.0.1:443")
	lookupRoute = netip.MustParseAddrPort("198.18.0.1:8443")
	ingestRoute = netip.MustParseAddrPort("198.18.0.2:443")
)

// Sabotage is a deliberate violation of a rule, which shows that its check can fail.
type Sabotage string

// The kinds of sabotage.
const (
	NoSabotage Sabotage = ""
	// WrongBody makes servers send wrong answers, RunTwice makes them run each request twice.
	WrongBody Sabotage = "wrong-body"
	RunTwice  Sabotage = "run-twice"
	// WrongService makes a server register under the name of another service.
	WrongService Sabotage = "wrong-service"
	// HiddenDrain makes servers leave without a change in the store.
	HiddenDrain Sabotage = "hidden-drain"
	// HiddenEvacuation makes operators evacuate zones without a change in the store.
	HiddenEvacuation Sabotage = "hidden-evacuation"
	// WrongTag changes the tag of packets on open flows, ForgedReset resets open flows.
	WrongTag    Sabotage = "wrong-tag"
	ForgedReset Sabotage = "forged-reset"
)

// WorldConfig configures a World.
type WorldConfig struct {
	// Store is the address of the store for all balancers.
	Store netip.AddrPort
	// StoreEndpoints are addresses of the store for one balancer each, in the order of
	// Balancers. It may be empty; InjectStoreFault needs it.
	StoreEndpoints []netip.AddrPort
	// Balancers are the running balancers, at least one, all with the same data port.
	Balancers []Balancer
	ReadyPath string
	// Network is the second byte of the stand-ins' addresses, 127.Network.x.y.
	Network  byte
	Sabotage Sabotage
	// WithoutTimeBounds disables the rules with a time bound.
	WithoutTimeBounds bool
}

// World is the simulated platform, which runs until its context ends. Its methods may be
// called from any goroutine.
type World struct {
	config      WorldConfig
	store       *Store
	checker     *checker
	links       *links
	router      *router
	endpoints   []*storeEndpoint
	zones       []string
	serveErrors chan error
	out         io.Writer

	// mutex is locked before that of the checker.
	mutex   sync.Mutex
	servers []*server
	clients []*client
	probers []*prober
	version int
	// routes are those of the newest configuration. added are those of them that AddRoutes
	// added, dropped those that DropRoute removed, both oldest first.
	routes         map[netip.AddrPort]string
	added, dropped []netip.AddrPort
	serversStarted int
	// lostRoute is a route left out of the stored configuration, unknown to the checker.
	lostRoute netip.AddrPort
}

// NewWorld starts the store, writes the first configuration, and starts and announces the
// servers. It writes progress to out.
func NewWorld(ctx context.Context, config WorldConfig, out io.Writer) (*World, error) {
	if len(config.Balancers) == 0 {
		return nil, errors.New("no balancers configured")
	}
	w := &World{
		config: config, store: NewStore(), checker: newChecker(), links: newLinks(), serveErrors: make(chan error, 1), out: out,
		routes: map[netip.AddrPort]string{feedRoute: feedService, lookupRoute: feedService, ingestRoute: ingestService},
	}
	w.checker.checkTimeBounds = !config.WithoutTimeBounds
	listener := &http.Server{Addr: config.Store.String(), Handler: w.store}
	go func() { w.serveErrors <- listener.ListenAndServe() }()
	context.AfterFunc(ctx, func() { listener.Close() })
	for _, address := range config.StoreEndpoints {
		endpoint, err := serveEndpoint(ctx, address, w.store)
		if err != nil {
			return nil, err
		}
		w.endpoints = append(w.endpoints, endpoint)
	}
	if err := w.build(ctx); err != nil {
		return nil, err
	}
	go w.router.run(ctx)
	return w, nil
}

// build starts servers and clients in each zone and writes the first configuration.
func (w *World) build(ctx context.Context) error {
	w.publish()
	router, err := newRouter(w.config.Balancers, w.config.ReadyPath, w.links)
	if err != nil {
		return err
	}
	w.router = router
	router.sabotage = w.config.Sabotage
	for _, b := range w.config.Balancers {
		w.checker.disturbances.markBalancer(b.Data, time.Now())
		if slices.Contains(w.zones, b.Zone) {
			continue
		}
		w.zones = append(w.zones, b.Zone)
		if err := w.buildZone(b.Zone, byte(len(w.zones))); err != nil {
			return err
		}
	}
	context.AfterFunc(ctx, w.close)
	return nil
}

func (w *World) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, s := range w.servers {
		s.socket.Close()
	}
	for _, c := range w.clients {
		c.socket.Close()
	}
	for _, p := range w.probers {
		p.client.socket.Close()
	}
	w.router.socket.Close()
}

// clientPort returns the port at which clients receive packets.
func (w *World) clientPort() uint16 { return w.config.Balancers[0].Data.Port() }

func (w *World) buildZone(zone string, number byte) error {
	for i := range serversPerZone + 1 {
		service := feedService
		if i == serversPerZone {
			service = ingestService
		}
		ip := netip.AddrFrom4([4]byte{127, w.config.Network, 100 + number, byte(1 + i)})
		if _, err := w.startServer(service, zone, netip.AddrPortFrom(ip, serverPort)); err != nil {
			return err
		}
	}
	for i := range clientsPerZone {
		ip := netip.AddrFrom4([4]byte{127, w.config.Network, 200 + number, byte(1 + i)})
		name := fmt.Sprintf("feed-%s-%d", zone, i)
		if i%2 == 1 {
			name = fmt.Sprintf("%s-%s-%d", lookupPrefix, zone, i)
		}
		c, err := newClient(name, zone, ip, w.clientPort(), w.router, w.checker)
		if err != nil {
			return err
		}
		c.service, c.wantService, c.reusesFlow, c.repeatable = feedRoute, feedService, true, true
		if i%2 == 1 {
			c.service, c.reusesFlow, c.repeatable = lookupRoute, false, false
		}
		if i == clientsPerZone-1 {
			c.service, c.wantService = ingestRoute, ingestService
		}
		w.clients = append(w.clients, c)
	}
	p, err := newProber(w, zone, netip.AddrFrom4([4]byte{127, w.config.Network, 200 + number, 100}))
	w.probers = append(w.probers, p)
	return err
}

// startServer starts a server under a new identifier.
func (w *World) startServer(service, zone string, address netip.AddrPort) (*server, error) {
	w.mutex.Lock()
	w.serversStarted++
	id := uint64(w.serversStarted)<<32 | uint64(0xa0+w.serversStarted)<<8 | uint64(w.config.Network)
	w.mutex.Unlock()
	return w.startServerAs(id, service, zone, address)
}

// startServerAs starts a server under an identifier, which an earlier server may have had.
func (w *World) startServerAs(id uint64, service, zone string, address netip.AddrPort) (*server, error) {
	s, err := newServer(id, service, zone, address, w.clientPort(), w)
	if err != nil {
		return nil, err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.servers = append(w.servers, s)
	return s, nil
}

// publish writes the configuration and records it in the checker. The mutex is held, or no
// other goroutine has the world yet.
func (w *World) publish() {
	w.putConfiguration()
	w.checker.recordConfiguration(w.version, w.routes)
}

// putConfiguration writes the routes under a new version. The same locking rule holds as for
// publish.
func (w *World) putConfiguration() {
	w.version += 3
	type object map[string]any
	var routes []object
	for _, address := range slices.SortedFunc(maps.Keys(w.routes), netip.AddrPort.Compare) {
		if address == w.lostRoute {
			continue
		}
		routes = append(routes, object{
			"name": "r-" + address.String(), "host": address.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", address.Port()),
			"routeType": "safe", "timeoutMs": 1500, "service": w.routes[address],
		})
	}
	w.store.Put("op/config", object{"version": w.version, "routes": routes, "limits": object{"idleTimeoutMs": 15000}})
}

// AwaitReady waits until all balancers are ready. It fails after readyTimeout or when a
// listener fails.
func (w *World) AwaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for w.router.readyCount() < len(w.config.Balancers) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d balancers are ready", w.router.readyCount(), len(w.config.Balancers))
		}
		select {
		case err := <-w.serveErrors:
			return err
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		sleep(ctx, 50*time.Millisecond)
	}
	w.logf("%d balancers are ready", len(w.config.Balancers))
	return nil
}

// Serve runs clients and probers until ctx ends.
func (w *World) Serve(ctx context.Context) {
	var group sync.WaitGroup
	for _, c := range w.clients {
		group.Go(func() { c.run(ctx, requestInterval) })
	}
	for _, p := range w.probers {
		group.Go(func() { p.run(ctx) })
	}
	group.Wait()
}

// Report returns the report of the run so far.
func (w *World) Report() Report {
	return w.checker.report(w.store.Calls())
}

func (w *World) logf(format string, arguments ...any) {
	fmt.Fprintf(w.out, "%6.2f s  %s\n", w.Elapsed().Seconds(), fmt.Sprintf(format, arguments...))
}

// Elapsed returns the time since the start of the world.
func (w *World) Elapsed() time.Duration { return time.Since(w.checker.started) }
