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

// peerAddress is where the datagrams for another balancer go.
func (n *Node) peerAddress(control netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(control.Addr(), n.config().PeerPort)
}

// sendHellos tells other balancers at each interval that this one lives. While nothing
// is known here, rounds follow each other quickly and ask for replies.
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
	if n.peers.Hurries(now, initialized) {
		interval, targets = peers.HurryInterval, n.peers.HurryRound()
	} else {
		targets = n.peers.Round(now, len(hello.Loads))
	}
	n.stateMutex.Unlock()
	short := hello.Short()
	for _, target := range targets {
		datagram := short
		if target.Full {
			datagram = hello
		}
		datagram.Reply = target.Reply
		n.sendHello(datagram, target.Control)
	}
	return interval
}

// sendAlarm tells all live peers at once what is known of silent back ends. Rounds go on as
// they were due.
func (n *Node) sendUrgentReport() {
	n.stateMutex.Lock()
	now := n.now()
	hello, targets := n.hello(now), n.peers.Everyone(now)
	n.steeringMutex.Lock()
	hello.Doubted = n.steerer.Doubted(now, peers.MaxDoubted)
	hello.Stalls = n.steerer.Stalls(now, peers.MaxStalls)
	hello.Failures = peers.FailuresOf(n.steerer.Failures(peers.MaxFailures))
	n.steeringMutex.Unlock()
	n.stateMutex.Unlock()
	for _, target := range targets {
		n.sendHello(hello, target.Control)
	}
}

// sendInquiries asks all live peers where flows rest.
func (n *Node) sendInquiries(inquiries []steering.Inquiry) {
	n.stateMutex.Lock()
	now := n.now()
	hello, targets := n.hello(now), n.peers.Everyone(now)
	n.stateMutex.Unlock()
	hello.Inquiries = inquiries
	for _, target := range targets {
		n.sendHello(hello, target.Control)
	}
}

// announce sends a round of hellos at once: this balancer knows something since now.
func (n *Node) announce() {
	select {
	case n.announcements <- struct{}{}:
	default:
	}
}

// introduceSeeds adds the seeds while few others are known. The beliefs lock is held.
func (n *Node) introduceSeeds(now time.Duration) {
	if !n.peers.NeedsIntroductions(now) {
		return
	}
	for _, seed := range n.config().Seeds {
		n.peers.Introduce(now, peers.Introduction{Control: seed})
	}
}

// hello is what this balancer says of itself, without others and loads. The beliefs lock is held.
func (n *Node) hello(now time.Duration) *peers.Hello {
	return &peers.Hello{
		Control:  n.config().advertised(),
		Zone:     n.config().Zone,
		Started:  n.started.UnixNano(),
		Leaving:  n.leaving.Load(),
		Failing:  n.storeFailing.Load(),
		Revision: n.directory.Revision(),
		Outline:  n.offersSummary(),
		StoreAge: n.staleness(),
		Capacity: n.config().capacity(),
	}
}

// shareLoad makes a hello a full one, with others and the load of this balancer, and
// takes over what others said of theirs. The beliefs lock is held.
func (n *Node) completeHello(now time.Duration, hello *peers.Hello) {
	n.steeringMutex.Lock()
	defer n.steeringMutex.Unlock()
	n.steerer.SetOthersLoad(n.peers.Loads(now))
	n.steerer.SetPlace(n.peers.OwnPlace(now))
	hello.Others, hello.Full = n.peers.Sample(now), true
	hello.Doubted = n.steerer.Doubted(now, peers.MaxDoubted)
	hello.Stalls = n.steerer.Stalls(now, peers.MaxStalls)
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
	// A peer that cannot be reached is found out by its silence.
	_, _ = n.peer.WriteToUDPAddrPort(datagram, n.peerAddress(control))
}

// encodeHello returns the datagram of a hello: a version, then msgpack with
// structures as arrays.
func encodeHello(hello *peers.Hello) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.WriteByte(helloVersion)
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	encoder.UseArrayEncodedStructs(true)
	err := encoder.Encode(hello)
	return buffer.Bytes(), err
}

// receiveHellos reads the hellos of other balancers.
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

// heard takes over a hello. A balancer that is new is greeted at once, and while
// nothing is known here, it is asked for what it knows.
func (n *Node) receiveHello(ctx context.Context, hello *peers.Hello) {
	n.stateMutex.Lock()
	now := n.now()
	isNew := n.peers.Heard(now, hello)
	var loads map[directory.Tag]steering.Load
	if len(hello.Failures) > 0 {
		// The next round would be half a second late for the flows that come meanwhile.
		loads = n.peers.Loads(now)
	}
	if hello.Revision == n.directory.Revision() {
		// What the store confirmed to the sender, it confirmed to this one too.
		n.recordConfirmation(hello.StoreAge, false)
		n.confirmed.Note(now, hello.StoreAge)
	}
	var reply *peers.Hello
	if isNew || hello.Reply {
		reply = n.hello(now)
		reply.Others = n.peers.ForAsker(now, hello)
	}
	behind := n.lag.Note(now, n.directory.Revision(), hello.Revision)
	source, found := listingSource(hello)
	summaryPeer, summaryFound := summarySource(hello)
	summaryFound = summaryFound && n.directory.SettingsVersion() == 0
	n.stateMutex.Unlock()
	if behind && !n.receiving.Load() {
		n.stopCall()
	}
	n.steeringMutex.Lock()
	n.steerer.SetOthersDoubts(now, hello.Doubted)
	n.steerer.HearBaselines(hello.Baselines)
	if loads != nil {
		n.steerer.SetOthersLoad(loads)
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

// teacherOf returns who, by a hello, can tell everything: the sender, or one of the ablest that it names.
func listingSource(hello *peers.Hello) (control netip.AddrPort, found bool) {
	if hello.Revision > 0 {
		return hello.Control, true
	}
	return mostCapable(hello.Others, func(other *peers.Introduction) bool { return other.Knows })
}
