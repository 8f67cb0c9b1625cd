package sim

import (
	"encoding/binary"
	"net/netip"
	"time"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

// requestKind is the kind of service that a request uses.
type requestKind int

const (
	kindFeed requestKind = iota
	kindLookup
	kindUpload
)

const (
	// exchangeTimeout is the time after which a caller stops waiting for an answer.
	exchangeTimeout = 45 * time.Second
	// uploadBlocks is the number of blocks of an upload.
	uploadBlocks = 8
	// multipartShare is the share of answers that have multipartParts parts.
	multipartShare = 0.1
	multipartParts = 3
	// maxLookupsPerFlow is the maximum number of requests of one flow.
	maxLookupsPerFlow = 3
	lookupPause       = 300 * time.Millisecond
	// feedTimeout is the silence after which a feed counts as broken.
	feedTimeout = 12 * time.Second
)

// request is a caller's request, which may take several exchanges.
type request struct {
	kind           requestKind
	repeatable     bool
	deadline       time.Duration
	sent           time.Duration
	runs           int
	ranOn          *backend
	outcome        outcome
	reportedNotRun bool
}

// outcome is the result of a request as its caller sees it.
type outcome int

const (
	outcomePending outcome = iota
	outcomeAnswered
	outcomeNotRun
	outcomeUnknown
	outcomeTimeout
	outcomeIncomplete
)

// session is the caller's side of one flow.
type session interface {
	// receive processes an answer or a notification from a back end.
	receive(packet *balancer.Packet, b body)
	// receiveError processes an error answer of a balancer.
	receiveError(packet *balancer.Packet, kind errkind.Kind, retry time.Duration)
}

// exchange implements the caller's side of CoAP: one confirmable message at a time,
// retransmitted until it is answered.
type exchange struct {
	world     *world
	key       flow.Key
	messageID uint16
	token     flow.Token
	open      bool
	// The payload and flags of the open message.
	body               body
	continues, observe bool
	started            time.Duration
	onTimeout          func()
}

// openFlow allocates a caller address and registers the session for its flow.
func (w *world) openFlow(service *settings.Service, s session) exchange {
	w.callerCount++
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], 10<<24|w.callerCount)
	key := flow.Key{Caller: netip.AddrPortFrom(netip.AddrFrom4(address), 5683), Service: service.Address}
	w.sessions[key] = s
	w.observer.openedAt[key] = w.Now
	return exchange{world: w, key: key, messageID: uint16(w.Random.Uint32())}
}

// send starts a new exchange; onTimeout is called if it gets no answer.
func (e *exchange) send(b body, continues, observe bool, onTimeout func()) {
	e.messageID++
	e.token.Length = 4
	binary.BigEndian.PutUint32(e.token.Bytes[:], uint32(e.messageID))
	e.open = true
	e.body, e.continues, e.observe = b, continues, observe
	e.started = e.world.Now
	e.onTimeout = onTimeout
	e.transmit(e.messageID, 0)
}

func (e *exchange) transmit(messageID uint16, attempt int) {
	if !e.open || e.messageID != messageID {
		return
	}
	w := e.world
	if attempt > maxRetransmissions {
		w.At(e.started+exchangeTimeout, func() {
			if e.open && e.messageID == messageID {
				e.open = false
				e.onTimeout()
			}
		})
		return
	}
	packet := &balancer.Packet{
		Kind:        balancer.Request,
		Flow:        e.key,
		MessageID:   messageID,
		Token:       e.token,
		Confirmable: true,
		Continues:   e.continues,
		Observe:     e.observe,
	}
	w.network.sendFromCaller(w.attachBody(packet, e.body))
	wait := ackTimeout << attempt
	w.After(wait+w.Between(0, wait/2), func() { e.transmit(messageID, attempt+1) })
}

// accept closes the open exchange and returns true if the packet answers it.
func (e *exchange) accept(packet *balancer.Packet) bool {
	if !e.open || packet.Token != e.token {
		return false
	}
	e.open = false
	return true
}

// acknowledge sends an empty acknowledgement of a notification.
func (e *exchange) acknowledge(sequence uint32) {
	packet := &balancer.Packet{Kind: balancer.Control, Flow: e.key, MessageID: uint16(sequence)}
	e.world.network.sendFromCaller(e.world.attachBody(packet, body{sequence: sequence}))
}

// feedSession subscribes to a feed and detects a change of back end and missing notifications.
type feedSession struct {
	exchange
	request     *request
	established bool
	backend     netip.AddrPort
	lastUpdate  time.Duration
	broken      bool
	feedToken   flow.Token
}

