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
	// usualColdTime is how long a server is slow from its start, coldFactor how slow.
	usualColdTime = 2 * time.Second
	coldFactor    = 1.6
	// serveOn is how long beyond the drain bound a planned server serves, serveLong
	// how long some do.
	serveOn   = 2 * time.Second
	serveLong = 12 * time.Second
	// maxRepeats is how often a server sends an answer again.
	maxRepeats = 8
	// maxOpenRepeats is how often it answers an opening packet again.
	maxOpenRepeats = 2
	partSize       = 1000
)

// server is one start of a server.
type server struct {
	world   *world
	id      settings.BackendID
	born    directory.StartTime
	service string
	zone    string
	address netip.AddrPort
	// mute servers write no entry, and say nothing of their leaving.
	mute bool
	// serveOn is how long beyond the drain bound it serves after it left.
	serveOn  time.Duration
	draining bool
	crashed  bool
	// hung servers stand still.
	hung bool
	slow float64
	// speed is how fast it works by nature, 1 as a rule.
	speed float64
	// grey is the part of its requests that the server fails while all else about it is
	// well; failing is how.
	grey    float64
	failing failure
	// shorter multiplies the length of its answers.
	shorter float64
	coldAt  time.Duration
	flows   map[flow.Key]*serverFlow
	busy    int
	queue   []func()
	begun   int
	// disturbed is when the server was last disturbed.
	disturbed time.Duration
	// taken are the flows that it took while it warmed up.
	taken []takenFlow
}

// takenFlow is when an opening packet was sent and when a server took it.
type takenFlow struct {
	sent, at time.Duration
}

// serverFlow is a flow at a server.
type serverFlow struct {
	sequence uint32
	opened   bool
	tag      uint32
	parts    map[uint64]map[int]bool
	ran      map[uint64]bool
	// delivered counts the client's acknowledgements.
	delivered uint32
}

func directoryTag(tag uint32) directory.Tag { return directory.Tag(tag) }

// addServer starts a server at an address of its own.
func (w *world) addServer(service, zone string) *server {
	w.nextServer++
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(w.nextServer >> 8), byte(w.nextServer)}), 8080)
	return w.startServer(service, zone, address)
}

func (w *world) startServer(service, zone string, address netip.AddrPort) *server {
	return w.startServerAs(settings.BackendID(w.Random.Uint64()>>24), service, zone, address)
}

// startServerAs starts a server under an identifier, which one before may have had.
func (w *world) startServerAs(id settings.BackendID, service, zone string, address netip.AddrPort) *server {
	s := &server{
		world: w, service: service, zone: zone, address: address, slow: 1, speed: w.nextSpeed(service), shorter: 1, serveOn: serveOn,
		id: id, born: w.birth(), coldAt: w.Now, flows: map[flow.Key]*serverFlow{},
		disturbed: -contactBound,
	}
	w.servers[address] = s
	w.incarnations = append(w.incarnations, s)
	w.Every(heartbeat, s.heartbeat)
	return s
}

// birth is the time of day at a server that starts now.
func (w *world) birth() directory.StartTime {
	const firstDay = 1_800_000_000_000
	return directory.StartTime(firstDay + (w.Now - w.clockBack).Milliseconds())
}

// heartbeat writes the server's entry.
func (s *server) heartbeat() {
	if s.crashed || s.hung || s.mute {
		return
	}
	s.world.store.write(directory.Backend{
		ID: s.id, StartTime: s.born, Group: s.service, Zone: s.zone, Address: s.address, Slots: serverSlots,
		Draining: s.draining, WarmUp: max(0, s.warmAt()-s.world.Now),
	})
}

// leave is a planned end: draining until the store has taken that and for the drain
// bound after. Quiet servers say nothing; their entry goes.
func (s *server) leave(quiet bool) {
	if quiet {
		s.mute = true
		s.world.store.remove(s.id)
		s.draining = true
	}
	var until func()
	until = func() {
		s.draining = true
		s.heartbeat()
		if !quiet && !s.world.store.entries[s.id].Backend.Draining {
			s.world.After(heartbeat/4, until)
			return
		}
		s.world.After(drainBound+s.serveOn, func() {
			s.world.store.remove(s.id)
			s.end()
		})
	}
	until()
}

// end takes the server off its address.
func (s *server) end() {
	s.crashed = true
	if s.world.servers[s.address] == s {
		delete(s.world.servers, s.address)
	}
}

// cold tells whether the server warms up.
func (s *server) cold() bool { return s.world.Now < s.warmAt() }

// warmAt is when the server has warmed up. Those of the beginning do so before there is traffic.
func (s *server) warmAt() time.Duration {
	if s.coldAt == 0 {
		return usualColdTime
	}
	return s.coldAt + s.world.coldTime
}

// crash ends the server without a word; reuse gives its address to another service.
func (s *server) crash(reuse bool) {
	s.end()
	if !reuse {
		return
	}
	other := serviceUpload
	if s.service == serviceUpload {
		other = serviceFeed
	}
	s.world.After(2*time.Second, func() { s.world.startServer(other, s.zone, s.address) })
}

