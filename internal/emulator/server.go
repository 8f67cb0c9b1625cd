package emulator

import (
	"net/netip"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/steering"
)

const (
	serverSlots = 2
	serverQueue = 8
	// defaultWarmUpTime is how long servers warm up from their start; meanwhile a request takes
	// warmUpSlowdown times as long.
	defaultWarmUpTime = 2 * time.Second
	warmUpSlowdown    = 1.6
	// Servers that leave serve for defaultServeAfterDrain beyond the drain bound, some for
	// longServeAfterDrain.
	defaultServeAfterDrain = 2 * time.Second
	longServeAfterDrain    = 12 * time.Second
	// maxAnswerRetransmits is how often a server retransmits an answer.
	maxAnswerRetransmits = 8
	// maxOpenRetransmits is how often it retransmits the answer to an opening packet.
	maxOpenRetransmits = 2
	partSize           = 1000
)

// server is one incarnation of a server, from its start to its end.
type server struct {
	world     *world
	id        settings.BackendID
	startTime directory.StartTime
	service   string
	zone      string
	address   netip.AddrPort
	// heartbeatStopped servers write no entry and do not announce that they leave.
	heartbeatStopped bool
	// serveAfterDrain is how long it serves beyond the drain bound after it left.
	serveAfterDrain time.Duration
	draining        bool
	crashed         bool
	// hung servers receive nothing and send nothing.
	hung     bool
	slowdown float64
	// speed divides the time of work; 1 by default.
	speed float64
	// failureRate is the share of its requests that a server with a grey failure fails; failureMode
	// is how.
	failureRate float64
	failureMode failureMode
	// answerScale multiplies the length of its answers.
	answerScale     float64
	warmUpStart     time.Duration
	flows           map[flow.Key]*serverFlow
	running         int
	queue           []func()
	requestsStarted int
	// disturbed is when the server last hung or recovered.
	disturbed time.Duration
	// warmUpFlows are the flows accepted during warm-up.
	warmUpFlows []acceptedFlow
}

// acceptedFlow holds when an opening packet was sent and when a server accepted it.
type acceptedFlow struct {
	sent, acceptedAt time.Duration
}

// serverFlow is the server's end of a flow. receivedParts and ran are keyed by request; tag is the
// latest one received.
type serverFlow struct {
	// clientSequence is the client's initial sequence number, sequence the server's.
	clientSequence, sequence uint32
	opened                   bool
	tag                      uint32
	receivedParts            map[uint64]map[int]bool
	ran                      map[uint64]bool
	// acknowledged is the client's highest acknowledgement, relative to sequence.
	acknowledged uint32
}

func directoryTag(tag uint32) directory.Tag { return directory.Tag(tag) }

// addServer starts a server at a new address.
func (w *world) addServer(service, zone string) *server {
	w.nextServer++
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(w.nextServer >> 8), byte(w.nextServer)}), 8080)
	return w.startServer(service, zone, address)
}

func (w *world) startServer(service, zone string, address netip.AddrPort) *server {
	return w.startServerAs(settings.BackendID(w.Random.Uint64()>>24), service, zone, address)
}

// startServerAs starts a server with a given identifier, which an earlier one may have had.
func (w *world) startServerAs(id settings.BackendID, service, zone string, address netip.AddrPort) *server {
	s := &server{
		world: w, service: service, zone: zone, address: address, slowdown: 1, speed: w.nextSpeed(service), answerScale: 1, serveAfterDrain: defaultServeAfterDrain,
		id: id, startTime: w.serverStartTime(), warmUpStart: w.Now, flows: map[flow.Key]*serverFlow{},
		disturbed: -contactBound,
	}
	w.servers[address] = s
	w.incarnations = append(w.incarnations, s)
	w.Every(heartbeatInterval, s.heartbeat)
	return s
}

// serverStartTime returns the present time by the servers' clocks, in milliseconds.
func (w *world) serverStartTime() directory.StartTime {
	const firstDay = 1_800_000_000_000
	return directory.StartTime(firstDay + (w.Now - w.clockSetBack).Milliseconds())
}

func (s *server) heartbeat() {
	if s.crashed || s.hung || s.heartbeatStopped {
		return
	}
	s.world.store.write(directory.Backend{
		ID: s.id, StartTime: s.startTime, Group: s.service, Zone: s.zone, Address: s.address, Slots: serverSlots,
		Draining: s.draining, WarmUp: max(0, s.warmUpEnd()-s.world.Now),
	})
}

// leave shuts the server down as planned: it drains until the store has accepted that, and then
// serves for the drain bound and serveAfterDrain. Unannounced, its entry is removed at once and it
// writes no other.
func (s *server) leave(unannounced bool) {
	if unannounced {
		s.heartbeatStopped = true
		s.world.store.remove(s.id)
		s.draining = true
	}
	var announce func()
	announce = func() {
		s.draining = true
		s.heartbeat()
		if !unannounced && !s.world.store.entries[s.id].Backend.Draining {
			s.world.After(heartbeatInterval/4, announce)
			return
		}
		s.world.After(drainBound+s.serveAfterDrain, func() {
			s.world.store.remove(s.id)
			s.stop()
		})
	}
	announce()
}

// stop ends the server and frees its address.
func (s *server) stop() {
	s.crashed = true
	if s.world.servers[s.address] == s {
		delete(s.world.servers, s.address)
	}
}

func (s *server) warmingUp() bool { return s.world.Now < s.warmUpEnd() }

// warmUpEnd returns when the server has warmed up. Servers present from the beginning are warm
// before there is traffic.
func (s *server) warmUpEnd() time.Duration {
	if s.warmUpStart == 0 {
		return defaultWarmUpTime
	}
	return s.warmUpStart + s.world.warmUpTime
}

