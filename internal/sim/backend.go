package sim

import (
	"net/netip"
	"slices"
	"time"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/flow"
)

const (
	// minServiceTime and maxServiceTime bound the time for which a request occupies a slot.
	minServiceTime = 20 * time.Millisecond
	maxServiceTime = 60 * time.Millisecond
	// warmUpTime is the warm-up period after a start during the run. It multiplies service times
	// by warmUpSlowdown.
	warmUpTime     = 10 * time.Second
	warmUpSlowdown = 4
	// queueLimit is the maximum number of queued requests; beyond it a back end sheds load.
	queueLimit = 100
	// notificationInterval is the time between two notifications of a feed.
	notificationInterval = 4 * time.Second
	// ackTimeout is the wait before the first retransmission; it doubles with each attempt.
	ackTimeout = 2 * time.Second
	// maxRetransmissions is the maximum number of retransmissions of a datagram.
	maxRetransmissions = 4
	// loadReportInterval is the time between two load reports, which arrive after loadReportDelay.
	loadReportInterval = time.Second
	loadReportDelay    = time.Second
)

// job is a request that is queued or running at a back end.
type job struct {
	packet  *balancer.Packet
	body    body
	arrived time.Duration
}

// backendFlow is a back end's state of one flow.
type backendFlow struct {
	key      flow.Key
	openedAt time.Duration
	lastSeen time.Duration
	// answers holds the response to each message identifier; nil while the request runs.
	answers map[uint16]*body
	// blocks counts the received blocks of each upload.
	blocks map[*request]int
	feed   *feed
}

// feed is a CoAP observation at a back end.
type feed struct {
	token        flow.Token
	sequence     uint32
	acknowledged uint32
}

// backend models a server. It detects duplicate requests and queues work for its slots.
type backend struct {
	world    *world
	address  netip.AddrPort
	zone     string
	services []netip.AddrPort
	slots    int

	up          bool
	hung        bool
	incarnation int
	started     time.Duration
	busySlots   int
	queue       []job
	flows       map[flow.Key]*backendFlow
	// drainingSince is when the edit that drains the back end was accepted; 0 if it is not draining.
	drainingSince time.Duration
}

func (b *backend) start() {
	b.up = true
	b.hung = false
	b.incarnation++
	b.started = b.world.Now
	b.busySlots = 0
	b.queue = nil
	b.flows = map[flow.Key]*backendFlow{}
}

func (b *backend) crash() {
	b.up = false
	b.flows = map[flow.Key]*backendFlow{}
}

// receive processes a datagram from a balancer; a back end that is down or hung drops it.
func (b *backend) receive(packet *balancer.Packet) {
	if !b.up || b.hung {
		return
	}
	w := b.world
	w.recordTrace(traceAtBackend, uint64(b.address.Port()), packet.Flow.Hash()^uint64(packet.MessageID))
	if !slices.Contains(b.services, packet.Flow.Service) {
		w.observer.misrouted++
		return
	}
	f := b.flows[packet.Flow]
	if f == nil {
		if packet.Kind == balancer.Control {
			return
		}
		f = &backendFlow{key: packet.Flow, openedAt: w.Now, answers: map[uint16]*body{}, blocks: map[*request]int{}}
		b.flows[packet.Flow] = f
		w.observer.recordFlow(b, packet)
	}
	f.lastSeen = w.Now
	if packet.Kind == balancer.Control {
		b.recordAcknowledgement(f, packet)
		return
	}
	if answer, seen := f.answers[packet.MessageID]; seen {
		if answer != nil {
			b.sendAnswer(packet, *answer)
		}
		return
	}
	f.answers[packet.MessageID] = nil
	b.handle(f, packet, w.bodyOf(packet))
}

func (b *backend) recordAcknowledgement(f *backendFlow, packet *balancer.Packet) {
	if f.feed != nil {
		f.feed.acknowledged = max(f.feed.acknowledged, b.world.bodyOf(packet).sequence)
	}
}

