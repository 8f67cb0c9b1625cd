package main

import (
	"net/netip"
	"sync"
	"time"
)

// judge collects what the rules are checked against.
type judge struct {
	world *world

	mutex sync.Mutex
	// requests are all tries of requests.
	requests []try
	// openings are the first opening packets that servers took.
	openings []opening
	// resets are those that clients accepted from the system on open flows that a live server held.
	resets []systemReset
	// wrongResets are those of servers that do not hold the flow while another live server does.
	wrongResets []wrongReset
}

type wrongReset struct {
	flow         string
	sender, live *server
	through      netip.AddrPort
}

// serverReset takes a reset that a server sent for a flow that it does not hold.
func (j *judge) serverReset(s *server, flow string, from netip.AddrPort) {
	go func() {
		for _, other := range j.world.servers {
			if other != s && other.holdsOpen(flow) {
				j.mutex.Lock()
				j.wrongResets = append(j.wrongResets, wrongReset{flow, s, other, from})
				j.mutex.Unlock()
			}
		}
	}()
}

type try struct {
	route   netip.AddrPort
	sent    time.Time
	outcome string
}

type opening struct {
	server  *server
	route   netip.AddrPort
	arrived time.Time
	through netip.AddrPort
	// attempt numbers the copies of the opening packet, from 0. Copies were sent first well before they arrived.
	attempt uint32
}

// maxTransit is the time that a first opening packet may take from its client to the server on loopback.
const maxTransit = 20 * time.Millisecond

// isLate reports whether an opening packet was sent and taken later than a time, through another balancer than the
// excluded one.
func (o *opening) isLate(after time.Time, excluded netip.AddrPort) bool {
	return o.attempt == 0 && o.arrived.After(after.Add(maxTransit)) && o.through != excluded
}

type systemReset struct {
	server  *server
	flow    string
	through netip.AddrPort
	at      time.Time
}

// ended takes the outcome of a try.
func (j *judge) ended(route netip.AddrPort, sent time.Time, outcome string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.requests = append(j.requests, try{route, sent, outcome})
}

// opened takes an opening packet that a server took.
func (j *judge) opened(s *server, p *packet, from netip.AddrPort) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.openings = append(j.openings, opening{s, p.destination, time.Now(), from, p.ack})
}

// systemReset takes a reset that a client accepted from the system on an open flow.
func (j *judge) systemReset(flow string, through netip.AddrPort) {
	for _, s := range j.world.servers {
		if s.holdsOpen(flow) {
			j.world.record.add("server %s lives and holds the flow %s that the system has reset", s.name(), flow)
			j.mutex.Lock()
			j.resets = append(j.resets, systemReset{s, flow, through, time.Now()})
			j.mutex.Unlock()
		}
	}
}

// countRequests returns how many tries were sent within a span and how many of them were answered. An invalid
// route stands for all.
func (j *judge) countRequests(route netip.AddrPort, from, until time.Time) (sent, answered int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, t := range j.requests {
		if route.IsValid() && t.route != route || t.sent.Before(from) || t.sent.After(until) {
			continue
		}
		sent++
		if t.outcome == "answered" {
			answered++
		}
	}
	return sent, answered
}

// openingsAfter returns how many opening packets reached one of the servers later than a time, through other
// balancers than the excluded one, and when the last one did.
func (j *judge) openingsAfter(servers []*server, after time.Time, excluded netip.AddrPort) (count int, last time.Time) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, o := range j.openings {
		for _, s := range servers {
			if o.server == s && o.isLate(after, excluded) {
				count++
				last = o.arrived
			}
		}
	}
	return count, last
}

// requestsRun returns how many flows of a route servers took later than a time, through other balancers than the
// excluded one, and when they took the last one.
func (j *judge) requestsRun(route netip.AddrPort, after time.Time, excluded netip.AddrPort) (count int, last time.Time) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, o := range j.openings {
		if o.route == route && o.isLate(after, excluded) {
			count++
			last = o.arrived
		}
	}
	return count, last
}