// crash ends the server without notice; with reuse, a server of another service takes its address
// later.
func (s *server) crash(reuse bool) {
	s.stop()
	if !reuse {
		return
	}
	other := serviceUpload
	if s.service == serviceUpload {
		other = serviceFeed
	}
	s.world.After(2*time.Second, func() { s.world.startServer(other, s.zone, s.address) })
}

// deliverToServer delivers a packet to the server at an address. A server with another identifier
// drops it; id 0 matches any.
func (w *world) deliverToServer(via *node, address netip.AddrPort, id settings.BackendID, d *datagram) {
	s := w.servers[address]
	if s == nil || s.hung || id != 0 && id != s.id {
		return
	}
	if d.Kind == steering.Open {
		s.handleOpen(via, d)
		return
	}
	s.handleEstablished(d)
}

func (s *server) handleOpen(via *node, d *datagram) {
	f := s.flows[d.Flow]
	isNew := f == nil || f.clientSequence != d.Sequence
	if isNew {
		f = &serverFlow{clientSequence: d.Sequence, sequence: s.world.Random.Uint32(), receivedParts: map[uint64]map[int]bool{}, ran: map[uint64]bool{}}
		s.flows[d.Flow] = f
	}
	f.tag = uint32(d.Tag)
	s.world.observer.checkOpen(s, via, d, isNew)
	s.answerOpen(f, d.client, minRetransmitDelay, 0)
}

// answerOpen sends the answer to an opening packet and retransmits it until the flow has opened.
func (s *server) answerOpen(f *serverFlow, c *clientFlow, delay time.Duration, retransmits int) {
	if f.opened || s.crashed || s.hung || retransmits > maxOpenRetransmits {
		return
	}
	tag := f.tag
	if retransmits > 0 || s.world.openAnswerLoss == 0 || !s.world.Chance(s.world.openAnswerLoss) {
		s.world.send(s.zone, "", func() { c.receiveOpenAnswer(s, f.sequence, tag) })
	}
	s.world.After(delay, func() { s.answerOpen(f, c, min(2*delay, maxRetransmitDelay), retransmits+1) })
}

// handleEstablished handles a packet of an open flow and resets flows that are not open here.
func (s *server) handleEstablished(d *datagram) {
	f := s.flows[d.Flow]
	s.world.observer.checkPacket(s, d, f != nil && f.sequence == d.serverSequence)
	if f == nil || f.sequence != d.serverSequence {
		s.world.send(s.zone, "", func() { d.client.reset(s) })
		return
	}
	f.tag = uint32(d.Tag)
	if !f.opened {
		f.opened = true
		s.world.observer.recordOpened(s, d.client)
	}
	f.acknowledged = max(f.acknowledged, d.Acknowledged-f.sequence)
	switch {
	case d.Kind == steering.Close:
		delete(s.flows, d.Flow)
	case d.request != nil:
		s.handlePart(f, d)
	}
}

// handlePart collects the parts of a request. A complete one runs, is queued or is rejected.
func (s *server) handlePart(f *serverFlow, d *datagram) {
	r, part, tag := d.request, d.part, f.tag
	s.world.send(s.zone, "", func() { d.client.partAcknowledged(r, part, tag) })
	if f.ran[r.id] {
		return
	}
	if f.receivedParts[r.id] == nil {
		f.receivedParts[r.id] = map[int]bool{}
	}
	f.receivedParts[r.id][part] = true
	if len(f.receivedParts[r.id]) < profiles[r.kind].parts {
		return
	}
	f.ran[r.id] = true
	switch {
	case s.failureRate > 0 && s.failureMode == failError && s.world.Chance(s.failureRate):
		r.runs++
		s.requestsStarted++
		s.world.observer.checkRun(s, r)
		s.respond(f, d.client, r, answer{answerError, shortAnswerLength}, minRetransmitDelay, 0)
	case s.running < serverSlots:
		s.runRequest(f, d.client, r)
	case len(s.queue) < serverQueue:
		s.queue = append(s.queue, func() { s.runRequest(f, d.client, r) })
	default:
		s.respond(f, d.client, r, answer{answerNotRun, shortAnswerLength}, minRetransmitDelay, 0)
	}
}

func (s *server) runRequest(f *serverFlow, c *clientFlow, r *request) {
	s.running++
	s.requestsStarted++
	r.runs++
	s.world.observer.checkRun(s, r)
	work := float64(profiles[r.kind].work) * s.slowdown / s.speed * (0.5 + s.world.Random.Float64())
	if s.warmingUp() {
		work *= warmUpSlowdown
	}
	s.world.After(time.Duration(work), func() {
		if s.crashed {
			return
		}
		s.running--
		s.completeRequest(f, c, r)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
	})
}

// completeRequest answers a request that has run, or fails it as failureMode says.
func (s *server) completeRequest(f *serverFlow, c *clientFlow, r *request) {
	switch {
	case s.failureRate == 0 || s.failureMode == failError || !s.world.Chance(s.failureRate):
		s.respond(f, c, r, s.answerTo(r), minRetransmitDelay, 0)
	case s.failureMode == failReset:
		delete(s.flows, c.key)
		s.world.send(s.zone, "", func() { c.reset(s) })
	}
}

// respond sends an answer and retransmits it until the client has it.
func (s *server) respond(f *serverFlow, c *clientFlow, r *request, a answer, delay time.Duration, retransmits int) {
	if s.crashed || s.hung || retransmits > maxAnswerRetransmits || c.request != r {
		return
	}
	tag := f.tag
	closing := s.draining
	s.world.send(s.zone, "", func() { c.receiveAnswer(s, r, a, closing, tag) })
	s.world.After(delay, func() { s.respond(f, c, r, a, min(2*delay, maxRetransmitDelay), retransmits+1) })
}
