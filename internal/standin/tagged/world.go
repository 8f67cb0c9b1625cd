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

// Services of the play.
const (
	feedService   = "feeds"
	ingestService = "ingest"
)

const (
	serverPort = 8080
	// serversPerZone of the feed service; the ingest service has one.
	serversPerZone = 4
	clientsPerZone = 8
	// lookupPrefix begins the names of requests that may run once at most.
	lookupPrefix = "lookup"
	askPause     = 60 * time.Millisecond
	readyLimit   = 20 * time.Second
	// entryLife is how long the entry of a server that crashed stays.
	entryLife = 3600 * time.Millisecond
	// reuseAfter is how long an address rests before another server gets it.
	reuseAfter = 2 * time.Second
)

// Addresses of the routes with traffic.
var (
	feedRoute   = netip.MustParseAddrPort("198.18.0.1:443")
	lookupRoute = netip.MustParseAddrPort("198.18.0.1:8443")
	ingestRoute = netip.MustParseAddrPort("198.18.0.2:443")
)

// Sabotage is a way to break a rule on purpose, which shows that its check can fail.
type Sabotage string

// The ways.
const (
	NoSabotage Sabotage = ""
	// WrongBody lets servers answer something else, RunTwice run each request twice.
	WrongBody Sabotage = "wrong-body"
	RunTwice  Sabotage = "run-twice"
	// WrongService lets a server keep itself under the name of another service.
	WrongService Sabotage = "wrong-service"
	// HiddenDrain lets servers leave without a word in the store.
	HiddenDrain Sabotage = "hidden-drain"
	// HiddenEvacuation lets operators evacuate zones without a word in the store.
	HiddenEvacuation Sabotage = "hidden-evacuation"
	// WrongTag changes the tag of packets on open flows, ForgedReset resets open flows.
	WrongTag    Sabotage = "wrong-tag"
	ForgedReset Sabotage = "forged-reset"
)

// WorldConfig says what a world consists of.
type WorldConfig struct {
	// Store is where the store listens, for the balancers of all.
	Store netip.AddrPort
	// Fronts are addresses of the store for one balancer each, in the order of Balancers;
	// may be empty.
	Fronts []netip.AddrPort
	// Balancers are those that run; their data ports are alike.
	Balancers []Balancer
	ReadyPath string
	// Network is the second byte of the stand-ins' addresses, 127.Network.x.y.
	Network  byte
	Sabotage Sabotage
	// Untimed leaves out the rules that have a time bound.
	Untimed bool
}

// World is a platform over loopback that lives until its context ends. Its methods may be
// called from any goroutine.
type World struct {
	config WorldConfig
	store  *Store
	judge  *judge
	links  *links
	router *router
	fronts []*front
	zones  []string
	failed chan error
	out    io.Writer

	// mutex is taken before that of the judge.
	mutex   sync.Mutex
	servers []*server
	clients []*client
	probers []*prober
	version int
	// routes are those of the newest configuration, added those that come and go, in
	// their order, and dropped those that went.
	routes         map[netip.AddrPort]string
	added, dropped []netip.AddrPort
	created        int
	// forgotten is a route that the store lost, which no sound store does.
	forgotten netip.AddrPort
}

// NewWorld builds the platform: the store listens, servers run and are announced, and the
// first configuration is written. It tells what happens on out.
func NewWorld(ctx context.Context, config WorldConfig, out io.Writer) (*World, error) {
	if len(config.Balancers) == 0 {
		return nil, errors.New("no balancer is given")
	}
	w := &World{
		config: config, store: NewStore(), judge: newJudge(), links: newLinks(), failed: make(chan error, 1), out: out,
		routes: map[netip.AddrPort]string{feedRoute: feedService, lookupRoute: feedService, ingestRoute: ingestService},
	}
	w.judge.timed = !config.Untimed
	listener := &http.Server{Addr: config.Store.String(), Handler: w.store}
	go func() { w.failed <- listener.ListenAndServe() }()
	context.AfterFunc(ctx, func() { listener.Close() })
	for _, address := range config.Fronts {
		f, err := serveFront(ctx, address, w.store)
		if err != nil {
			return nil, err
		}
		w.fronts = append(w.fronts, f)
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
		w.judge.touch.disturb(b.Data, time.Now())
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

// deliver is the port at which clients take packets.
func (w *World) deliver() uint16 { return w.config.Balancers[0].Data.Port() }

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
		c, err := newClient(name, zone, ip, w.deliver(), w.router, w.judge)
		if err != nil {
			return err
		}
		c.service, c.wants, c.keeps, c.repeatable = feedRoute, feedService, true, true
		if i%2 == 1 {
			c.service, c.keeps, c.repeatable = lookupRoute, false, false
		}
		if i == clientsPerZone-1 {
			c.service, c.wants = ingestRoute, ingestService
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
	w.created++
	id := uint64(w.created)<<32 | uint64(0xa0+w.created)<<8 | uint64(w.config.Network)
	w.mutex.Unlock()
	return w.startServerAs(id, service, zone, address)
}

// startServerAs starts a server under an identifier, which one before may have had.
func (w *World) startServerAs(id uint64, service, zone string, address netip.AddrPort) (*server, error) {
	s, err := newServer(id, service, zone, address, w.deliver(), w)
	if err != nil {
		return nil, err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.servers = append(w.servers, s)
	return s, nil
}

// publish writes the configuration as it is now. The mutex is held, or nobody else knows
// the world yet.
func (w *World) publish() {
	w.putConfiguration()
	w.judge.configured(w.version, w.routes)
}

// putConfiguration writes the routes under a new version.
func (w *World) putConfiguration() {
	w.version += 3
	type object map[string]any
	var routes []object
	for _, address := range slices.SortedFunc(maps.Keys(w.routes), netip.AddrPort.Compare) {
		if address == w.forgotten {
			continue
		}
		routes = append(routes, object{
			"name": "r-" + address.String(), "host": address.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", address.Port()),
			"routeType": "safe", "timeoutMs": 1500, "service": w.routes[address],
		})
	}
	w.store.Put("op/config", object{"version": w.version, "routes": routes, "limits": object{"idleTimeoutMs": 15000}})
}

// AwaitReady waits until all balancers are ready.
func (w *World) AwaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyLimit)
	for w.router.ready() < len(w.config.Balancers) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d balancers are ready", w.router.ready(), len(w.config.Balancers))
		}
		select {
		case err := <-w.failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		sleep(ctx, 50*time.Millisecond)
	}
	w.say("%d balancers are ready", len(w.config.Balancers))
	return nil
}

// Serve lets clients ask until ctx ends.
func (w *World) Serve(ctx context.Context) {
	var group sync.WaitGroup
	for _, c := range w.clients {
		group.Go(func() { c.run(ctx, askPause) })
	}
	for _, p := range w.probers {
		group.Go(func() { p.run(ctx) })
	}
	group.Wait()
}

// Report returns what was seen so far.
func (w *World) Report() Report {
	return w.judge.report(w.store.Calls())
}

func (w *World) say(format string, arguments ...any) {
	fmt.Fprintf(w.out, "%6.2f s  %s\n", w.Now().Seconds(), fmt.Sprintf(format, arguments...))
}

// Now is how long the world has lived.
func (w *World) Now() time.Duration { return time.Since(w.judge.started) }
