package tagged

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

const (
	openAttempts           = 3
	openTimeout            = 1400 * time.Millisecond
	initialRetransmitDelay = 200 * time.Millisecond
	maxAttempts            = 3
	requestTimeout         = 5 * time.Second
)

// client sends requests in a loop, over one flow or over a new flow for each request.
type client struct {
	name    string
	zone    string
	ip      netip.Addr
	service netip.AddrPort
	// wantService is the service whose answers are expected.
	wantService string
	reusesFlow  bool
	// repeatable is whether requests may be retried after any failure.
	repeatable   bool
	router       *router
	checker      *checker
	socket       *net.UDPConn
	port         uint16
	requestCount int
	inbox        chan packet
	// openingBalancer is the balancer that the last opening packet went to.
	openingBalancer netip.AddrPort
}

func newClient(name, zone string, ip netip.Addr, clientPort uint16, router *router, checker *checker) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, clientPort)))
	if err != nil {
		return nil, err
	}
	c := &client{name: name, zone: zone, ip: ip, router: router, checker: checker, socket: socket, port: 1024, inbox: make(chan packet, 64)}
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
		p, err := decode(buffer[:length])
		if err != nil || p.flags&flagRST == 0 && !hasValidChecksum(buffer[:length]) {
			c.checker.recordViolation(Mixed, "client receives a packet with a wrong checksum or length")
			continue
		}
		select {
		case c.inbox <- p:
		default:
		}
	}
}

// flow is the client's side of a flow.
type flow struct {
	source   netip.AddrPort
	sequence uint32
	ack      uint32
	tag      uint32
	open     bool
}

// run sends requests until ctx ends, with a random pause around the given one.
func (c *client) run(ctx context.Context, pause time.Duration) {
	var f *flow
	for ctx.Err() == nil {
		c.requestCount++
		request := fmt.Sprintf("%s-%d", c.name, c.requestCount)
		f = c.sendRequest(ctx, f, request)
		if !c.reusesFlow && f != nil {
			c.close(f)
			f = nil
		}
		sleep(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
	}
}

// sendRequest sends one request over f, or over a new flow if f is nil. It returns the flow
// if it is still open, else nil.
func (c *client) sendRequest(ctx context.Context, f *flow, request string) *flow {
	started := time.Now()
	c.checker.addRequest(request)
	opened := false
	for try := 0; try < maxAttempts && time.Since(started) < requestTimeout && ctx.Err() == nil; try++ {
		if f == nil {
			f = c.open()
		}
		if f == nil {
			continue
		}
		opened = true
		if c.router.sabotage == ForgedReset && c.requestCount%100 == 0 {
			c.inbox <- packet{source: c.service, destination: f.source, flags: flagRST}
		}
		reply, ok := c.exchange(f, request, started.Add(requestTimeout))
		if !ok {
			f = nil
			if c.repeatable {
				continue
			}
			break
		}
		reply, closing := cutClosing(reply)
		c.checker.addAnswer(request, reply, c.wantService+" "+request)
		if closing {
			c.close(f)
			return nil
		}
		return f
	}
	switch {
	case ctx.Err() != nil:
		c.checker.addAbandonment(request)
	case !opened:
		c.checker.addRefusal(request)
	}
	return f
}

// open opens a flow. It returns nil if the flow is reset or gets no answer.
func (c *client) open() *flow {
	c.port++
	f := &flow{source: netip.AddrPortFrom(c.ip, c.port), sequence: rand.Uint32()}
	start := time.Now()
	for attempt := range openAttempts {
		c.openingBalancer = c.router.send(c.zone, &packet{source: f.source, destination: c.service, flags: flagSYN, sequence: f.sequence, ack: uint32(attempt)})
		limit := openTimeout - time.Since(start)
		if attempt+1 < openAttempts {
			limit = initialRetransmitDelay << attempt
		}
		p, ok := c.await(f, limit)
		if !ok {
			continue
		}
		if p.flags&flagRST != 0 {
			return nil
		}
		f.open, f.tag, f.ack = true, p.tag, p.sequence+1
		f.sequence++
		c.router.send(c.zone, f.packet(c.service, flagACK, nil))
		return f
	}
	return nil
}

func (f *flow) packet(service netip.AddrPort, flags byte, data []byte) *packet {
	return &packet{source: f.source, destination: service, tag: f.tag, flags: flags, sequence: f.sequence, ack: f.ack, data: data}
}

// exchange sends and retransmits a request until it is answered, the flow is reset or the
// deadline passes. It returns false without an answer.
func (c *client) exchange(f *flow, request string, deadline time.Time) (string, bool) {
	for retransmitDelay := initialRetransmitDelay; time.Now().Before(deadline); retransmitDelay = min(2*retransmitDelay, 8*initialRetransmitDelay) {
		c.router.send(c.zone, f.packet(c.service, flagACK, []byte(request)))
		p, ok := c.await(f, retransmitDelay)
		if !ok {
			continue
		}
		if p.flags&flagRST != 0 {
			c.checker.checkClientReset(f.source)
			return "", false
		}
		if len(p.data) == 0 || p.sequence != f.ack {
			// A packet without data, or a copy of the answer to an earlier request.
			continue
		}
		f.sequence += uint32(len(request))
		f.ack += uint32(len(p.data))
		c.router.send(c.zone, f.packet(c.service, flagACK, nil))
		return string(p.data), true
	}
	return "", false
}

// await returns the next packet of the flow, or false after limit.
func (c *client) await(f *flow, limit time.Duration) (packet, bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case p := <-c.inbox:
			if p.destination != f.source {
				continue
			}
			if p.flags&flagRST == 0 {
				f.tag = p.tag
			}
			return p, true
		case <-timer.C:
			return packet{}, false
		}
	}
}

func (c *client) close(f *flow) {
	c.router.send(c.zone, f.packet(c.service, flagACK|flagFIN, nil))
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
