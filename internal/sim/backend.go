package sim

import (
	"net/netip"
	"slices"
	"time"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/flow"
)

const (
	// serviceTimeLow and serviceTimeHigh bound how long a request holds a slot.
	serviceTimeLow  = 20 * time.Millisecond
	serviceTimeHigh = 60 * time.Millisecond
	// coldTime is how long a back end is cold after its start, and coldFactor
	// how much slower it then is.
	coldTime   = 10 * time.Second
	coldFactor = 4
	// queueLimit is how many requests wait before a back end sheds load.
	queueLimit = 100
	// feedInterval is the time between two notifications of a feed.
	feedInterval = 4 * time.Second
	// acknowledgeTime is the wait before the first repetition, doubled each time.
	acknowledgeTime = 2 * time.Second
	// repetitions is how often a datagram is repeated at most.
	repetitions = 4
	// loadInterval is the time between two load reports, which arrive loadLag late.
	loadInterval = time.Second
	loadLag      = time.Second
)

// job is one request at a back end.
type job struct {
	packet  *balancer.Packet
	body    body
	arrived time.Duration
}

// backendFlow is what a back end knows of one flow.
type backendFlow struct {
	key      flow.Key
	began    time.Duration
	lastSeen time.Duration
	// answers has what each message identifier was answered with; nil while it runs.
	answers map[uint16]*body
	// blocks counts the blocks of the upload under way.
	blocks map[*request]int
	feed   *feed
}

// feed is one observation at a back end.
type feed struct {
	token        flow.Token
	sequence     uint32
	acknowledged uint32
}

// backend is one server.
type backend struct {
	world    *world
	address  netip.AddrPort
	zone     string
	services []netip.AddrPort
	slots    int

	up      bool
	frozen  bool
	run     int
	started time.Duration
	busy    int
	waiting []job
	flows   map[flow.Key]*backendFlow
	// drainedAt is when an accepted edit began its drain; 0 is not draining.
	drainedAt time.Duration
}

func (b *backend) start() {
	b.up = true
	b.frozen = false
	b.run++
	b.started = b.world.Now
	b.busy = 0
	b.waiting = nil
	b.flows = map[flow.Key]*backendFlow{}
}

func (b *backend) crash() {
	b.up = false
	b.flows = map[flow.Key]*backendFlow{}
}

// receive takes a datagram from a balancer.
func (b *backend) receive(packet *balancer.Packet) {
	if !b.up || b.frozen {
		return
	}
	w := b.world
	w.record(traceAtBackend, uint64(b.address.Port()), packet.Flow.Hash()^uint64(packet.MessageID))
	if !slices.Contains(b.services, packet.Flow.Service) {
		w.truth.misrouted++
		return
	}
	f := b.flows[packet.Flow]
	if f == nil {
		if packet.Kind == balancer.Control {
			return
		}
		f = &backendFlow{key: packet.Flow, began: w.Now, answers: map[uint16]*body{}, blocks: map[*request]int{}}
		b.flows[packet.Flow] = f
		w.truth.sawFlow(b, packet)
	}
	f.lastSeen = w.Now
	if packet.Kind == balancer.Control {
		b.acknowledged(f, packet)
		return
	}
	if known, seen := f.answers[packet.MessageID]; seen {
		if known != nil {
			b.answer(packet, *known)
		}
		return
	}
	f.answers[packet.MessageID] = nil
	b.handle(f, packet, w.bodyOf(packet))
}

func (b *backend) acknowledged(f *backendFlow, packet *balancer.Packet) {
	if f.feed != nil {
		f.feed.acknowledged = max(f.feed.acknowledged, b.world.bodyOf(packet).sequence)
	}
}

// handle carries out a request that was not seen before.
func (b *backend) handle(f *backendFlow, packet *balancer.Packet, received body) {
	reply := body{request: received.request, part: received.part, parts: received.parts}
	switch received.request.kind {
	case kindFeed:
		f.feed = &feed{token: packet.Token}
		b.reply(f, packet, reply)
		b.world.After(feedInterval, func() { b.notify(f, f.feed, b.run) })
		return
	case kindUpload:
		if f.blocks[received.request] != received.part {
			reply.result = resultIncomplete
			b.reply(f, packet, reply)
			return
		}
		f.blocks[received.request]++
		if received.part < received.parts-1 {
			reply.result = resultContinue
			b.reply(f, packet, reply)
			return
		}
	case kindLookup:
		if received.part > 0 {
			// A later part of an answer: only the server that ran the request has it.
			if received.request.ranAt != b {
				reply.result = resultIncomplete
			}
			b.reply(f, packet, reply)
			return
		}
	}
	b.enqueue(job{packet, received, b.world.Now})
}

