package emulator

import (
	"math"
	"net/netip"
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/steering"
)

const (
	// Copies of an opening packet come after these times; after openLimit the
	// attempt has failed.
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	openLimit  = 1400 * time.Millisecond
	// firstRepeat and lastRepeat bound the pause before missing packets are sent again.
	firstRepeat = 200 * time.Millisecond
	lastRepeat  = 1600 * time.Millisecond
	// leastPause and mostPause bound the time between two requests of a stream.
	leastPause = 400 * time.Millisecond
	mostPause  = 1200 * time.Millisecond
	// variedMost bounds how much more or less often than usual a stream asks.
	variedMost = 4
	// maxTries is how many flows a request may use.
	maxTries = 3
)

// requestKind is what a request needs.
type requestKind uint8

const (
	// stream requests share a long flow and may run twice.
	stream requestKind = iota
	// lookup requests have a flow each and may run once at most.
	lookup
	// upload requests have a flow each, many packets, and may run once at most.
	upload
)

// profile is what callers want of one kind of request.
type profile struct {
	work, aim, deadline time.Duration
	parts               int
	route               route
	// answer is the median length of an answer, in bytes.
	answer uint32
}

var profiles = [...]profile{
	stream: {work: 20 * time.Millisecond, aim: 120 * time.Millisecond, deadline: 1500 * time.Millisecond, parts: 1, route: routeFeed, answer: 4000},
	lookup: {work: 25 * time.Millisecond, aim: 150 * time.Millisecond, deadline: 2 * time.Second, parts: 1, route: routeLookup, answer: 800},
	upload: {work: 5 * time.Millisecond, aim: 500 * time.Millisecond, deadline: 8 * time.Second, parts: 12, route: routeUpload, answer: 300},
}

// outcome is how a request ended.
type outcome uint8

const (
	pending outcome = iota
	inAim
	late
	refusedByRoute
	failed
)

// request is one thing that a client wants done.
type request struct {
	id       uint64
	kind     requestKind
	address  netip.AddrPort
	started  time.Duration
	deadline time.Duration
	tries    int
	outcome  outcome
	// runs is how often servers began it.
	runs int
	done func(ok bool)
}

// clientFlow is one flow at its client.
type clientFlow struct {
	world *world
	key   flow.Key
	zone  string
	// sequence is the client's position; received counts what it got.
	sequence, received uint32
	opening, open      bool
	closed             bool
	// replyTo is the sequence of the server that the flow opened at, as the client knows.
	replyTo uint32
	tag     uint32
	request *request
	// acknowledged marks parts of the request that the server has.
	acknowledged []bool
	// server is where the flow is open, by what servers saw.
	server *server
	opened time.Duration
	// strayPackets reached other servers since strayAt, with none at the own.
	strayPackets int
	strayAt      time.Duration
	counted      bool
}

// startClients begins the load.
func (w *world) startClients() {
	for _, zone := range w.zones {
		for range int(streamsPerZone * w.options.Traffic) {
			w.After(w.Between(0, 2*time.Second), func() { w.streamLoop(zone, nil, w.pausesTimes()) })
		}
		w.arrivals(zone, lookupRate*w.options.Traffic, lookup)
		w.arrivals(zone, uploadRate*w.options.Traffic, upload)
	}
}

// arrivals begins requests at random times.
func (w *world) arrivals(zone string, rate float64, kind requestKind) {
	w.After(time.Duration(w.Random.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.Now < w.options.Scenario.length()-quietEnd {
			w.begin(zone, kind, nil, nil)
		}
		w.arrivals(zone, rate, kind)
	})
}

// streamLoop lets one client ask again and again over one flow; pauses multiplies the time
// between its requests.
func (w *world) streamLoop(zone string, over *clientFlow, pauses float64) {
	if w.Now >= w.options.Scenario.length()-quietEnd {
		return
	}
	var used *clientFlow
	r := w.begin(zone, stream, over, func(c *clientFlow) { used = c })
	r.done = func(ok bool) {
		if !ok || used == nil || used.closed {
			used = nil
		}
		if used != nil && w.options.Leave > 0 && w.Chance(w.options.Leave) {
			used.finish()
			used = nil
		}
		pause := time.Duration(float64(w.Between(leastPause, mostPause)) * pauses)
		w.After(pause, func() { w.streamLoop(zone, used, pauses) })
	}
}

// pausesTimes draws how many times longer than usual a stream pauses.
func (w *world) pausesTimes() float64 {
	if !w.options.Varied {
		return 1
	}
	return math.Pow(variedMost, 2*w.Random.Float64()-1)
}

// begin starts a request, over an open flow if there is one.
func (w *world) begin(zone string, kind requestKind, over *clientFlow, using func(*clientFlow)) *request {
	p := profiles[kind]
	w.nextRequest++
	r := &request{id: w.nextRequest, kind: kind, address: p.route.address, started: w.Now, deadline: w.Now + p.deadline}
	w.truth.requests = append(w.truth.requests, r)
	w.After(p.deadline, func() { w.end(r, failed) })
	w.try(zone, r, over, using)
	return r
}

// try sends the request over a flow, a new one where there is none.
func (w *world) try(zone string, r *request, over *clientFlow, using func(*clientFlow)) {
	if r.outcome != pending {
		return
	}
	r.tries++
	c := over
	if c == nil || c.closed {
		c = w.newFlow(zone, r.address)
	}
	if using != nil {
		using(c)
	}
	c.request = r
	c.acknowledged = make([]bool, profiles[r.kind].parts)
	if c.open {
		c.sendParts(r, firstRepeat)
		return
	}
	c.opening = true
	for attempt, at := range []time.Duration{0, firstCopy, secondCopy} {
		w.After(at, func() { c.sendOpen(uint32(attempt)) })
	}
	w.After(openLimit, func() {
		if c.opening {
			c.fail(true)
		}
	})
}

