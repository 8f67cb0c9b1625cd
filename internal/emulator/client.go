package emulator

import (
	"math"
	"net/netip"
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/steering"
)

const (
	// Copies of an opening packet follow after these times; after openTimeout the attempt has
	// failed.
	firstCopy   = 200 * time.Millisecond
	secondCopy  = 600 * time.Millisecond
	openTimeout = 1400 * time.Millisecond
	// Retransmission delays double from minRetransmitDelay to maxRetransmitDelay.
	minRetransmitDelay = 200 * time.Millisecond
	maxRetransmitDelay = 1600 * time.Millisecond
	// minPause and maxPause bound the time between two requests of a stream.
	minPause = 400 * time.Millisecond
	maxPause = 1200 * time.Millisecond
	// maxPauseFactor bounds by what factor a stream's pauses are longer or shorter than the
	// default.
	maxPauseFactor = 4
	// maxTries is how many flows a request may use.
	maxTries = 3
)

type requestKind uint8

const (
	// stream requests share a long-lived flow and may run twice.
	stream requestKind = iota
	// lookup requests use a flow each and may run at most once.
	lookup
	// upload requests use a flow each, have many packets and may run at most once.
	upload
)

// profile describes one kind of request. work is the time it takes at a server of speed 1, parts how
// many data packets it has.
type profile struct {
	work, latencyTarget, deadline time.Duration
	parts                         int
	route                         route
	// answerLength is the median length of an answer, in bytes.
	answerLength uint32
}

var profiles = [...]profile{
	stream: {work: 20 * time.Millisecond, latencyTarget: 120 * time.Millisecond, deadline: 1500 * time.Millisecond, parts: 1, route: routeFeed, answerLength: 4000},
	lookup: {work: 25 * time.Millisecond, latencyTarget: 150 * time.Millisecond, deadline: 2 * time.Second, parts: 1, route: routeLookup, answerLength: 800},
	upload: {work: 5 * time.Millisecond, latencyTarget: 500 * time.Millisecond, deadline: 8 * time.Second, parts: 12, route: routeUpload, answerLength: 300},
}

type outcome uint8

const (
	pending outcome = iota
	withinTarget
	late
	refusedByRoute
	failed
)

// request is one request of a client, over all its tries.
type request struct {
	id       uint64
	kind     requestKind
	address  netip.AddrPort
	started  time.Duration
	deadline time.Duration
	tries    int
	outcome  outcome
	// runs counts how often servers started it.
	runs int
	done func(ok bool)
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	world *world
	key   flow.Key
	zone  string
	// sequence is the client's next sequence number; received counts the bytes received, the
	// opening answer as one.
	sequence, received uint32
	opening, open      bool
	closed             bool
	// serverSequence is the initial sequence number of the server that the client has the flow open
	// with.
	serverSequence uint32
	tag            uint32
	request        *request
	// acknowledged marks the parts of the request that the server has.
	acknowledged []bool
	// server is the first server at which the flow opened; nil before that. The client doesn't use
	// it.
	server *server
	opened time.Duration
	// strayPackets counts consecutive packets that reached other servers, the first at strayAt.
	strayPackets      int
	strayAt           time.Duration
	violationReported bool
}

func (w *world) startClients() {
	for _, zone := range w.zones {
		for range int(streamsPerZone * w.options.Traffic) {
			w.After(w.Between(0, 2*time.Second), func() { w.streamLoop(zone, nil, w.randomPauseFactor()) })
		}
		w.scheduleArrivals(zone, lookupRate*w.options.Traffic, lookup)
		w.scheduleArrivals(zone, uploadRate*w.options.Traffic, upload)
	}
}

// scheduleArrivals starts requests as a Poisson process of the given rate per second.
func (w *world) scheduleArrivals(zone string, rate float64, kind requestKind) {
	w.After(time.Duration(w.Random.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.Now < w.options.Scenario.duration()-quietPeriod {
			w.startRequest(zone, kind, nil, nil)
		}
		w.scheduleArrivals(zone, rate, kind)
	})
}