// handle processes a request that is not a duplicate.
func (b *backend) handle(f *backendFlow, packet *balancer.Packet, received body) {
	reply := body{request: received.request, part: received.part, parts: received.parts}
	switch received.request.kind {
	case kindFeed:
		f.feed = &feed{token: packet.Token}
		b.reply(f, packet, reply)
		b.world.After(notificationInterval, func() { b.notify(f, f.feed, b.incarnation) })
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
			// Only the server that ran the request has the later parts of its answer.
			if received.request.ranOn != b {
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
	case b.busySlots < b.slots:
		b.execute(j)
	case len(b.queue) >= queueLimit:
		b.shed(j)
	default:
		b.queue = append(b.queue, j)
	}
}

func (b *backend) shed(j job) {
	if f := b.flows[j.packet.Flow]; f != nil {
		b.reply(f, j.packet, body{request: j.body.request, result: resultNotRun})
	}
}

func (b *backend) execute(j job) {
	w := b.world
	w.observer.recordQueueTime(w.Now - j.arrived)
	b.busySlots++
	length := w.Between(minServiceTime, maxServiceTime)
	if w.Now-b.started < warmUpTime && b.started > 0 {
		length *= warmUpSlowdown
	}
	incarnation := b.incarnation
	w.observer.recordRun(b, j.body.request)
	w.After(length, func() {
		if !b.up || b.incarnation != incarnation {
			return
		}
		b.busySlots--
		if f := b.flows[j.packet.Flow]; f != nil {
			b.reply(f, j.packet, body{request: j.body.request, part: j.body.part, parts: j.body.parts})
		}
		b.startNext()
	})
}

// startNext starts queued requests while slots are free and sheds those past their deadline.
func (b *backend) startNext() {
	for len(b.queue) > 0 && b.busySlots < b.slots {
		j := b.queue[0]
		b.queue = b.queue[1:]
		if b.world.Now-j.arrived > j.body.request.deadline {
			b.shed(j)
			continue
		}
		b.execute(j)
	}
}

// reply answers a request and stores the answer for duplicates of it.
func (b *backend) reply(f *backendFlow, packet *balancer.Packet, reply body) {
	f.answers[packet.MessageID] = &reply
	b.sendAnswer(packet, reply)
}

func (b *backend) sendAnswer(request *balancer.Packet, reply body) {
	packet := &balancer.Packet{
		Kind:      balancer.Answer,
		Flow:      request.Flow,
		Backend:   b.address,
		MessageID: request.MessageID,
		Token:     request.Token,
		Observe:   reply.request.kind == kindFeed,
	}
	b.world.network.sendToBalancer(b.zone, b.world.attachBody(packet, reply))
}

// notify sends the next notification of a feed and schedules the following one.
func (b *backend) notify(f *backendFlow, subscription *feed, incarnation int) {
	if !b.up || b.incarnation != incarnation || f.feed != subscription {
		return
	}
	if b.world.sessions[f.key] == nil {
		f.feed = nil
		return
	}
	subscription.sequence++
	b.sendNotification(f, subscription, subscription.sequence, 0, incarnation)
	b.world.After(notificationInterval, func() { b.notify(f, subscription, incarnation) })
}

// sendNotification retransmits a notification until it is acknowledged or superseded.
func (b *backend) sendNotification(f *backendFlow, subscription *feed, sequence uint32, attempt int, incarnation int) {
	stale := f.feed != subscription || subscription.acknowledged >= sequence || subscription.sequence > sequence
	if !b.up || b.incarnation != incarnation || stale || attempt > maxRetransmissions {
		return
	}
	if !b.hung {
		packet := &balancer.Packet{
			Kind:        balancer.Answer,
			Flow:        f.key,
			Backend:     b.address,
			MessageID:   uint16(sequence),
			Token:       subscription.token,
			Confirmable: true,
			Observe:     true,
		}
		b.world.network.sendToBalancer(b.zone, b.world.attachBody(packet, body{sequence: sequence}))
	}
	b.world.After(ackTimeout<<attempt, func() { b.sendNotification(f, subscription, sequence, attempt+1, incarnation) })
}

// sendLoadReports sends the utilization to every balancer, after loadReportDelay.
func (b *backend) sendLoadReports() {
	utilization := float64(b.busySlots+len(b.queue)) / float64(b.slots)
	if b.world.falseLoadReports {
		utilization = float64(b.address.Port()%2) * 50
	}
	for _, n := range b.world.nodes {
		b.world.After(loadReportDelay, func() {
			n.receive(&balancer.LoadReport{Backend: b.address, Utilization: utilization})
		})
	}
}
