package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	openTimeout     = 1400 * time.Millisecond
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
)

// client is one client of the platform. It receives the packets of all its flows at one socket.
type client struct {
	world  *world
	zone   string
	ip     netip.Addr
	socket *net.UDPConn

	mutex   sync.Mutex
	inboxes map[endpoints]chan received
}

// received is a packet and the address that it was sent from.
type received struct {
	packet
	from netip.AddrPort
}

// clientFlow is a flow at its client.
type clientFlow struct {
	client *client
	key    endpoints
	// next is the position of the client's next data, ack that of the server's.
	next, ack uint32
	echo      uint32
	inbox     chan received
	// server is the server where the flow is open, by its signature.
	server *server
	opened time.Time
	// ended is set once the client has got a reset.
	ended bool
}

// outcome is how a request on an open flow ended.
type outcome string

const (
	answered outcome = "answered"
	reset    outcome = "reset"
	silent   outcome = "no answer"
)

func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		length, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:length])
		if !ok || p.flags&flagRST == 0 && !intact(buffer[:length]) {
			c.world.violation("MIXED: client %v got a packet that its sender did not write that way", c.ip)
			continue
		}
		c.mutex.Lock()
		inbox := c.inboxes[endpoints{p.destination, p.source}]
		c.mutex.Unlock()
		select {
		case inbox <- received{p, from}:
		default:
		}
	}
}

// open opens a flow from a port. It returns nil if no SYN+ACK came.
func (c *client) open(port uint16, route netip.AddrPort) *clientFlow {
	f := &clientFlow{client: c, key: endpoints{netip.AddrPortFrom(c.ip, port), route}, next: rand.Uint32(), inbox: make(chan received, 64)}
	c.mutex.Lock()
	c.inboxes[f.key] = f.inbox
	c.mutex.Unlock()
	begun := time.Now()
	for attempt, limit := range []time.Duration{firstRetransmit, 3 * firstRetransmit, openTimeout} {
		f.send(flagSYN, uint32(attempt), nil)
		for {
			p, ok := f.await(limit - time.Since(begun))
			if !ok {
				break
			}
			if p.flags&flagRST != 0 {
				return nil
			}
			if p.flags&flagSYN != 0 {
				f.next, f.ack, f.opened = f.next+1, p.sequence+1, time.Now()
				f.send(flagACK, f.ack, nil)
				return f
			}
		}
	}
	return nil
}

// await returns the next packet of the flow, or false after a time.
func (f *clientFlow) await(limit time.Duration) (received, bool) {
	select {
	case p := <-f.inbox:
		if p.flags&flagRST == 0 {
			f.echo = p.echo
		}
		return p, true
	case <-time.After(max(limit, 0)):
		return received{}, false
	}
}

func (f *clientFlow) send(flags byte, ack uint32, data []byte) {
	f.client.world.route(f.client.zone, &packet{source: f.key.client, destination: f.key.route, echo: f.echo, flags: flags, sequence: f.next, ack: ack, data: data})
}

// request sends a request and retransmits it until it is answered, the flow is reset or a time has passed.
func (f *clientFlow) request(id string, limit time.Duration) outcome {
	text := []byte(fmt.Sprintf("GET /r HTTP/1.1\r\nHost: site\r\nAttempt-Id: %s\r\n\r\n", id))
	begun := time.Now()
	f.client.world.sent(id)
	for delay := firstRetransmit; time.Since(begun) < limit; delay = min(2*delay, maxRetransmit) {
		f.send(flagACK, f.ack, text)
		for until := time.Now().Add(delay); time.Now().Before(until); {
			p, ok := f.await(time.Until(until))
			switch {
			case !ok:
			case p.flags&flagRST != 0:
				f.ended = true
				f.judgeReset(id, p.from)
				return reset
			case len(p.data) > 0 && p.sequence == f.ack:
				f.next += uint32(len(text))
				f.ack += uint32(len(p.data))
				f.send(flagACK, f.ack, nil)
				f.judgeAnswer(id, string(p.data))
				return answered
			}
		}
	}
	f.client.world.recordf("client %v: request %s on its open flow to %s has no answer after %v", f.key.client, id, f.serverName(), limit)
	return silent
}

func (f *clientFlow) serverName() string {
	if f.server == nil {
		return "an unknown server"
	}
	return f.server.name()
}

// judgeAnswer notes the server of the flow, and checks that the answer belongs to the request.
func (f *clientFlow) judgeAnswer(id, text string) {
	w := f.client.world
	if !strings.HasSuffix(text, " "+id) {
		w.violation("MIXED: request %s on flow %v got the answer %q", id, f.key.client, text)
	}
	_, rest, _ := strings.Cut(text, "Server-Signature: ")
	name, _, _ := strings.Cut(rest, "\r\n")
	if s := w.serverByName(name); f.server == nil {
		f.server = s
	}
}

// judgeReset checks a reset on an open flow by the rule FLOW (a).
func (f *clientFlow) judgeReset(id string, from netip.AddrPort) {
	w := f.client.world
	if f.server != nil && from != f.server.address {
		w.violation("FLOW: request %s: the flow of %v is open at %s (%v), which lives, and its client got a reset from %s",
			id, f.key.client, f.server.name(), f.server.address, w.nameOf(from))
		return
	}
	w.recordf("client %v: request %s: its server reset the flow", f.key.client, id)
}

// close closes the flow at both ends, and reports whether the server has confirmed it.
func (f *clientFlow) close() bool {
	begun := time.Now()
	for delay := firstRetransmit; time.Since(begun) < openTimeout; delay *= 2 {
		f.send(flagFIN|flagACK, f.ack, nil)
		p, ok := f.await(delay)
		if !ok || p.flags&(flagFIN|flagRST) == 0 {
			continue
		}
		f.next++
		f.send(flagACK, p.sequence+1, nil)
		f.client.mutex.Lock()
		delete(f.client.inboxes, f.key)
		f.client.mutex.Unlock()
		return p.flags&flagFIN != 0
	}
	return false
}