// streamLoop sends the requests of one client over one flow while it stays open; pauseFactor
// multiplies the time between them.
func (w *world) streamLoop(zone string, existing *clientFlow, pauseFactor float64) {
	if w.Now >= w.options.Scenario.duration()-quietPeriod {
		return
	}
	var used *clientFlow
	r := w.startRequest(zone, stream, existing, func(c *clientFlow) { used = c })
	r.done = func(ok bool) {
		if !ok || used == nil || used.closed {
			used = nil
		}
		if used != nil && w.options.FlowCloseShare > 0 && w.Chance(w.options.FlowCloseShare) {
			used.close()
			used = nil
		}
		pause := time.Duration(float64(w.Between(minPause, maxPause)) * pauseFactor)
		w.After(pause, func() { w.streamLoop(zone, used, pauseFactor) })
	}
}

// randomPauseFactor returns by what factor a stream's pauses are longer than the default.
func (w *world) randomPauseFactor() float64 {
	if !w.options.VariedPauses {
		return 1
	}
	return math.Pow(maxPauseFactor, 2*w.Random.Float64()-1)
}

// startRequest starts a request, over the existing flow if it is open. onFlow, if set, receives
// each flow that the request uses.
func (w *world) startRequest(zone string, kind requestKind, existing *clientFlow, onFlow func(*clientFlow)) *request {
	p := profiles[kind]
	w.nextRequest++
	r := &request{id: w.nextRequest, kind: kind, address: p.route.address, started: w.Now, deadline: w.Now + p.deadline}
	w.observer.requests = append(w.observer.requests, r)
	w.After(p.deadline, func() { w.endRequest(r, failed) })
	w.sendRequest(zone, r, existing, onFlow)
	return r
}

// sendRequest sends a request over the existing flow, or over a new one if that is nil or closed.
func (w *world) sendRequest(zone string, r *request, existing *clientFlow, onFlow func(*clientFlow)) {
	if r.outcome != pending {
		return
	}
	r.tries++
	c := existing
	if c == nil || c.closed {
		c = w.newFlow(zone, r.address)
	}
	if onFlow != nil {
		onFlow(c)
	}
	c.request = r
	c.acknowledged = make([]bool, profiles[r.kind].parts)
	if c.open {
		c.sendParts(r, minRetransmitDelay)
		return
	}
	c.opening = true
	for attempt, at := range []time.Duration{0, firstCopy, secondCopy} {
		w.After(at, func() { c.sendOpen(uint32(attempt)) })
	}
	w.After(openTimeout, func() {
		if c.opening {
			c.fail(true)
		}
	})
}

func (w *world) newFlow(zone string, address netip.AddrPort) *clientFlow {
	c := &clientFlow{
		world: w, zone: zone, sequence: w.Random.Uint32(),
		key: flow.Key{Caller: w.callerAddress(zone, address), Service: address},
	}
	w.clients[c.key] = c
	return c
}

func (c *clientFlow) packet(kind steering.Kind) *datagram {
	d := &datagram{client: c, serverSequence: c.serverSequence, sent: c.world.Now}
	d.Flow, d.Kind, d.Sequence = c.key, kind, c.sequence
	d.Acknowledged = c.serverSequence + c.received
	d.Tag = directoryTag(c.tag)
	return d
}

func (c *clientFlow) sendOpen(attempt uint32) {
	if !c.opening {
		return
	}
	d := c.packet(steering.Open)
	d.Attempt, d.Tag, d.Acknowledged = attempt, 0, 0
	c.world.sendToBalancer(c, d)
}

// receiveOpenAnswer handles a server's SYN+ACK.
func (c *clientFlow) receiveOpenAnswer(from *server, sequence uint32, tag uint32) {
	if c.closed {
		return
	}
	c.tag = tag
	c.world.trace(c, "client: answered by server %s, tag %08x, opening %v", idText(from.id), tag, c.opening)
	if !c.opening {
		return
	}
	c.opening, c.open = false, true
	c.serverSequence = sequence
	c.received = 1
	c.sequence++
	c.world.sendToBalancer(c, c.packet(steering.Established))
	c.sendParts(c.request, minRetransmitDelay)
}

