package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"
)

// badClients is the number of clients with a bad link in runCopies.
const badClients = 6

// Times after a flow's first opening packet. The link of the client loses what comes until firstLoss. It carries
// nothing from the client's first packet until linkBack, so that the client's next two tries are lost too.
const (
	firstLoss = 215 * time.Millisecond
	linkBack  = 1390 * time.Millisecond
	lastTry   = 1400 * time.Millisecond // after the client's first packet: its third further try
)

// runCopies has the operators restart the balancers of a zone in turn: one comes back while the next one is asked to
// stop. Clients of the zone open flows at that moment, over links that lose most of what comes for 1.4 s. It checks
// FLOW.
func runCopies(ctx context.Context, w *world) (broken bool, err error) {
	sleep(ctx, 6*time.Second)
	zone := zones[0]
	back, next := w.fleet.balancers[0], w.fleet.balancers[3]
	var group sync.WaitGroup
	play := func(ports []uint16) {
		for i, port := range ports {
			group.Go(func() {
				if err := w.openBadly(ctx, zone, w.fleet.address(31, byte(1+i)), port); err != nil {
					w.record.say("a client failed: %v", err)
				}
			})
		}
	}
	if !w.trouble {
		play([]uint16{2001, 2002, 2003, 2004, 2005, 2006})
		group.Wait()
		return w.checkWrongResets(), nil
	}
	opened := make(chan struct{})
	w.router.mutex.Lock()
	w.router.onReturn = func(m *member) {
		if m.data != back.data() {
			return
		}
		ports := w.portsFor(zone, back, next)
		w.fleet.signal(next, syscall.SIGTERM)
		w.record.say("balancer %d is asked to stop", next.number)
		sleep(ctx, 150*time.Millisecond)
		play(ports)
		sleep(ctx, 100*time.Millisecond)
		w.record.say("balancer %d is taken in again", back.number)
		w.router.mutex.Lock()
		w.router.onReturn = nil
		w.router.mutex.Unlock()
		close(opened)
	}
	w.router.mutex.Unlock()
	w.record.say("balancer %d is asked to stop", back.number)
	w.fleet.signal(back, syscall.SIGTERM)
	select {
	case <-back.done:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	// The routers have taken it out by now.
	sleep(ctx, 1200*time.Millisecond)
	if err := w.fleet.start(back); err != nil {
		return false, err
	}
	select {
	case <-opened:
	case <-ctx.Done():
		return false, errors.New("the balancer did not come back")
	}
	group.Wait()
	sleep(ctx, time.Second)
	return w.checkWrongResets(), nil
}

// portsFor returns ports whose flows meet another balancer before back is in, then next, and a third one, which was
// not restarted, once next is out.
func (w *world) portsFor(zone string, back, next *balancer) []uint16 {
	before := w.router.eligible(zone)
	var after []*member
	for _, m := range w.router.members {
		if m.zone == zone && (m.data == back.data() || slices.Contains(before, m)) {
			after = append(after, m)
		}
	}
	last := slices.DeleteFunc(slices.Clone(after), func(m *member) bool { return m.data == next.data() })
	var ports []uint16
	for port := uint16(2000); len(ports) < badClients && port < 9000; port++ {
		source := netip.AddrPortFrom(w.fleet.address(31, byte(1+len(ports))), port)
		first, second, third := pick(before, source, lookupRoute).data, pick(after, source, lookupRoute).data, pick(last, source, lookupRoute).data
		if second == next.data() && first != second && third != first && third != back.data() {
			ports = append(ports, port)
		}
	}
	return ports
}

// openBadly opens a flow over a bad link and sends a request on it. The client opens the flow with the first answer
// that reaches it, and returns the echo that it received last.
func (w *world) openBadly(ctx context.Context, zone string, ip netip.Addr, port uint16) error {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, dataPort)))
	if err != nil {
		return err
	}
	defer socket.Close()
	f := &clientFlow{source: netip.AddrPortFrom(ip, port), sequence: rand.Uint32()}
	name := flowName(f.source, lookupRoute)
	began := time.Now()
	send := func(what string, p *packet) {
		p.source, p.destination, p.echo, p.sequence = f.source, lookupRoute, f.echo, f.sequence
		w.record.say("flow %s: %s goes through %s", name, what, w.router.send(zone, p))
	}
	send("the opening packet", &packet{flags: flagSYN})
	w.lose(socket, began.Add(200*time.Millisecond))
	send("its copy", &packet{flags: flagSYN, ack: 1})
	w.lose(socket, began.Add(firstLoss))
	answer, found := w.next(socket, began.Add(590*time.Millisecond))
	if !found || answer.flags&flagSYN == 0 {
		w.record.say("flow %s does not open", name)
		return nil
	}
	f.sequence, f.ack, f.echo = f.sequence+1, answer.sequence+1, answer.echo
	text := []byte("POST /work HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + name + "\r\nContent-Length: 0\r\n\r\n")
	request := &packet{flags: flagACK, ack: f.ack, data: text}
	first := time.Now()
	send("its first packet", request)
	w.lose(socket, began.Add(linkBack))
	for {
		late, found := w.next(socket, first.Add(lastTry))
		if !found {
			break
		}
		f.echo = late.echo
		w.record.add("flow %s: the client gets a packet with flags %d and another echo", name, late.flags)
	}
	send("its first packet, sent again,", request)
	for {
		p, found := w.next(socket, time.Now().Add(time.Second))
		if !found || ctx.Err() != nil {
			return nil
		}
		if p.flags&flagRST != 0 {
			w.record.say("flow %s: the client gets a reset", name)
			return nil
		}
	}
}

// lose drops what arrives until a time.
func (w *world) lose(socket *net.UDPConn, until time.Time) {
	for found := true; found; {
		_, found = w.next(socket, until)
	}
}

// next returns the next packet that arrives before a time.
func (w *world) next(socket *net.UDPConn, until time.Time) (packet, bool) {
	buffer := make([]byte, 2048)
	_ = socket.SetReadDeadline(until)
	length, _, err := socket.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return packet{}, false
	}
	p, _, err := decode(buffer[:length])
	return p, err == nil
}

// checkWrongResets reports whether a server has reset a flow that is open at another one, which lives.
func (w *world) checkWrongResets() bool {
	w.judge.mutex.Lock()
	defer w.judge.mutex.Unlock()
	for _, r := range w.judge.wrongResets {
		w.record.say("FLOW: server %s resets the flow %s, which is open at server %s; its packet came through %s", r.sender.name(), r.flow, r.live.name(), r.through)
	}
	return len(w.judge.wrongResets) > 0
}
