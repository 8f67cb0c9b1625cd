package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is one server of the platform. It answers the requests of its flows straight to the clients.
type server struct {
	id         uint64
	service    string
	zone       string
	address    netip.AddrPort
	clientPort uint16
	work       time.Duration
	born       time.Time
	socket     *net.UDPConn
	record     *record
	// onOpen is called for each first opening packet of a flow, with the balancer that forwarded it.
	onOpen func(s *server, p *packet, from netip.AddrPort)
	// onReset is called for each reset of a flow that the server does not hold, with the balancer that forwarded
	// the packet.
	onReset func(s *server, flow string, from netip.AddrPort)

	mutex sync.Mutex
	flows map[string]*serverFlow
}

// serverFlow is the server's end of a flow.
type serverFlow struct {
	first packet
	// isn is the server's initial sequence number, next what it expects of the client, sent the end of its own
	// data and acked what the client has of it.
	isn, next, sent, acked uint32
	echo                   uint32
	open, closed           bool
	input                  []byte
	unacked                []packet
}

// entry is what a server writes below servers/.
type entry struct {
	Service      string `json:"service"`
	Address      string `json:"address"`
	Zone         string `json:"zone"`
	Version      string `json:"version"`
	Capacity     int    `json:"capacity"`
	State        string `json:"state"`
	WarmupLeftMs int    `json:"warmupLeftMs"`
	CallSeq      int    `json:"callSeq"`
	Born         int64  `json:"born"`
}

func startServer(id uint64, service, zone string, address netip.AddrPort, clientPort uint16, work time.Duration, r *record) (*server, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, address: address, clientPort: clientPort, work: work, born: time.Now(), socket: socket, record: r, flows: map[string]*serverFlow{}}
	go s.serve()
	return s, nil
}

func (s *server) name() string { return fmt.Sprintf("i-%08x", s.id) }

func (s *server) key() string { return "servers/" + s.name() }

func (s *server) entry() entry {
	return entry{Service: s.service, Address: s.address.String(), Zone: s.zone, Version: "v1", Capacity: 2, State: "ready", CallSeq: 1, Born: s.born.UnixMilli()}
}

func (s *server) serve() {
	buffer := make([]byte, 2048)
	for {
		length, from, err := s.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if length < idLength {
			continue
		}
		if meant := binary.BigEndian.Uint64(buffer); meant != 0 && meant != s.id {
			continue
		}
		p, authentic, err := decode(buffer[idLength:length])
		if err != nil || !authentic {
			s.record.add("server %s got a packet that its sender did not write", s.name())
			continue
		}
		s.receive(p, from)
	}
}

func flowName(client, service netip.AddrPort) string { return client.String() + ">" + service.String() }

func (s *server) receive(p packet, from netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	name := flowName(p.source, p.destination)
	f := s.flows[name]
	switch {
	case p.flags&flagSYN != 0:
		if f == nil || f.first.sequence != p.sequence {
			isn := rand.Uint32()
			f = &serverFlow{first: p, isn: isn, next: p.sequence + 1, sent: isn + 1, acked: isn + 1}
			s.flows[name] = f
			s.repeatOpening(f, 200*time.Millisecond, 0)
			s.record.add("server %s (%s) takes flow %s through %s", s.name(), s.service, name, from)
			if s.onOpen != nil {
				s.onOpen(s, &p, from)
			}
		}
		f.echo = p.echo
		s.send(f, flagSYN|flagACK, f.isn, nil)
		return
	case p.flags&flagRST != 0:
		delete(s.flows, name)
		return
	case f == nil || !f.open && p.ack != f.isn+1:
		s.record.add("server %s resets flow %s, which it does not hold", s.name(), name)
		if s.onReset != nil {
			s.onReset(s, name, from)
		}
		s.send(&serverFlow{first: p, next: p.sequence, echo: p.echo}, flagRST, p.ack, nil)
		return
	}
	f.open, f.echo = true, p.echo
	s.acknowledge(f, p.ack)
	if p.flags&flagFIN != 0 {
		f.closed = true
		f.next = p.sequence + uint32(len(p.data)) + 1
		s.send(f, flagACK|flagFIN, f.sent, nil)
		return
	}
	if len(p.data) == 0 {
		return
	}
	if p.sequence == f.next {
		f.next += uint32(len(p.data))
		f.input = append(f.input, p.data...)
		s.takeRequests(f, name)
	}
	s.send(f, flagACK, f.sent, nil)
}

