package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

const (
	openTimeout = 1400 * time.Millisecond
	firstCopy   = 200 * time.Millisecond
	secondCopy  = 600 * time.Millisecond
	// resetWindow is how far from the client's last acknowledgement a reset's sequence may be.
	resetWindow = 76800
	// maxRetries is the number of further tries of a request.
	maxRetries = 2
	deadline   = 3 * time.Second
	// maxFlowAge is well below flowTtlS.
	maxFlowAge = 30 * time.Second
)

// client is a machine that sends requests one after the other.
type client struct {
	name, zone string
	ip         netip.Addr
	route      netip.AddrPort
	service    string
	// keepsFlow is set if one flow carries many requests. repeatable is set if a request may be sent again after
	// any failure.
	keepsFlow, repeatable bool
	pause                 time.Duration
	router                *router
	record                *record
	judge                 *judge
	socket                *net.UDPConn
	inbox                 chan received
	port                  uint16
	requests              int
}

type received struct {
	packet
	// bySystem is set for a reset of a balancer.
	bySystem bool
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	source        netip.AddrPort
	sequence, ack uint32
	echo          uint32
	openedAt      time.Time
	// balancer is the one that the last packet went to.
	balancer netip.AddrPort
}

func newClient(name, zone string, ip netip.Addr, port uint16, r *router, rec *record, j *judge) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, port)))
	if err != nil {
		return nil, err
	}
	c := &client{name: name, zone: zone, ip: ip, router: r, record: rec, judge: j, socket: socket, inbox: make(chan received, 256), port: uint16(1024 + rand.IntN(1000))}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		length, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, authentic, err := decode(buffer[:length])
		bySystem := err == nil && !authentic && p.flags == flagRST && length == headerLength && binary.BigEndian.Uint32(buffer[27:]) == 0
		if err != nil || !authentic && !bySystem {
			c.record.add("client %s got a packet that its sender did not write", c.name)
			continue
		}
		select {
		case c.inbox <- received{p, bySystem}:
		default:
		}
	}
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	var f *clientFlow
	for ctx.Err() == nil {
		f = c.request(ctx, f)
		if f != nil && (!c.keepsFlow || time.Since(f.openedAt) > maxFlowAge) {
			c.send(f, flagACK|flagFIN, nil)
			f = nil
		}
		f = c.rest(ctx, f, c.pause/2+time.Duration(rand.Int64N(int64(c.pause))))
	}
	if f != nil {
		c.send(f, flagACK|flagFIN, nil)
	}
}

// rest waits between two requests, and returns the flow, or nil if it was reset meanwhile.
func (c *client) rest(ctx context.Context, f *clientFlow, length time.Duration) *clientFlow {
	timer := time.NewTimer(length)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return f
		case <-timer.C:
			return f
		case p := <-c.inbox:
			if f != nil && p.destination == f.source && c.isReset(f, p) {
				f = nil
			}
		}
	}
}

// isReset reports whether the client accepts a packet as the reset of its open flow, and has it judged.
func (c *client) isReset(f *clientFlow, p received) bool {
	if p.flags&flagRST == 0 || p.bySystem && p.sequence-f.ack+resetWindow > 2*resetWindow {
		return false
	}
	name := flowName(f.source, c.route)
	if p.bySystem {
		c.record.add("client %s: its open flow %s is reset by the system, last packet through %s", c.name, name, f.balancer)
		c.judge.systemReset(name, f.balancer)
	} else {
		c.record.add("client %s: its open flow %s is reset by a server", c.name, name)
	}
	return true
}

// request sends one request, on f or on a new flow if f is nil, with further tries as PROTOCOL.md allows. It
// returns the flow if it is still open.
func (c *client) request(ctx context.Context, f *clientFlow) *clientFlow {
	c.requests++
	began := time.Now()
	for try := 0; try <= maxRetries && ctx.Err() == nil && time.Since(began) < deadline; try++ {
		id := fmt.Sprintf("%s-%d-%d", c.name, c.requests, try)
		c.record.add("client %s sends %s to %s", c.name, id, c.route)
		sent := time.Now()
		if f == nil {
			if f = c.open(ctx); f == nil {
				c.record.add("client %s: %s is refused or unanswered, no flow", c.name, id)
				c.judge.ended(c.route, sent, "no flow")
				continue
			}
		}
		if outcome := c.exchange(ctx, f, id, began.Add(deadline)); outcome != "answered" {
			c.record.add("client %s: %s is %s", c.name, id, outcome)
			c.judge.ended(c.route, sent, outcome)
			f = nil
			if c.repeatable {
				continue
			}
			return nil
		}
		c.record.add("client %s: %s is answered with 200", c.name, id)
		c.judge.ended(c.route, sent, "answered")
		return f
	}
	return f
}