// sendParts sends the unacknowledged parts of a request and schedules their retransmission.
func (c *clientFlow) sendParts(r *request, delay time.Duration) {
	if c.closed || r == nil || c.request != r || r.outcome != pending {
		return
	}
	missing := false
	for part, acknowledged := range c.acknowledged {
		if acknowledged {
			continue
		}
		missing = true
		d := c.packet(steering.Established)
		d.request, d.part, d.Payload = r, part, partSize
		d.Sequence = c.sequence + uint32(part*partSize)
		c.world.sendToBalancer(c, d)
	}
	if missing {
		c.world.After(delay, func() { c.sendParts(r, min(2*delay, maxRetransmitDelay)) })
	}
}

func (c *clientFlow) partAcknowledged(r *request, part int, tag uint32) {
	if c.closed {
		return
	}
	c.tag = tag
	if c.request == r && part < len(c.acknowledged) {
		c.acknowledged[part] = true
	}
}

// receiveAnswer handles the server's answer; closing is set if the server ends the flow with it.
func (c *clientFlow) receiveAnswer(from *server, r *request, a answer, closing bool, tag uint32) {
	if c.closed {
		return
	}
	c.tag = tag
	if c.request != r || r == nil {
		c.world.sendToBalancer(c, c.packet(steering.Established))
		return
	}
	c.received += a.length
	if a.outcome == answerError {
		c.closeAfterFailure(r)
		return
	}
	c.world.sendToBalancer(c, c.packet(steering.Established))
	c.world.observer.checkAnswer(from, c, r)
	c.request = nil
	c.sequence += uint32(profiles[r.kind].parts * partSize)
	if closing || r.kind != stream {
		c.close()
	}
	if a.outcome == answerNotRun {
		c.closed = true
		c.world.retry(c, r)
		return
	}
	if c.world.Now-r.started <= profiles[r.kind].latencyTarget {
		c.world.endRequest(r, withinTarget)
		return
	}
	c.world.endRequest(r, late)
}

// closeAfterFailure closes the flow after an error. A stream request is retried over another flow;
// others fail.
func (c *clientFlow) closeAfterFailure(r *request) {
	c.request = nil
	c.sequence += uint32(profiles[r.kind].parts * partSize)
	c.close()
	if r.kind == stream {
		c.world.retry(c, r)
		return
	}
	c.world.endRequest(r, failed)
}

// close sends a packet that closes the flow.
func (c *clientFlow) close() {
	c.closed = true
	c.world.sendToBalancer(c, c.packet(steering.Close))
	c.world.releaseCaller(c)
}

// reset handles a reset from a server, or from a balancer if from is nil.
func (c *clientFlow) reset(from *server) {
	if c.closed {
		return
	}
	if c.server != nil && from != c.server {
		c.world.observer.checkReset(c, from)
	}
	c.fail(!c.open)
}

// fail ends the flow and retries its request if that may run again or the flow never opened.
func (c *clientFlow) fail(beforeOpen bool) {
	c.closed, c.opening = true, false
	c.world.releaseCaller(c)
	r := c.request
	c.request = nil
	if r == nil || r.outcome != pending {
		return
	}
	if beforeOpen || r.kind == stream {
		c.world.retry(c, r)
		return
	}
	c.world.endRequest(r, failed)
}

// retry sends the request over another flow, up to maxTries flows.
func (w *world) retry(c *clientFlow, r *request) {
	if r.tries >= maxTries {
		w.endRequest(r, failed)
		return
	}
	w.sendRequest(c.zone, r, nil, nil)
}

// endRequest sets a request's outcome once and calls its done function.
func (w *world) endRequest(r *request, result outcome) {
	if r.outcome != pending {
		return
	}
	r.outcome = result
	if r.done != nil {
		r.done(result != failed)
	}
}