// acknowledge drops what the client has received.
func (s *server) acknowledge(f *serverFlow, ack uint32) {
	if int32(ack-f.acked) <= 0 {
		return
	}
	f.acked = ack
	for len(f.unacked) > 0 && int32(f.unacked[0].sequence+uint32(len(f.unacked[0].data))-ack) <= 0 {
		f.unacked = f.unacked[1:]
	}
}

// takeRequests runs the complete requests in the input of a flow.
func (s *server) takeRequests(f *serverFlow, name string) {
	for {
		head, body, found := bytes.Cut(f.input, []byte("\r\n\r\n"))
		if !found {
			return
		}
		id, length := "", 0
		for line := range strings.SplitSeq(string(head), "\r\n") {
			if value, ok := strings.CutPrefix(line, "Attempt-Id: "); ok {
				id = value
			}
			if value, ok := strings.CutPrefix(line, "Content-Length: "); ok {
				length, _ = strconv.Atoi(value)
			}
		}
		if len(body) < length {
			return
		}
		f.input = append([]byte(nil), body[length:]...)
		s.record.add("server %s runs %s on flow %s", s.name(), id, name)
		time.AfterFunc(s.work/2+time.Duration(rand.Int64N(int64(s.work))), func() { s.answer(f, id) })
	}
}

// answer sends the answer to a request.
func (s *server) answer(f *serverFlow, id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	body := strings.Repeat(id+" ", 2000/(len(id)+1))
	text := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nServer-Signature: %s/%s/%s\r\nContent-Length: %d\r\n\r\n%s", s.name(), s.service, id, len(body), body)
	for len(text) > 0 {
		part := text[:min(len(text), maxData)]
		text = text[len(part):]
		f.unacked = append(f.unacked, packet{sequence: f.sent, data: part})
		s.send(f, flagACK, f.sent, part)
		f.sent += uint32(len(part))
	}
	s.retransmit(f, 200*time.Millisecond, 0)
}

// repeatOpening sends the answer to an opening packet again until the client has it, at most 8 times.
func (s *server) repeatOpening(f *serverFlow, delay time.Duration, tries int) {
	time.AfterFunc(delay, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if f.open || tries == 8 {
			return
		}
		s.send(f, flagSYN|flagACK, f.isn, nil)
		s.repeatOpening(f, min(2*delay, 1600*time.Millisecond), tries+1)
	})
}

// retransmit sends data again until the client has it, at most 8 times.
func (s *server) retransmit(f *serverFlow, delay time.Duration, tries int) {
	end := f.sent
	time.AfterFunc(delay, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if len(f.unacked) == 0 || int32(f.acked-end) >= 0 || tries == 8 {
			return
		}
		for _, p := range f.unacked {
			s.send(f, flagACK, p.sequence, p.data)
		}
		s.retransmit(f, min(2*delay, 1600*time.Millisecond), tries+1)
	})
}

// send sends a packet of a flow to its client. The mutex is held.
func (s *server) send(f *serverFlow, flags byte, sequence uint32, data []byte) {
	p := packet{source: f.first.destination, destination: f.first.source, echo: f.echo, flags: flags, sequence: sequence, ack: f.next, data: data}
	// The client may have closed its socket.
	_, _ = s.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(f.first.source.Addr(), s.clientPort))
}

// holdsOpen reports whether the server holds the flow, opened and not closed by the client.
func (s *server) holdsOpen(name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := s.flows[name]
	return f != nil && f.open && !f.closed
}

// stop ends the server, which says nothing more and holds no flow.
func (s *server) stop() {
	_ = s.socket.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.flows = map[string]*serverFlow{}
}
