package main

import (
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	maxMisses     = 2
)

// router hands the packets of clients to the balancers of their zone that are in.
type router struct {
	world  *world
	socket *net.UDPConn
	prober *http.Client

	mutex  sync.Mutex
	in     map[*balancer]bool
	misses map[*balancer]int
}

func newRouter(w *world) *router {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: w.ip(240, 1).AsSlice()})
	if err != nil {
		fatal(err)
	}
	return &router{world: w, socket: socket, prober: &http.Client{Timeout: probeTimeout}, in: map[*balancer]bool{}, misses: map[*balancer]int{}}
}

// run asks each balancer for its readiness twice a second.
func (r *router) run() {
	for {
		for _, b := range r.world.balancers {
			go r.probe(b)
		}
		time.Sleep(probeInterval)
	}
}

func (r *router) probe(b *balancer) {
	reply, err := r.prober.Get("http://" + b.ready().String() + "/readiness")
	good := err == nil && reply.StatusCode == http.StatusOK
	if err == nil {
		reply.Body.Close()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.in[b]
	if good {
		r.in[b], r.misses[b] = true, 0
	} else if r.misses[b]++; r.misses[b] >= maxMisses {
		r.in[b] = false
	}
	if before != r.in[b] {
		r.world.recordf("router: %s in: %v", b.name, r.in[b])
	}
}

func (r *router) isIn(b *balancer) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.in[b]
}

// target returns the balancer of a packet: by a hash of the four addresses and ports, modulo the balancers that
// are in. It returns nil if none is.
func (r *router) target(zone string, p *packet) *balancer {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all, in, elsewhere []*balancer
	for _, b := range r.world.balancers {
		if b.zone == zone {
			all = append(all, b)
		}
		switch {
		case r.in[b] && b.zone == zone:
			in = append(in, b)
		case r.in[b]:
			elsewhere = append(elsewhere, b)
		}
	}
	switch {
	case len(in) == 0:
		in = elsewhere
	case 2*len(in) < len(all):
		in = all
	}
	if len(in) == 0 {
		return nil
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(p.source.String() + " " + p.destination.String()))
	return in[int(hash.Sum32()%uint32(len(in)))]
}