func (w *world) startFeed(service *settings.Service) {
	s := &feedSession{}
	s.exchange = w.openFlow(service, s)
	w.observer.feeds = append(w.observer.feeds, s)
	s.subscribe()
}

func (s *feedSession) subscribe() {
	s.request = s.world.observer.newRequest(kindFeed, true, 0)
	s.send(body{request: s.request}, false, true, s.subscribe)
	s.feedToken = s.token
}

func (s *feedSession) receive(packet *balancer.Packet, b body) {
	if s.accept(packet) && b.result == resultNotRun {
		s.world.After(time.Second, s.subscribe)
		return
	}
	if packet.Token != s.feedToken {
		return
	}
	if packet.Confirmable {
		s.acknowledge(b.sequence)
	}
	if !s.established {
		s.established = true
		s.backend = packet.Backend
	}
	if packet.Backend != s.backend || s.world.Now-s.lastUpdate > feedTimeout && s.lastUpdate > 0 {
		s.broken = true
	}
	s.lastUpdate = s.world.Now
}

func (s *feedSession) receiveError(packet *balancer.Packet, kind errkind.Kind, retry time.Duration) {
	if s.accept(packet) {
		s.world.After(max(retry, time.Second), s.subscribe)
	}
}

// lookupSession sends a few lookups in sequence.
type lookupSession struct {
	exchange
	service   *settings.Service
	remaining int
	request   *request
}

func (w *world) startLookups(service *settings.Service) {
	s := &lookupSession{service: service, remaining: 1 + w.Random.IntN(maxLookupsPerFlow)}
	s.exchange = w.openFlow(service, s)
	s.sendNext()
}

func (s *lookupSession) sendNext() {
	if s.remaining == 0 {
		return
	}
	s.remaining--
	s.request = s.world.observer.newRequest(kindLookup, s.service.Repeatable, s.service.RequestDeadline)
	parts := 1
	if s.world.Chance(multipartShare) {
		parts = multipartParts
	}
	s.send(body{request: s.request, parts: parts}, false, false, func() { s.finish(outcomeTimeout) })
}

func (s *lookupSession) finish(final outcome) {
	s.world.observer.recordOutcome(s.request, final)
	s.world.After(lookupPause, s.sendNext)
}

func (s *lookupSession) receive(packet *balancer.Packet, b body) {
	if !s.accept(packet) {
		return
	}
	if b.request != s.request {
		s.world.observer.wrongAnswers++
	}
	switch {
	case b.result == resultNotRun:
		s.finish(outcomeNotRun)
	case b.result == resultIncomplete:
		s.finish(outcomeIncomplete)
	case b.part < b.parts-1:
		s.send(body{request: s.request, part: b.part + 1, parts: b.parts}, true, false, func() { s.finish(outcomeTimeout) })
	default:
		s.finish(outcomeAnswered)
	}
}

func (s *lookupSession) receiveError(packet *balancer.Packet, kind errkind.Kind, _ time.Duration) {
	if s.accept(packet) {
		s.finish(outcomeOf(kind))
	}
}

func outcomeOf(kind errkind.Kind) outcome {
	if kind.Answer().Ran == errkind.RanNo {
		return outcomeNotRun
	}
	return outcomeUnknown
}

// uploadSession sends one upload in blocks.
type uploadSession struct {
	exchange
	request *request
	block   int
}

func (w *world) startUpload(service *settings.Service) {
	s := &uploadSession{request: w.observer.newRequest(kindUpload, service.Repeatable, service.RequestDeadline)}
	s.exchange = w.openFlow(service, s)
	s.sendBlock()
}

func (s *uploadSession) sendBlock() {
	b := body{request: s.request, part: s.block, parts: uploadBlocks}
	s.send(b, s.block > 0, false, func() { s.world.observer.recordOutcome(s.request, outcomeTimeout) })
}

func (s *uploadSession) receive(packet *balancer.Packet, b body) {
	if !s.accept(packet) {
		return
	}
	switch b.result {
	case resultContinue:
		s.block++
		s.world.After(s.world.Between(0, 200*time.Millisecond), s.sendBlock)
	case resultOK:
		s.world.observer.recordOutcome(s.request, outcomeAnswered)
	case resultNotRun:
		s.world.observer.recordOutcome(s.request, outcomeNotRun)
	case resultIncomplete:
		s.world.observer.recordOutcome(s.request, outcomeIncomplete)
	}
}

func (s *uploadSession) receiveError(packet *balancer.Packet, kind errkind.Kind, _ time.Duration) {
	if s.accept(packet) {
		s.world.observer.recordOutcome(s.request, outcomeOf(kind))
	}
}
