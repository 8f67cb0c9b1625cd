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

// requestKind says what a caller asks for.
type requestKind int

const (
	kindFeed requestKind = iota
	kindLookup
	kindUpload
)

const (
	// giveUpAfter is when a caller stops waiting for an answer.
	giveUpAfter = 45 * time.Second
	// uploadBlocks is the number of blocks of an upload.
	uploadBlocks = 8
	// longAnswerShare is the share of answers that come in several parts.
	longAnswerShare = 0.1
	longAnswerParts = 3
	// lookupsPerFlow bounds the requests of one flow.
	lookupsPerFlow = 3
	lookupPause    = 300 * time.Millisecond
	// stallTime is the silence after which a feed counts as broken.
	stallTime = 12 * time.Second
)

// request is one thing that a caller asks for, in one or more exchanges.
type request struct {
	kind       requestKind
	repeatable bool
	deadline   time.Duration
	sent       time.Duration
	runs       int
	ranAt      *backend
	outcome    outcome
	toldNotRun bool
}

// outcome is how a request ended for its caller.
type outcome int

const (
	outcomePending outcome = iota
	outcomeAnswered
	outcomeNotRun
	outcomeUnknown
	outcomeTimeout
	outcomeIncomplete
)

// session is one caller's flow.
type session interface {
	// receive takes an answer or notification.
	receive(packet *balancer.Packet, b body)
	// refused takes an answer of a balancer itself.
	refused(packet *balancer.Packet, kind errkind.Kind, retry time.Duration)
}

// exchange is the caller's side of CoAP: one confirmable message at a time,
// repeated until it is answered.
type exchange struct {
	world     *world
	key       flow.Key
	messageID uint16
	token     flow.Token
	open      bool
	// body and flags of the open message.
	body               body
	continues, observe bool
	started            time.Duration
	expired            func()
}

// openFlow takes a new caller's address and makes the session its receiver.
func (w *world) openFlow(service *settings.Service, s session) exchange {
	w.nextCaller++
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], 10<<24|w.nextCaller)
	key := flow.Key{Caller: netip.AddrPortFrom(netip.AddrFrom4(address), 5683), Service: service.Address}
	w.sessions[key] = s
	w.truth.beganAt[key] = w.Now
	return exchange{world: w, key: key, messageID: uint16(w.Random.Uint32())}
}

// send opens a new exchange.
func (e *exchange) send(b body, continues, observe bool, expired func()) {
	e.messageID++
	e.token.Length = 4
	binary.BigEndian.PutUint32(e.token.Bytes[:], uint32(e.messageID))
	e.open = true
	e.body, e.continues, e.observe = b, continues, observe
	e.started = e.world.Now
	e.expired = expired
	e.transmit(e.messageID, 0)
}

