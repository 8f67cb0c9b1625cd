package tagged

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// server is one server of the platform.
type server struct {
	id uint64
	// startedAt is the start time, which its entry has in Unix milliseconds.
	startedAt time.Time
	service   string
	zone      string
	address   netip.AddrPort
	// clientPort is the port at which clients receive packets.
	clientPort uint16
	socket     *net.UDPConn
	store      *Store
	checker    *checker
	links      *links
	sabotage   Sabotage

	mutex    sync.Mutex
	draining bool
	// stopped is set once the server has stopped or crashed.
	stopped bool
	// announced is the state in its entry, empty without an entry.
	announced string
	flows     map[netip.AddrPort]*serverFlow
}

// serverFlow is the server's side of a flow.
type serverFlow struct {
	sequence uint32
	tag      uint32
	// next is the sequence number of the next answer.
	next    uint32
	answers map[string]serverAnswer
}

// serverAnswer is an answer and its sequence number in the flow.
type serverAnswer struct {
	text     string
	sequence uint32
}

// answerTo returns the answer to a request, and whether it is new: a repeated request gets
// its earlier answer.
func (f *serverFlow) answerTo(request, text string) (answer serverAnswer, isNew bool) {
	if earlier, known := f.answers[request]; known {
		return earlier, false
	}
	answer = serverAnswer{text, f.next}
	f.answers[request] = answer
	f.next += uint32(len(text))
	return answer, true
}

// issued reports whether the server has issued the sequence number on the flow. A packet that
// acknowledges another one belongs to a flow that opened at another server.
func (f *serverFlow) issued(position uint32) bool {
	return position-f.sequence <= f.next-f.sequence && position != f.sequence
}

// entry is a server's entry in the store.
type entry struct {
	Service   string `json:"service"`
	Address   string `json:"address"`
	Zone      string `json:"zone"`
	Version   string `json:"version"`
	Capacity  int    `json:"capacity"`
	State     string `json:"state"`
	WarmUp    int    `json:"warmupLeftMs"`
	Sequence  int    `json:"callSeq"`
	StartedAt int64  `json:"born"`
}

// stateReady is the state of a server that takes new flows.
const stateReady = "ready"

func newServer(id uint64, service, zone string, address netip.AddrPort, clientPort uint16, w *World) (*server, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	s := &server{id: id, startedAt: time.Now(), service: service, zone: zone, address: address, clientPort: clientPort, socket: socket, store: w.store, checker: w.checker, links: w.links,
		sabotage: w.config.Sabotage, flows: map[netip.AddrPort]*serverFlow{}}
	s.announce(stateReady)
	go s.serve()
	return s, nil
}

func (s *server) key() string { return fmt.Sprintf("servers/i-%010x", s.id) }

// announce writes the entry with the given state.
func (s *server) announce(state string) {
	s.mutex.Lock()
	s.announced = state
	s.mutex.Unlock()
	service := s.service
	if s.sabotage == WrongService && service == ingestService {
		service = feedService
	}
	s.store.Put(s.key(), entry{Service: service, Address: s.address.String(), Zone: s.zone, Version: "v1", Capacity: 2, State: state, StartedAt: s.startedAt.UnixMilli()})
}

// removeEntry removes the entry from the store.
func (s *server) removeEntry() {
	s.mutex.Lock()
	s.announced = ""
	s.mutex.Unlock()
	s.store.Remove(s.key())
}

// state returns the state in the server's entry, empty without an entry.
func (s *server) state() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.announced
}

// drain announces the state draining; the server still serves its flows.
func (s *server) drain() {
	s.mutex.Lock()
	stopped := s.stopped
	s.draining = true
	s.mutex.Unlock()
	if stopped {
		return
	}
	if s.sabotage != HiddenDrain {
		s.announce("draining")
	}
	s.checker.recordLeaving(s)
}

// undrain announces that the server takes new flows again.
func (s *server) undrain() {
	s.mutex.Lock()
	stopped := s.stopped
	s.draining = false
	s.mutex.Unlock()
	if stopped {
		return
	}
	s.announce(stateReady)
	s.checker.recordReturn(s)
}