// open opens a flow from a new port, nil if it is reset or not answered.
func (c *client) open(ctx context.Context) *clientFlow {
	c.port++
	f := &clientFlow{source: netip.AddrPortFrom(c.ip, c.port), sequence: rand.Uint32()}
	began := time.Now()
	for attempt, until := range []time.Duration{firstCopy, secondCopy, openTimeout} {
		syn := &packet{source: f.source, destination: c.route, flags: flagSYN, sequence: f.sequence, ack: uint32(attempt)}
		f.balancer = c.router.send(c.zone, syn)
		for {
			p, ok := c.await(ctx, f, time.Until(began.Add(until)))
			if !ok {
				break
			}
			if p.flags&flagRST != 0 {
				c.record.add("client %s: opening %s is reset, through %s", c.name, flowName(f.source, c.route), f.balancer)
				return nil
			}
			if p.flags&flagSYN != 0 {
				f.sequence, f.ack, f.echo, f.openedAt = f.sequence+1, p.sequence+1, p.echo, time.Now()
				return f
			}
		}
	}
	return nil
}

// exchange sends a request and reads its answer. It returns "answered", "reset", "wrong" or "unanswered".
func (c *client) exchange(ctx context.Context, f *clientFlow, id string, until time.Time) string {
	text := []byte("POST /work HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
	c.send(f, flagACK, text)
	delay, acked := firstCopy, false
	next := time.Now().Add(delay)
	var answer []byte
	for time.Now().Before(until) && ctx.Err() == nil {
		p, ok := c.await(ctx, f, min(time.Until(next), time.Until(until)))
		if !ok {
			if !acked && time.Now().After(next) {
				c.send(f, flagACK, text)
				delay = min(2*delay, 1600*time.Millisecond)
				next = time.Now().Add(delay)
			} else if acked {
				next = until
			}
			continue
		}
		if c.isReset(f, p) {
			return "reset"
		}
		if p.flags&flagSYN != 0 || p.flags&flagRST != 0 {
			continue
		}
		f.echo = p.echo
		if p.ack == f.sequence+uint32(len(text)) && !acked {
			acked = true
			f.sequence += uint32(len(text))
		}
		if len(p.data) > 0 && p.sequence == f.ack {
			answer = append(answer, p.data...)
			f.ack += uint32(len(p.data))
		}
		if len(p.data) > 0 {
			c.send(f, flagACK, nil)
		}
		if done, right := isAnswer(answer, c.service, id); done && acked {
			if !right {
				return "wrong"
			}
			return "answered"
		}
	}
	return "unanswered"
}

// isAnswer reports whether text is a whole answer, and whether it is that of the service to the request.
func isAnswer(text []byte, service, id string) (done, right bool) {
	head, body, found := bytes.Cut(text, []byte("\r\n\r\n"))
	if !found {
		return false, false
	}
	length := -1
	for line := range strings.SplitSeq(string(head), "\r\n") {
		if value, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			length, _ = strconv.Atoi(value)
		}
		if value, ok := strings.CutPrefix(line, "Server-Signature: "); ok {
			right = strings.HasSuffix(value, "/"+service+"/"+id)
		}
	}
	return len(body) >= length && length >= 0, right
}

func (c *client) send(f *clientFlow, flags byte, data []byte) {
	f.balancer = c.router.send(c.zone, &packet{source: f.source, destination: c.route, echo: f.echo, flags: flags, sequence: f.sequence, ack: f.ack, data: data})
}

// await returns the next packet of the flow, or false after a time.
func (c *client) await(ctx context.Context, f *clientFlow, length time.Duration) (received, bool) {
	timer := time.NewTimer(max(length, 0))
	defer timer.Stop()
	for {
		select {
		case p := <-c.inbox:
			if p.destination == f.source {
				return p, true
			}
		case <-timer.C:
			return received{}, false
		case <-ctx.Done():
			return received{}, false
		}
	}
}
