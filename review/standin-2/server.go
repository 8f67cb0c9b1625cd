package main

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
	world   *world
	id      uint64
	service string
	zone    string
	address netip.AddrPort
	socket  *net.UDPConn
	born    int64

	mutex sync.Mutex
	flows map[endpoints]*serverFlow
	// left is when the store acknowledged that the server is draining or gone, zero before.
	left time.Time
}

// serverFlow is a flow at its server.
type serverFlow struct {
	clientStart, start uint32
	// next is the position of the next data of the client, sent that of the server's.
	next, sent uint32
	echo       uint32
	open       bool
	ended      bool
	last       []byte
}

// arrival is a packet of a flow that reached a server.
type arrival struct {
	at       time.Time
	server   *server
	balancer netip.AddrPort
	flow     endpoints
	flags    byte
	bytes    int
}

func (s *server) name() string { return fmt.Sprintf("i-%010x", s.id) }

func (s *server) key() string { return "servers/" + s.name() }

// announce writes the server's entry.
func (s *server) announce(state string) time.Time {
	return s.world.store.put(s.key(), map[string]any{
		"service": s.service, "address": s.address.String(), "zone": s.zone, "version": "v1", "capacity": 2,
		"state": state, "warmupLeftMs": 0, "callSeq": 1, "born": s.born,
	})
}

// deregister removes the entry. The server serves on.
func (s *server) deregister() {
	at := s.world.store.remove(s.key())
	s.mutex.Lock()
	s.left = at
	s.mutex.Unlock()
	s.world.recordf("server %s of %s: its entry goes, it serves on", s.name(), s.service)
}

// end ends the server, which loses its flows.
func (s *server) end() {
	s.socket.Close()
	s.world.recordf("server %s ends", s.name())
}

func (s *server) leftAt() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.left
}

func (s *server) serve() {
	buffer := make([]byte, 2048)
	for {
		length, balancer, err := s.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if length < idLength {
			continue
		}
		if meant := binary.BigEndian.Uint64(buffer); meant != 0 && meant != s.id {
			// Not the server meant: silent.
			continue
		}
		p, ok := decode(buffer[idLength:length])
		if !ok || !intact(buffer[idLength:length]) {
			s.world.violation("UNASKED: server %s got a packet that its sender did not write that way", s.name())
			continue
		}
		s.world.arrived(arrival{time.Now(), s, balancer, endpoints{p.source, p.destination}, p.flags, len(p.data)})
		s.handle(&p)
	}
}

func (s *server) handle(p *packet) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := endpoints{p.source, p.destination}
	f := s.flows[key]
	switch {
	case p.flags&flagSYN != 0:
		if f == nil || f.ended || f.clientStart != p.sequence {
			start := rand.Uint32()
			f = &serverFlow{clientStart: p.sequence, start: start, next: p.sequence + 1, sent: start + 1}
			s.flows[key] = f
		}
		f.echo = p.echo
		s.send(p, f, flagSYN|flagACK, f.start, nil)
	case f == nil || !f.open && p.ack != f.start+1 || f.ended && len(p.data) > 0:
		s.world.recordf("server %s does not hold flow %v: RST", s.name(), key.client)
		s.world.resetBy(s, key)
		s.send(p, &serverFlow{echo: p.echo, next: p.sequence + uint32(len(p.data))}, flagRST, p.ack, nil)
	case p.flags&flagRST != 0:
		delete(s.flows, key)
	default:
		f.open, f.echo = true, p.echo
		if len(p.data) > 0 {
			s.takeData(p, f)
		}
		if p.flags&flagFIN != 0 {
			f.ended = true
			s.send(p, f, flagFIN|flagACK, f.sent, nil)
		}
	}
}

// takeData runs a request, which fills one packet here, or repeats the answer to it.
func (s *server) takeData(p *packet, f *serverFlow) {
	switch p.sequence {
	case f.next:
		f.next += uint32(len(p.data))
		id := attemptOf(string(p.data))
		s.world.ran(s, id)
		body := s.service + " " + id
		f.last = []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", s.name(), len(body), body))
		s.send(p, f, flagACK, f.sent, f.last)
		f.sent += uint32(len(f.last))
	case f.next - uint32(len(p.data)):
		s.send(p, f, flagACK, f.sent-uint32(len(f.last)), f.last)
	}
}

// attemptOf returns the Attempt-Id of a request.
func attemptOf(request string) string {
	_, rest, _ := strings.Cut(request, "Attempt-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

func (s *server) send(p *packet, f *serverFlow, flags byte, sequence uint32, data []byte) {
	reply := packet{source: p.destination, destination: p.source, echo: f.echo, flags: flags, sequence: sequence, ack: f.next, data: data}
	// Errors are ignored: the client may have ended.
	_, _ = s.socket.WriteToUDPAddrPort(reply.encode(), netip.AddrPortFrom(p.source.Addr(), dataPort))
}