func (e *exchange) transmit(messageID uint16, attempt int) {
	if !e.open || e.messageID != messageID {
		return
	}
	w := e.world
	if attempt > repetitions {
		w.At(e.started+giveUpAfter, func() {
			if e.open && e.messageID == messageID {
				e.open = false
				e.expired()
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
	w.network.fromCaller(w.attach(packet, e.body))
	wait := acknowledgeTime << attempt
	w.After(wait+w.Between(0, wait/2), func() { e.transmit(messageID, attempt+1) })
}

// matches closes the exchange when the packet answers it.
func (e *exchange) matches(packet *balancer.Packet) bool {
	if !e.open || packet.Token != e.token {
		return false
	}
	e.open = false
	return true
}

// acknowledge sends an empty acknowledgement of a notification.
func (e *exchange) acknowledge(sequence uint32) {
	packet := &balancer.Packet{Kind: balancer.Control, Flow: e.key, MessageID: uint16(sequence)}
	e.world.network.fromCaller(e.world.attach(packet, body{sequence: sequence}))
}

// feedSession keeps one feed open.
type feedSession struct {
	exchange
	request     *request
	established bool
	source      netip.AddrPort
	lastUpdate  time.Duration
	broken      bool
	feedToken   flow.Token
}

func (w *world) startFeed(service *settings.Service) {
	s := &feedSession{}
	s.exchange = w.openFlow(service, s)
	w.truth.feeds = append(w.truth.feeds, s)
	s.subscribe()
}

func (s *feedSession) subscribe() {
	s.request = s.world.truth.newRequest(kindFeed, true, 0)
	s.send(body{request: s.request}, false, true, s.subscribe)
	s.feedToken = s.token
}

func (s *feedSession) receive(packet *balancer.Packet, b body) {
	if s.matches(packet) && b.result == resultNotRun {
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
		s.source = packet.Backend
	}
	if packet.Backend != s.source || s.world.Now-s.lastUpdate > stallTime && s.lastUpdate > 0 {
		s.broken = true
	}
	s.lastUpdate = s.world.Now
}

func (s *feedSession) refused(packet *balancer.Packet, kind errkind.Kind, retry time.Duration) {
	if s.matches(packet) {
		s.world.After(max(retry, time.Second), s.subscribe)
	}
}

// lookupSession sends a few requests, one after the other.
type lookupSession struct {
	exchange
	service *settings.Service
	left    int
	request *request
}

func (w *world) startLookups(service *settings.Service) {
	s := &lookupSession{service: service, left: 1 + w.Random.IntN(lookupsPerFlow)}
	s.exchange = w.openFlow(service, s)
	s.next()
}

func (s *lookupSession) next() {
	if s.left == 0 {
		return
	}
	s.left--
	s.request = s.world.truth.newRequest(kindLookup, s.service.Repeatable, s.service.RequestDeadline)
	parts := 1
	if s.world.Chance(longAnswerShare) {
		parts = longAnswerParts
	}
	s.send(body{request: s.request, parts: parts}, false, false, func() { s.end(outcomeTimeout) })
}

func (s *lookupSession) end(how outcome) {
	s.world.truth.ended(s.request, how)
	s.world.After(lookupPause, s.next)
}

func (s *lookupSession) receive(packet *balancer.Packet, b body) {
	if !s.matches(packet) {
		return
	}
	if b.request != s.request {
		s.world.truth.wrongAnswers++
	}
	switch {
	case b.result == resultNotRun:
		s.end(outcomeNotRun)
	case b.result == resultIncomplete:
		s.end(outcomeIncomplete)
	case b.part < b.parts-1:
		s.send(body{request: s.request, part: b.part + 1, parts: b.parts}, true, false, func() { s.end(outcomeTimeout) })
	default:
		s.end(outcomeAnswered)
	}
}

func (s *lookupSession) refused(packet *balancer.Packet, kind errkind.Kind, _ time.Duration) {
	if s.matches(packet) {
		s.end(outcomeOf(kind))
	}
}

func outcomeOf(kind errkind.Kind) outcome {
	if kind.Answer().Ran == errkind.RanNo {
		return outcomeNotRun
	}
	return outcomeUnknown
}

// uploadSession sends one upload, block by block.
type uploadSession struct {
	exchange
	request *request
	block   int
}

func (w *world) startUpload(service *settings.Service) {
	s := &uploadSession{request: w.truth.newRequest(kindUpload, service.Repeatable, service.RequestDeadline)}
	s.exchange = w.openFlow(service, s)
	s.sendBlock()
}

func (s *uploadSession) sendBlock() {
	b := body{request: s.request, part: s.block, parts: uploadBlocks}
	s.send(b, s.block > 0, false, func() { s.world.truth.ended(s.request, outcomeTimeout) })
}

func (s *uploadSession) receive(packet *balancer.Packet, b body) {
	if !s.matches(packet) {
		return
	}
	switch b.result {
	case resultContinue:
		s.block++
		s.world.After(s.world.Between(0, 200*time.Millisecond), s.sendBlock)
	case resultOK:
		s.world.truth.ended(s.request, outcomeAnswered)
	case resultNotRun:
		s.world.truth.ended(s.request, outcomeNotRun)
	case resultIncomplete:
		s.world.truth.ended(s.request, outcomeIncomplete)
	}
}

func (s *uploadSession) refused(packet *balancer.Packet, kind errkind.Kind, _ time.Duration) {
	if s.matches(packet) {
		s.world.truth.ended(s.request, outcomeOf(kind))
	}
}
