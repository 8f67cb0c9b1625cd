package main

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router hands the packets of clients to the balancers, as PROTOCOL.md says with hash = mod.
type router struct {
	client *http.Client
	socket *net.UDPConn

	mutex   sync.Mutex
	members []*member
	// onReturn is called before a balancer that was out is taken in again. It may be nil.
	onReturn func(m *member)
}

type member struct {
	zone        string
	data, ready netip.AddrPort
	in          bool
	misses      int
}

func newRouter() (*router, error) {
	socket, err := net.ListenUDP("udp4", nil)
	if err != nil {
		return nil, err
	}
	return &router{client: &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}, socket: socket}, nil
}

// run asks each balancer for its readiness twice a second until ctx ends.
func (r *router) run(ctx context.Context) {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		for _, m := range r.members {
			go r.probe(m)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *router) probe(m *member) {
	reply, err := r.client.Get("http://" + m.ready.String() + "/readiness")
	ready := err == nil && reply.StatusCode == http.StatusOK
	if err == nil {
		_ = reply.Body.Close()
	}
	r.mutex.Lock()
	onReturn, returns := r.onReturn, ready && !m.in
	r.mutex.Unlock()
	if returns && onReturn != nil {
		onReturn(m)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if ready {
		m.in, m.misses = true, 0
		return
	}
	m.misses++
	m.in = m.in && m.misses < 2
}

// countIn returns how many balancers are in.
func (r *router) countIn() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, m := range r.members {
		if m.in {
			count++
		}
	}
	return count
}

// send sends a packet to a balancer and returns its data address, invalid if there is none.
func (r *router) send(zone string, p *packet) netip.AddrPort {
	members := r.eligible(zone)
	if len(members) == 0 {
		return netip.AddrPort{}
	}
	target := pick(members, p.source, p.destination)
	// The balancer may be down.
	_, _ = r.socket.WriteToUDPAddrPort(p.encode(), target.data)
	return target.data
}

// pick returns the balancer for a flow by its hash modulo the number of balancers.
func pick(members []*member, source, destination netip.AddrPort) *member {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(flowName(source, destination)))
	return members[hash.Sum64()%uint64(len(members))]
}

// eligible returns the balancers of the zone that are in, all of the zone if fewer than half are, and those of
// other zones if none is.
func (r *router) eligible(zone string) []*member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all, in, elsewhere []*member
	for _, m := range r.members {
		if m.zone != zone {
			if m.in {
				elsewhere = append(elsewhere, m)
			}
			continue
		}
		all = append(all, m)
		if m.in {
			in = append(in, m)
		}
	}
	switch {
	case len(in) == 0:
		return elsewhere
	case 2*len(in) < len(all):
		return all
	}
	return in
}
