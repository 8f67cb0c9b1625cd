package tagged

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	routeProbeInterval = 150 * time.Millisecond
	routeProbeTimeout  = 500 * time.Millisecond
	// probedRoutes is the number of newest added routes, and of newest dropped routes, that
	// are probed.
	probedRoutes = 6
)

// prober opens flows to recently added or dropped routes and resets them.
type prober struct {
	world  *World
	client *client
}

func newProber(w *World, zone string, ip netip.Addr) (*prober, error) {
	c, err := newClient("probe-"+zone, zone, ip, w.clientPort(), w.router, w.checker)
	return &prober{w, c}, err
}

func (p *prober) run(ctx context.Context) {
	for ctx.Err() == nil {
		if route, found := p.world.pickProbeRoute(); found {
			p.probe(route)
		}
		sleep(ctx, routeProbeInterval)
	}
}

// pickProbeRoute returns a random route to probe, or false if there is none.
func (w *World) pickProbeRoute() (netip.AddrPort, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var routes []netip.AddrPort
	for _, list := range [][]netip.AddrPort{w.added, w.dropped} {
		routes = append(routes, list[max(0, len(list)-probedRoutes):]...)
	}
	if w.lostRoute.IsValid() {
		routes = append(routes, w.lostRoute)
	}
	if len(routes) == 0 {
		return netip.AddrPort{}, false
	}
	return routes[rand.IntN(len(routes))], true
}

// probe opens one flow to the route. Flows that must not arrive are checked at the servers.
func (p *prober) probe(route netip.AddrPort) {
	c := p.client
	c.port++
	f := &flow{source: netip.AddrPortFrom(c.ip, c.port), sequence: rand.Uint32()}
	sentAt := time.Now()
	balancer := c.router.send(c.zone, &packet{source: f.source, destination: route, flags: flagSYN, sequence: f.sequence})
	reply, ok := c.await(f, routeProbeTimeout)
	if !ok {
		return
	}
	opened := reply.flags&flagRST == 0
	p.world.checker.checkProbe(route, balancer, sentAt, opened)
	if opened {
		f.tag, f.ack = reply.tag, reply.sequence+1
		c.router.send(c.zone, f.packet(route, flagRST, nil))
	}
}
