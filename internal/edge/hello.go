package edge

import (
	"bytes"
	"context"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gaugeyard/internal/codec"
	"gaugeyard/internal/directory"
	"gaugeyard/internal/peers"
	"gaugeyard/internal/steering"
)

// peerAddress returns the address for datagrams to another balancer.
func (n *Node) peerAddress(control netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(control.Addr(), n.config().PeerPort)
}

// sendHellos sends rounds of hellos until ctx ends. While this balancer has no state, the interval is short
// and hellos request replies.
func (n *Node) sendHellos(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.stop:
			pause(ctx, peers.HelloInterval)
		case <-n.urgentReports:
			n.sendUrgentReport()
			continue
		case inquiries := <-n.inquiries:
			n.sendInquiries(inquiries)
			continue
		case <-n.announcements:
		case <-timer.C:
		}
		timer.Reset(n.sendRound())
	}
}

// sendRound sends one round of hellos and returns when the next one is due.
func (n *Node) sendRound() time.Duration {
	n.stateMutex.Lock()
	now := n.now()
	n.peers.Forget(now)
	n.introduceSeeds(now)
	initialized := n.directory.Revision() > 0
	hello := n.hello(now)
	n.completeHello(now, hello)
	interval, targets := peers.HelloInterval, []peers.Target(nil)
	if n.peers.NeedsUrgentRound(now, initialized) {
		interval, targets = peers.UrgentInterval, n.peers.UrgentRound()
	} else {
		targets = n.peers.Round(now, len(hello.Loads))
	}
	n.stateMutex.Unlock()
	short := hello.Short()
	for _, target := range targets {
		message := short
		if target.Full {
			message = hello
		}
		message.ReplyRequested = target.ReplyRequested
		n.sendHello(message, target.Control)
	}
	return interval
}

// sendUrgentReport sends what is known of failing and unresponsive back ends to all live peers. It does
// not delay the next round.
func (n *Node) sendUrgentReport() {
	n.stateMutex.Lock()
	now := n.now()
	hello, targets := n.hello(now), n.peers.AllLive(now)
	n.steeringMutex.Lock()
	hello.Suspects = n.steerer.Suspects(now, peers.MaxSuspects)
	hello.UnresponsiveReports = n.steerer.UnresponsiveReports(now, peers.MaxUnresponsiveReports)
	hello.Failures = peers.FailuresOf(n.steerer.Failures(peers.MaxFailures))
	n.steeringMutex.Unlock()
	n.stateMutex.Unlock()
	for _, target := range targets {
		n.sendHello(hello, target.Control)
	}
}

// sendInquiries sends inquiries about the back ends of flows to all live peers.
func (n *Node) sendInquiries(inquiries []steering.Inquiry) {
	n.stateMutex.Lock()
	now := n.now()
	hello, targets := n.hello(now), n.peers.AllLive(now)
	n.stateMutex.Unlock()
	hello.Inquiries = inquiries
	for _, target := range targets {
		n.sendHello(hello, target.Control)
	}
}

// announce requests an immediate round of hellos, after a change that other balancers wait for. It never
// blocks.
func (n *Node) announce() {
	select {
	case n.announcements <- struct{}{}:
	default:
	}
}

// introduceSeeds adds the seeds to the peer table while few peers are known. The state mutex must be held.
func (n *Node) introduceSeeds(now time.Duration) {
	if !n.peers.NeedsSeeds(now) {
		return
	}
	for _, seed := range n.config().Seeds {
		n.peers.Introduce(now, peers.Introduction{Control: seed})
	}
}

// hello returns a hello that describes this balancer, without other balancers and loads. The state mutex
// must be held.
func (n *Node) hello(now time.Duration) *peers.Hello {
	return &peers.Hello{
		Control:          n.config().advertised(),
		Zone:             n.config().Zone,
		Started:          n.started.UnixNano(),
		Leaving:          n.leaving.Load(),
		StoreUnavailable: n.storeUnavailable.Load(),
		Revision:         n.directory.Revision(),
		HasSummary:       n.offersSummary(),
		StoreAge:         n.staleness(),
		Capacity:         n.config().capacity(),
	}
}