// arriveAtServer hands a packet to whoever has the address. Servers that are not
// meant stay silent.
func (w *world) arriveAtServer(via *node, address netip.AddrPort, id settings.BackendID, d *datagram) {
	s := w.servers[address]
	if s == nil || s.hung || id != 0 && id != s.id {
		return
	}
	if d.Kind == steering.Open {
		s.takeOpen(via, d)
		return
	}
	s.takeEstablished(d)
}

// takeOpen answers an opening packet.
func (s *server) takeOpen(via *node, d *datagram) {
	f := s.flows[d.Flow]
	isNew := f == nil
	if isNew {
		f = &serverFlow{sequence: s.world.Random.Uint32(), parts: map[uint64]map[int]bool{}, ran: map[uint64]bool{}}
		s.flows[d.Flow] = f
	}
	f.tag = uint32(d.Tag)
	s.world.truth.openTaken(s, via, d, isNew)
	s.answerOpen(f, d.client, firstRepeat, 0)
}

// answerOpen tells the client that the server takes the flow, and again until it
// has opened.
func (s *server) answerOpen(f *serverFlow, c *clientFlow, repeat time.Duration, sent int) {
	if f.opened || s.crashed || s.hung || sent > maxOpenRepeats {
		return
	}
	tag := f.tag
	if sent > 0 || s.world.lostAnswers == 0 || !s.world.Chance(s.world.lostAnswers) {
		s.world.send(s.zone, "", func() { c.answered(s, f.sequence, tag) })
	}
	s.world.After(repeat, func() { s.answerOpen(f, c, min(2*repeat, lastRepeat), sent+1) })
}

// takeEstablished serves a packet of a flow that is open here, and resets others.
func (s *server) takeEstablished(d *datagram) {
	f := s.flows[d.Flow]
	s.world.truth.packetAt(s, d, f != nil && f.sequence == d.reply)
	if f == nil || f.sequence != d.reply {
		s.world.send(s.zone, "", func() { d.client.reset(s) })
		return
	}
	f.tag = uint32(d.Tag)
	if !f.opened {
		f.opened = true
		s.world.truth.opened(s, d.client)
	}
	f.delivered = max(f.delivered, d.Acknowledged-f.sequence)
	switch {
	case d.Kind == steering.Close:
		delete(s.flows, d.Flow)
	case d.request != nil:
		s.takePart(f, d)
	}
}

// takePart collects a request; a whole one runs or waits, or is turned away.
func (s *server) takePart(f *serverFlow, d *datagram) {
	r, part, tag := d.request, d.part, f.tag
	s.world.send(s.zone, "", func() { d.client.partAcknowledged(r, part, tag) })
	if f.ran[r.id] {
		return
	}
	if f.parts[r.id] == nil {
		f.parts[r.id] = map[int]bool{}
	}
	f.parts[r.id][part] = true
	if len(f.parts[r.id]) < profiles[r.kind].parts {
		return
	}
	f.ran[r.id] = true
	switch {
	case s.grey > 0 && s.failing == failError && s.world.Chance(s.grey):
		r.runs++
		s.begun++
		s.world.truth.ran(s, r)
		s.respond(f, d.client, r, answer{answerFailed, refusalLength}, firstRepeat, 0)
	case s.busy < serverSlots:
		s.run(f, d.client, r)
	case len(s.queue) < serverQueue:
		s.queue = append(s.queue, func() { s.run(f, d.client, r) })
	default:
		s.respond(f, d.client, r, answer{answerNotRun, refusalLength}, firstRepeat, 0)
	}
}

// run begins a request.
func (s *server) run(f *serverFlow, c *clientFlow, r *request) {
	s.busy++
	s.begun++
	r.runs++
	s.world.truth.ran(s, r)
	work := float64(profiles[r.kind].work) * s.slow / s.speed * (0.5 + s.world.Random.Float64())
	if s.cold() {
		work *= coldFactor
	}
	s.world.After(time.Duration(work), func() {
		if s.crashed {
			return
		}
		s.busy--
		s.finish(f, c, r)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
	})
}

// finish answers a request that has run, or fails it.
func (s *server) finish(f *serverFlow, c *clientFlow, r *request) {
	switch {
	case s.grey == 0 || s.failing == failError || !s.world.Chance(s.grey):
		s.respond(f, c, r, s.answerTo(r), firstRepeat, 0)
	case s.failing == failReset:
		delete(s.flows, c.key)
		s.world.send(s.zone, "", func() { c.reset(s) })
	}
}

// respond sends the answer, and again until the client has acknowledged it.
func (s *server) respond(f *serverFlow, c *clientFlow, r *request, a answer, repeat time.Duration, sent int) {
	if s.crashed || s.hung || sent > maxRepeats || c.request != r {
		return
	}
	tag := f.tag
	closing := s.draining
	s.world.send(s.zone, "", func() { c.receive(s, r, a, closing, tag) })
	s.world.After(repeat, func() { s.respond(f, c, r, a, min(2*repeat, lastRepeat), sent+1) })
}