func (b *backend) enqueue(j job) {
	switch {
	case b.busy < b.slots:
		b.execute(j)
	case len(b.waiting) >= queueLimit:
		b.shed(j)
	default:
		b.waiting = append(b.waiting, j)
	}
}

func (b *backend) shed(j job) {
	if f := b.flows[j.packet.Flow]; f != nil {
		b.reply(f, j.packet, body{request: j.body.request, result: resultNotRun})
	}
}

func (b *backend) execute(j job) {
	w := b.world
	w.truth.queued(w.Now - j.arrived)
	b.busy++
	length := w.Between(serviceTimeLow, serviceTimeHigh)
	if w.Now-b.started < coldTime && b.started > 0 {
		length *= coldFactor
	}
	run := b.run
	w.truth.ran(b, j.body.request)
	w.After(length, func() {
		if !b.up || b.run != run {
			return
		}
		b.busy--
		if f := b.flows[j.packet.Flow]; f != nil {
			b.reply(f, j.packet, body{request: j.body.request, part: j.body.part, parts: j.body.parts})
		}
		b.next()
	})
}

// next starts the oldest waiting request that can still meet its deadline.
func (b *backend) next() {
	for len(b.waiting) > 0 && b.busy < b.slots {
		j := b.waiting[0]
		b.waiting = b.waiting[1:]
		if b.world.Now-j.arrived > j.body.request.deadline {
			b.shed(j)
			continue
		}
		b.execute(j)
	}
}

// reply answers a request and remembers the answer for copies of it.
func (b *backend) reply(f *backendFlow, packet *balancer.Packet, reply body) {
	f.answers[packet.MessageID] = &reply
	b.answer(packet, reply)
}

func (b *backend) answer(request *balancer.Packet, reply body) {
	packet := &balancer.Packet{
		Kind:      balancer.Answer,
		Flow:      request.Flow,
		Backend:   b.address,
		MessageID: request.MessageID,
		Token:     request.Token,
		Observe:   reply.request.kind == kindFeed,
	}
	b.world.network.spray(b.zone, b.world.attach(packet, reply))
}

// notify sends the next notification of a feed and plans the one after.
func (b *backend) notify(f *backendFlow, subscription *feed, run int) {
	if !b.up || b.run != run || f.feed != subscription {
		return
	}
	if b.world.sessions[f.key] == nil {
		f.feed = nil
		return
	}
	subscription.sequence++
	b.sendNotification(f, subscription, subscription.sequence, 0, run)
	b.world.After(feedInterval, func() { b.notify(f, subscription, run) })
}

// sendNotification sends one notification until it, or a newer one, is acknowledged.
func (b *backend) sendNotification(f *backendFlow, subscription *feed, sequence uint32, attempt int, run int) {
	stale := f.feed != subscription || subscription.acknowledged >= sequence || subscription.sequence > sequence
	if !b.up || b.run != run || stale || attempt > repetitions {
		return
	}
	if !b.frozen {
		packet := &balancer.Packet{
			Kind:        balancer.Answer,
			Flow:        f.key,
			Backend:     b.address,
			MessageID:   uint16(sequence),
			Token:       subscription.token,
			Confirmable: true,
			Observe:     true,
		}
		b.world.network.spray(b.zone, b.world.attach(packet, body{sequence: sequence}))
	}
	b.world.After(acknowledgeTime<<attempt, func() { b.sendNotification(f, subscription, sequence, attempt+1, run) })
}

// report sends the load to every balancer, late.
func (b *backend) report() {
	utilization := float64(b.busy+len(b.waiting)) / float64(b.slots)
	if b.world.lyingLoad {
		utilization = float64(b.address.Port()%2) * 50
	}
	for _, n := range b.world.nodes {
		b.world.After(loadLag, func() {
			n.receive(&balancer.LoadReport{Backend: b.address, Utilization: utilization})
		})
	}
}
