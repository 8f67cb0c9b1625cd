package tagged

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
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
	askPause       = 60 * time.Millisecond
	readyLimit     = 20 * time.Second
)

// Addresses of the routes.
var (
	feedRoute   = netip.MustParseAddrPort("198.18.0.1:443")
	lookupRoute = netip.MustParseAddrPort("198.18.0.1:8443")
	ingestRoute = netip.MustParseAddrPort("198.18.0.2:443")
)

// Config says what to play.
type Config struct {
	// Store is where the store listens.
	Store netip.AddrPort
	// Balancers are those that run; their data ports are alike.
	Balancers []Balancer
	ReadyPath string
	// Network is the second byte of the stand-ins' addresses, 127.Network.x.y.
	Network  byte
	Duration time.Duration
	// DrainAt and the others are when things happen; 0 is never.
	DrainAt, EditAt, CompactAt, SilentAt, SilentFor time.Duration
}

// Play plays the platform and returns what it saw. It tells progress on out.
func Play(ctx context.Context, config Config, out io.Writer) (Report, error) {
	p := &play{config: config, store: NewStore(), judge: newJudge(), out: out, started: time.Now()}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener := &http.Server{Addr: config.Store.String(), Handler: p.store}
	failed := make(chan error, 1)
	go func() { failed <- listener.ListenAndServe() }()
	defer listener.Close()
	if err := p.build(); err != nil {
		return Report{}, err
	}
	go p.router.run(ctx)
	if err := p.awaitReady(ctx, failed); err != nil {
		return Report{}, err
	}
	p.schedule()
	playing, stop := context.WithTimeout(ctx, config.Duration)
	defer stop()
	done := make(chan struct{})
	for _, c := range p.clients {
		go func() {
			c.run(playing, askPause)
			done <- struct{}{}
		}()
	}
	for range p.clients {
		<-done
	}
	return p.judge.report(p.store.Calls()), nil
}

type play struct {
	config  Config
	store   *Store
	judge   *judge
	router  *router
	servers []*server
	clients []*client
	out     io.Writer
	started time.Time
	version int
}

func (p *play) say(format string, arguments ...any) {
	fmt.Fprintf(p.out, "%6.2f s  %s\n", time.Since(p.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// build starts servers and clients in each zone and writes the first configuration.
func (p *play) build() error {
	if len(p.config.Balancers) == 0 {
		return errors.New("no balancer is given")
	}
	p.publish(0)
	router, err := newRouter(p.config.Balancers, p.config.ReadyPath)
	if err != nil {
		return err
	}
	p.router = router
	deliver := p.config.Balancers[0].Data.Port()
	zones := map[string]bool{}
	for _, b := range p.config.Balancers {
		if zones[b.Zone] {
			continue
		}
		zones[b.Zone] = true
		if err := p.buildZone(b.Zone, byte(len(zones)), deliver); err != nil {
			return err
		}
	}
	return nil
}

func (p *play) buildZone(zone string, number byte, deliver uint16) error {
	for i := range serversPerZone + 1 {
		service := feedService
		if i == serversPerZone {
			service = ingestService
		}
		ip := netip.AddrFrom4([4]byte{127, p.config.Network, 100 + number, byte(1 + i)})
		id := uint64(number)<<32 | uint64(0xa0+i)<<8 | uint64(p.config.Network)
		s, err := newServer(id, service, zone, netip.AddrPortFrom(ip, serverPort), deliver, p.store, p.judge)
		if err != nil {
			return err
		}
		p.servers = append(p.servers, s)
	}
	for i := range clientsPerZone {
		ip := netip.AddrFrom4([4]byte{127, p.config.Network, 200 + number, byte(1 + i)})
		name := fmt.Sprintf("feed-%s-%d", zone, i)
		if i%2 == 1 {
			name = fmt.Sprintf("lookup-%s-%d", zone, i)
		}
		c, err := newClient(name, zone, ip, deliver, p.router, p.judge)
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
		p.clients = append(p.clients, c)
	}
	return nil
}

// publish writes a configuration with some routes that see no traffic.
func (p *play) publish(idle int) {
	p.version += 3
	type object map[string]any
	route := func(name string, address netip.AddrPort, service string) object {
		return object{"name": name, "host": address.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", address.Port()),
			"routeType": "safe", "timeoutMs": 1500, "service": service}
	}
	routes := []object{
		route("feed", feedRoute, feedService), route("lookup", lookupRoute, feedService), route("ingest", ingestRoute, ingestService),
	}
	for i := range idle {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(1 + i)}), 80)
		routes = append(routes, route(fmt.Sprintf("idle-%d", i), address, feedService))
	}
	p.store.Put("op/config", object{"version": p.version, "routes": routes, "limits": object{"idleTimeoutMs": 15000}})
}

func (p *play) awaitReady(ctx context.Context, failed <-chan error) error {
	deadline := time.Now().Add(readyLimit)
	for p.router.ready() < len(p.config.Balancers) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d balancers are ready", p.router.ready(), len(p.config.Balancers))
		}
		select {
		case err := <-failed:
			return err
		default:
		}
		sleep(ctx, 50*time.Millisecond)
	}
	p.say("%d balancers are ready", len(p.config.Balancers))
	return nil
}

// schedule lets things happen at their times.
func (p *play) schedule() {
	after := func(at time.Duration, do func()) {
		if at > 0 {
			time.AfterFunc(at, do)
		}
	}
	after(p.config.EditAt, func() {
		p.publish(100)
		p.say("the operators write a configuration with 100 routes more")
	})
	after(p.config.DrainAt, func() {
		p.servers[0].drain()
		p.servers[serversPerZone+1].leave()
		p.say("server %x drains, the entry of server %x goes", p.servers[0].id, p.servers[serversPerZone+1].id)
	})
	after(p.config.CompactAt, func() {
		p.store.Compact()
		p.say("the store loses its history")
	})
	after(p.config.SilentAt, func() {
		p.store.SetSilent(true)
		p.say("the store falls silent")
	})
	if p.config.SilentAt > 0 {
		after(p.config.SilentAt+p.config.SilentFor, func() {
			p.store.SetSilent(false)
			p.say("the store answers again")
		})
	}
}