// completeHello makes a hello a full one, with other balancers and the loads of back ends, and updates the
// steerer with the loads that peers reported. The state mutex must be held.
func (n *Node) completeHello(now time.Duration, hello *peers.Hello) {
	n.steeringMutex.Lock()
	defer n.steeringMutex.Unlock()
	n.steerer.SetPeerLoads(n.peers.Loads(now))
	n.steerer.SetMembership(n.peers.Membership(now))
	hello.Introductions, hello.Full = n.peers.Sample(now), true
	hello.Suspects = n.steerer.Suspects(now, peers.MaxSuspects)
	hello.UnresponsiveReports = n.steerer.UnresponsiveReports(now, peers.MaxUnresponsiveReports)
	hello.Failures = peers.FailuresOf(n.steerer.Failures(peers.MaxFailures))
	hello.Baselines = n.steerer.Baselines(peers.MaxBaselines)
	hello.Loads = peers.LoadsOf(n.steerer.RecentLoad(peers.MaxLoads))
}

func (n *Node) sendHello(hello *peers.Hello, control netip.AddrPort) {
	datagram, err := encodeHello(hello)
	if err != nil {
		n.log.Error("cannot encode a hello", "error", err)
		return
	}
	n.metrics.helloBytes.Add(len(datagram))
	// An unreachable peer is detected by its missing hellos.
	_, _ = n.peer.WriteToUDPAddrPort(datagram, n.peerAddress(control))
}

// encodeHello returns the datagram of a hello: a version byte, then msgpack with structs as arrays.
func encodeHello(hello *peers.Hello) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.WriteByte(helloVersion)
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	encoder.UseArrayEncodedStructs(true)
	err := encoder.Encode(hello)
	return buffer.Bytes(), err
}

// receiveHellos reads hellos of other balancers until ctx ends. Malformed datagrams are counted.
func (n *Node) receiveHellos(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		length, _, err := n.peer.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			continue
		}
		hello := &peers.Hello{}
		if length == 0 || buffer[0] != helloVersion || codec.Unmarshal(buffer[1:length], hello) != nil {
			n.metrics.peerMalformed.Inc()
			continue
		}
		n.receiveHello(ctx, hello)
	}
}

// receiveHello processes a hello. A new peer gets a reply at once. The first hello that leads to a balancer with state
// starts a fetch of its listing, and while no settings are known, of a summary.
func (n *Node) receiveHello(ctx context.Context, hello *peers.Hello) {
	n.stateMutex.Lock()
	now := n.now()
	isNew := n.peers.Receive(now, hello)
	var loads map[directory.Tag]steering.Load
	if len(hello.Failures) > 0 {
		// Flows that arrive before the next round need the failures.
		loads = n.peers.Loads(now)
	}
	var reply *peers.Hello
	if isNew || hello.ReplyRequested {
		reply = n.hello(now)
		reply.Introductions = n.peers.IntroductionsFor(now, hello)
	}
	behind := n.lag.Observe(now, n.directory.Revision(), hello.Revision)
	source, found := listingSource(hello)
	summaryPeer, summaryFound := summarySource(hello)
	summaryFound = summaryFound && !n.directory.HasSettings()
	n.stateMutex.Unlock()
	if behind && !n.receiving.Load() {
		n.supersedeCall()
	}
	n.steeringMutex.Lock()
	n.steerer.ReceiveSuspects(now, hello.Suspects)
	n.steerer.ReceiveBaselines(hello.Baselines)
	if loads != nil {
		n.steerer.SetPeerLoads(loads)
	}
	n.steeringMutex.Unlock()
	n.receiveUnresponsive(now, hello)
	n.receiveInquiries(now, hello)
	if isNew {
		n.log.Info("peer found", "peer", hello.Control, "zone", hello.Zone, "capacity", hello.Capacity, "revision", hello.Revision, "age_ms", hello.StoreAge.Milliseconds())
	}
	if reply != nil {
		n.sendHello(reply, hello.Control)
	}
	if summaryFound && n.fetchingSummary.CompareAndSwap(false, true) {
		go n.fetchSummary(ctx, summaryPeer)
	}
	if found && n.fetchingListing.CompareAndSwap(false, true) {
		go n.fetchListing(ctx, source)
	}
}

// listingSource returns a balancer that can send a full listing, by a hello: the sender, or one with the
// highest capacity among those that it names.
func listingSource(hello *peers.Hello) (control netip.AddrPort, found bool) {
	if hello.Revision > 0 {
		return hello.Control, true
	}
	return mostCapable(hello.Introductions, func(other *peers.Introduction) bool { return other.HasView })
}
