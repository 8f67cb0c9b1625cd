package tagged

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	probeInterval    = 500 * time.Millisecond
	probeTimeout     = 400 * time.Millisecond
	maxProbeFailures = 2
)

// Balancer is the zone and the addresses of a balancer.
type Balancer struct {
	Zone        string
	Data, Ready netip.AddrPort
}

// router sends packets of clients to the balancers of their zone that are in service.
type router struct {
	readyPath string
	client    *http.Client
	socket    *net.UDPConn
	links     *links
	// sabotage is a fault that the router injects into packets.
	sabotage Sabotage

	mutex sync.Mutex
	// lastTags are the last two different tags, for sabotage.
	lastTags [2]uint32
	members  []*member
	// lingering are the stopping balancers that still get the packets of their open flows;
	// lastTargets are the balancers that got the last packet of each flow.
	lingering   map[netip.AddrPort]bool
	lastTargets map[netip.AddrPort]*member
}

type member struct {
	Balancer
	inService     bool
	probeFailures int
}

func newRouter(balancers []Balancer, readyPath string, links *links) (*router, error) {
	socket, err := net.ListenUDP("udp4", nil)
	if err != nil {
		return nil, err
	}
	r := &router{readyPath: readyPath, client: &http.Client{Timeout: probeTimeout}, socket: socket, links: links, lingering: map[netip.AddrPort]bool{}, lastTargets: map[netip.AddrPort]*member{}}
	for _, b := range balancers {
		r.members = append(r.members, &member{Balancer: b})
	}
	return r, nil
}

// run probes readiness until ctx ends.
func (r *router) run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
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
	fault := r.links.get(m.Data)
	if fault.Inward || fault.Outward {
		r.recordProbe(m, false)
		return
	}
	reply, err := r.client.Get("http://" + m.Ready.String() + r.readyPath)
	ready := err == nil && reply.StatusCode == http.StatusOK
	if err == nil {
		reply.Body.Close()
	}
	r.recordProbe(m, ready)
}

func (r *router) recordProbe(m *member, ready bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if ready {
		m.inService, m.probeFailures = true, 0
		return
	}
	m.probeFailures++
	m.inService = m.inService && m.probeFailures < maxProbeFailures
}

// readyCount returns the number of balancers in service.
func (r *router) readyCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, m := range r.members {
		if m.inService {
			count++
		}
	}
	return count
}

// send sends a client's packet to a balancer and returns its data address.
func (r *router) send(zone string, p *packet) netip.AddrPort {
	r.mutex.Lock()
	members := r.eligible(zone)
	r.mutex.Unlock()
	if len(members) == 0 {
		return netip.AddrPort{}
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(p.source.String() + p.destination.String()))
	target := r.stickyTarget(p, members[int(hash.Sum32())%len(members)])
	if r.sabotage == WrongTag {
		p = r.replaceTag(p)
	}
	r.sendDatagram(target.Data, p.encode())
	return target.Data
}

// stickyTarget returns the lingering balancer of the packet's flow if there is one, else target.
func (r *router) stickyTarget(p *packet, target *member) *member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if last := r.lastTargets[p.source]; last != nil && p.flags&flagSYN == 0 && r.lingering[last.Data] {
		target = last
	}
	r.lastTargets[p.source] = target
	if p.flags&flagFIN != 0 {
		delete(r.lastTargets, p.source)
	}
	return target
}

// setLingering sets whether the open flows of a balancer stay with it when it is not ready.
func (r *router) setLingering(balancer netip.AddrPort, lingers bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lingering[balancer] = lingers
}

// replaceTag gives a packet with data the tag of another flow.
func (r *router) replaceTag(p *packet) *packet {
	if len(p.data) == 0 {
		return p
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if p.tag != r.lastTags[0] {
		r.lastTags = [2]uint32{p.tag, r.lastTags[0]}
	}
	changed := *p
	changed.tag = r.lastTags[1]
	return &changed
}

// sendDatagram sends a datagram to a balancer, subject to the faults of its link.
func (r *router) sendDatagram(balancer netip.AddrPort, datagram []byte) {
	fault := r.links.get(balancer)
	if fault.dropsInward() {
		return
	}
	// Write errors are ignored: the balancer may be down.
	if fault.Delay == 0 {
		_, _ = r.socket.WriteToUDPAddrPort(datagram, balancer)
		return
	}
	time.AfterFunc(fault.Delay, func() { _, _ = r.socket.WriteToUDPAddrPort(datagram, balancer) })
}

// eligible returns the zone's balancers that are in service, or all of the zone when fewer
// than half are, or those of other zones when none is.
func (r *router) eligible(zone string) []*member {
	var all, inService, elsewhere []*member
	for _, m := range r.members {
		switch {
		case m.Zone == zone && m.inService:
			inService = append(inService, m)
			all = append(all, m)
		case m.Zone == zone:
			all = append(all, m)
		case m.inService:
			elsewhere = append(elsewhere, m)
		}
	}
	switch {
	case len(inService) == 0 && len(elsewhere) > 0:
		return elsewhere
	case 2*len(inService) < len(all):
		return all
	}
	return inService
}