// deregister removes the entry; the server still serves its flows.
func (s *server) deregister() {
	if s.sabotage != HiddenDrain {
		s.removeEntry()
	}
	s.checker.recordLeaving(s)
}

// stop stops the server and removes its entry.
func (s *server) stop() {
	s.checker.recordEnd(s)
	s.mutex.Lock()
	s.stopped = true
	s.mutex.Unlock()
	s.removeEntry()
	s.socket.Close()
}

// crash stops the server without notice; its entry stays until it expires.
func (s *server) crash() {
	s.checker.recordEnd(s)
	s.checker.recordLeaving(s)
	s.mutex.Lock()
	s.announced, s.stopped = "", true
	s.mutex.Unlock()
	s.socket.Close()
}

func (s *server) serve() {
	buffer := make([]byte, 2048)
	for {
		length, balancer, err := s.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if s.links.get(balancer).dropsOutward() {
			continue
		}
		if length < idLength {
			s.checker.recordViolation(Unasked, "datagram too short for a server identifier")
			continue
		}
		if targetID := binary.BigEndian.Uint64(buffer); targetID != 0 && targetID != s.id {
			continue
		}
		datagram := buffer[idLength:length]
		if !hasValidChecksum(datagram) {
			s.checker.recordViolation(Unasked, "packet with a wrong checksum")
			continue
		}
		if p, err := decode(datagram); err == nil {
			s.handle(&p, balancer)
		}
	}
}

// handle handles one packet of a flow.
func (s *server) handle(p *packet, balancer netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := s.flows[p.source]
	switch {
	case p.flags&flagSYN != 0:
		s.checker.checkOpening(s, p, balancer)
		if f == nil {
			sequence := rand.Uint32()
			f = &serverFlow{sequence: sequence, next: sequence + 1, answers: map[string]serverAnswer{}}
			s.flows[p.source] = f
		}
		f.tag = p.tag
		s.send(p, f, flagSYN|flagACK)
	case f == nil || !f.issued(p.ack):
		s.checker.checkServerReset(s, p.source)
		s.send(p, &serverFlow{tag: p.tag}, flagRST)
	case p.flags&flagFIN != 0:
		delete(s.flows, p.source)
	case len(p.data) > 0:
		f.tag = p.tag
		s.answer(p, f)
	default:
		f.tag = p.tag
		s.checker.checkPinned(s, p.source)
	}
}

// answer runs a new request, and sends the answer for each copy of it.
func (s *server) answer(p *packet, f *serverFlow) {
	s.checker.checkPinned(s, p.source)
	request := string(p.data)
	text := s.service + " " + request
	if s.sabotage == WrongBody {
		text = s.service + " another answer"
	}
	if s.draining {
		text += closingSuffix
	}
	answer, isNew := f.answerTo(request, text)
	if isNew {
		s.checker.addRun(s, request)
		if s.sabotage == RunTwice {
			s.checker.addRun(s, request)
		}
	}
	time.Sleep(time.Millisecond)
	s.sendAt(p, f, answer.sequence, flagACK, []byte(answer.text))
}

// send replies to a packet without data.
func (s *server) send(p *packet, f *serverFlow, flags byte) {
	s.sendAt(p, f, f.sequence, flags, nil)
}

func (s *server) sendAt(p *packet, f *serverFlow, sequence uint32, flags byte, data []byte) {
	reply := packet{
		source: p.destination, destination: p.source, tag: f.tag, flags: flags,
		sequence: sequence, ack: p.sequence + uint32(len(p.data)), data: data,
	}
	// Write errors are ignored: the client may have closed its socket.
	_, _ = s.socket.WriteToUDPAddrPort(reply.encode(), netip.AddrPortFrom(p.source.Addr(), s.clientPort))
}

// closingSuffix ends an answer after which the flow is to be closed.
const closingSuffix = " closing"

// cutClosing cuts closingSuffix off the answer and reports whether it was there.
func cutClosing(reply string) (string, bool) {
	return strings.CutSuffix(reply, closingSuffix)
}