func (w *world) newFlow(zone string, address netip.AddrPort) *clientFlow {
	w.nextCaller++
	ip := netip.AddrFrom4([4]byte{100, 64, byte(w.nextCaller >> 8), byte(w.nextCaller)})
	port := uint16(1024 + w.nextCaller%60000)
	c := &clientFlow{
		world: w, zone: zone, sequence: w.Random.Uint32(),
		key: flow.Key{Caller: netip.AddrPortFrom(ip, port), Service: address},
	}
	w.clients[c.key] = c
	return c
}

// packet is a packet of the flow, as its client writes it.
func (c *clientFlow) packet(kind steering.Kind) *datagram {
	d := &datagram{client: c, reply: c.replyTo, sent: c.world.Now}
	d.Flow, d.Kind, d.Sequence = c.key, kind, c.sequence
	d.Acknowledged = c.replyTo + c.received
	d.Tag = directoryTag(c.tag)
	return d
}

func (c *clientFlow) sendOpen(attempt uint32) {
	if !c.opening {
		return
	}
	d := c.packet(steering.Open)
	d.Attempt, d.Tag, d.Acknowledged = attempt, 0, 0
	c.world.toBalancer(c, d)
}

// answered takes a server's SYN+ACK.
func (c *clientFlow) answered(from *server, sequence uint32, tag uint32) {
	if c.closed {
		return
	}
	c.tag = tag
	c.world.trace(c, "client: answered by server %s, tag %08x, opening %v", idText(from.id), tag, c.opening)
	if !c.opening {
		return
	}
	c.opening, c.open = false, true
	c.replyTo = sequence
	c.received = 1
	c.sequence++
	c.world.toBalancer(c, c.packet(steering.Established))
	c.sendParts(c.request, firstRepeat)
}

// sendParts sends what the server has not acknowledged of a request, and again later.
func (c *clientFlow) sendParts(r *request, repeat time.Duration) {
	if c.closed || r == nil || c.request != r || r.outcome != pending {
		return
	}
	missing := false
	for part, have := range c.acknowledged {
		if have {
			continue
		}
		missing = true
		d := c.packet(steering.Established)
		d.request, d.part, d.Payload = r, part, partSize
		d.Sequence = c.sequence + uint32(part*partSize)
		c.world.toBalancer(c, d)
	}
	if missing {
		c.world.After(repeat, func() { c.sendParts(r, min(2*repeat, lastRepeat)) })
	}
}

// partAcknowledged notes that the server has a part.
func (c *clientFlow) partAcknowledged(r *request, part int, tag uint32) {
	if c.closed {
		return
	}
	c.tag = tag
	if c.request == r && part < len(c.acknowledged) {
		c.acknowledged[part] = true
	}
}

// receive takes the server's answer; closing is set where the flow ends with it.
func (c *clientFlow) receive(from *server, r *request, a answer, closing bool, tag uint32) {
	if c.closed {
		return
	}
	c.tag = tag
	if c.request != r || r == nil {
		c.world.toBalancer(c, c.packet(steering.Established))
		return
	}
	c.received += a.length
	if a.outcome == answerFailed {
		c.leaveAfterFailure(r)
		return
	}
	c.world.toBalancer(c, c.packet(steering.Established))
	c.world.truth.answered(from, c, r)
	c.request = nil
	c.sequence += uint32(profiles[r.kind].parts * partSize)
	if closing || r.kind != stream {
		c.finish()
	}
	if a.outcome == answerNotRun {
		c.closed = true
		c.world.retry(c, r)
		return
	}
	if c.world.Now-r.started <= profiles[r.kind].aim {
		c.world.end(r, inAim)
		return
	}
	c.world.end(r, late)
}

// leaveAfterFailure ends the flow after an answer that is an error. A request that may run again
// is sent over another flow.
func (c *clientFlow) leaveAfterFailure(r *request) {
	c.request = nil
	c.sequence += uint32(profiles[r.kind].parts * partSize)
	c.finish()
	if r.kind == stream {
		c.world.retry(c, r)
		return
	}
	c.world.end(r, failed)
}

// finish closes the flow.
func (c *clientFlow) finish() {
	c.closed = true
	c.world.toBalancer(c, c.packet(steering.Close))
	delete(c.world.clients, c.key)
}

// reset ends the flow: by a server, or by a balancer when from is nil.
func (c *clientFlow) reset(from *server) {
	if c.closed {
		return
	}
	if c.server != nil && from != c.server {
		c.world.truth.resetByOther(c, from)
	}
	c.fail(!c.open)
}

// fail ends the flow and tries the request again where that is allowed.
func (c *clientFlow) fail(neverOpened bool) {
	c.closed, c.opening = true, false
	delete(c.world.clients, c.key)
	r := c.request
	c.request = nil
	if r == nil || r.outcome != pending {
		return
	}
	if neverOpened || r.kind == stream {
		c.world.retry(c, r)
		return
	}
	c.world.end(r, failed)
}

// retry uses another flow for the request, as often as clients do.
func (w *world) retry(c *clientFlow, r *request) {
	if r.tries >= maxTries {
		w.end(r, failed)
		return
	}
	w.try(c.zone, r, nil, nil)
}

// end settles a request once.
func (w *world) end(r *request, how outcome) {
	if r.outcome != pending {
		return
	}
	r.outcome = how
	if r.done != nil {
		r.done(how != failed)
	}
}
