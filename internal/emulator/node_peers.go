package emulator

import (
	"net/netip"
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/follow"
	"gaugeyard/internal/peers"
	"gaugeyard/internal/steering"
)

// peerRequest is a request for changes from another balancer.
type peerRequest struct {
	// after and base are the revisions of the requester's state and of its settings.
	after, base uint64
	// sentAt is on the requester's clock, receivedAt on the other balancer's.
	sentAt, receivedAt time.Duration
}

// queryPeer requests changes from another balancer and waits for its answer.
func (n *node) queryPeer(call follow.Call, end func(follow.Outcome)) {
	peer := n.world.nodeAt(call.Peer)
	if peer == nil || n.partitionedFromPeers || peer.partitionedFromPeers {
		return
	}
	request := peerRequest{after: n.directory.Revision(), base: n.directory.SettingsRevision(), sentAt: n.now()}
	staleness := n.confirmed.Staleness(n.now())
	inProcess, conn := n.forThisProcess(), n.connect(call.Peer)
	runOnRequester := func(do func()) {
		if conn.isBlackholed() {
			return
		}
		inProcess(func() {
			n.release(conn)
			do()
		})
	}
	n.world.After(n.world.delay(n.zone, peer.zone), func() {
		if conn.isBlackholed() {
			return
		}
		peer.whileRunning(0, func() {
			request.receivedAt = peer.now()
			peer.waitForChange(request.after, staleness, call.Wait, func() {
				n.world.After(n.world.delay(n.zone, peer.zone), peer.prepareAnswer(n, runOnRequester, request, end))
			})
		})
	})
}

// waitForChange calls reply once there is a newer revision or a confirmation fresher than the given
// staleness, or after the wait.
func (n *node) waitForChange(after uint64, staleness, wait time.Duration, reply func()) {
	if n.directory.Revision() > after || n.confirmed.IsNewerThan(n.now(), staleness) {
		reply()
		return
	}
	replied := false
	once := func() {
		if !replied {
			replied = true
			reply()
		}
	}
	n.pendingReplies = append(n.pendingReplies, once)
	n.whileRunning(wait, once)
}

// prepareAnswer collects the changes after a revision, or a full listing if these are unknown, and
// returns a function that passes them to the requester.
func (n *node) prepareAnswer(requester *node, runOnRequester func(do func()), request peerRequest, end func(follow.Outcome)) func() {
	held, staleness := n.now()-request.receivedAt, n.confirmed.Staleness(n.now())
	changes, known := n.directory.ChangesSince(request.after, request.base)
	listing := n.directory.Listing()
	passStoreReturn := n.captureStoreReturn()
	return func() {
		runOnRequester(func() {
			passStoreReturn(requester, request.sentAt+held)
			confirmedAt := follow.FromPeer(request.sentAt, held, staleness)
			requester.peers.RecordAnswer(requester.now(), n.control, requester.now()-confirmedAt, listing.Revision)
			if known {
				requester.receiveChanges(changes, confirmedAt, nil, end)
				return
			}
			requester.applyListing(listing, confirmedAt)
			end(follow.Outcome{})
		})
	}
}

// announce sends a round of hellos at once unless peers are disabled.
func (n *node) announce() {
	if !n.world.options.Without.Peers {
		n.sendHellos()
	}
}

func (n *node) sendHellos() {
	now := n.now()
	for i := range min(seedCount, len(n.world.nodes)) {
		if n.peers.NeedsSeeds(now) {
			n.peers.Introduce(now, peers.Introduction{Control: n.world.nodes[i].control})
		}
	}
	n.steerer.SetPeerLoads(n.peers.Loads(now))
	n.steerer.SetMembership(n.peers.Membership(now))
	for _, target := range n.peers.Round(now, len(n.steerer.RecentLoad(peers.MaxLoads))) {
		n.sendHelloTo(target)
	}
}

// introduction returns this balancer's introduction to others.
func (n *node) introduction() peers.Introduction {
	return peers.Introduction{Control: n.control, Zone: n.zone, Capacity: n.capacity}
}

// hello returns this balancer's own state, without introductions and loads.
func (n *node) hello() *peers.Hello {
	return &peers.Hello{
		Control: n.control, Zone: n.zone, Started: int64(n.startedAt) + 1, Leaving: n.leaving, StoreUnavailable: n.storeUnavailable,
		Revision: n.directory.Revision(), StoreAge: n.confirmed.Staleness(n.now()), Capacity: n.capacity,
	}
}

func (n *node) sendHelloTo(target peers.Target) {
	now := n.now()
	hello := n.hello()
	hello.Introductions, hello.ReplyRequested, hello.Full = n.peers.Sample(now), target.ReplyRequested, true
	hello.Suspects = n.steerer.Suspects(now, peers.MaxSuspects)
	hello.UnresponsiveReports = n.steerer.UnresponsiveReports(now, peers.MaxUnresponsiveReports)
	hello.Failures = peers.FailuresOf(n.steerer.Failures(peers.MaxFailures))
	hello.Baselines = n.steerer.Baselines(peers.MaxBaselines)
	hello.Loads = peers.LoadsOf(n.steerer.RecentLoad(peers.MaxLoads))
	if !target.Full {
		hello = hello.Short()
	}
	n.sendHello(target.Control, hello)
}

func (n *node) sendHello(control netip.AddrPort, hello *peers.Hello) {
	n.world.hellos++
	n.world.helloBytes += helloSize(hello)
	peer := n.world.nodeAt(control)
	if peer == nil || n.partitionedFromPeers || peer.partitionedFromPeers {
		return
	}
	n.world.send(n.zone, peer.zone, func() { peer.whileRunning(0, func() { peer.receiveHello(hello) }) })
}

// actOnObservations resets flows at back ends that are down, and sends the urgent reports and
// inquiries that are due.
func (n *node) actOnObservations() {
	for _, reset := range n.steerer.TakeResets() {
		if c := n.world.clients[reset.Flow]; c != nil {
			n.world.send(n.zone, "", func() { c.reset(nil) })
		}
	}
	if n.steerer.TakeUrgentReport() {
		n.sendUrgentReport()
	}
	if inquiries := n.steerer.TakeInquiries(); inquiries != nil {
		n.inquire(inquiries)
		n.whileRunning(steering.InquiryResendDelay, func() { n.inquire(inquiries) })
	}
}

// inquire requests the back ends of flows from all live peers.
func (n *node) inquire(inquiries []steering.Inquiry) {
	hello := n.hello()
	hello.Inquiries = inquiries
	targets := n.peers.AllLive(n.now())
	for _, inquiry := range inquiries {
		n.traceFlow(inquiry.Flow, "balancer %s sends an inquiry to %d peers", n.control, len(targets))
	}
	for _, target := range targets {
		n.sendHello(target.Control, hello)
	}
}

// receiveInquiries answers another balancer's inquiries and applies its answers to this
// balancer's.
func (n *node) receiveInquiries(hello *peers.Hello) {
	n.steerer.ReceiveLocations(n.now(), hello.Locations)
	for _, location := range hello.Locations {
		n.traceFlow(location.Flow, "balancer %s receives from %s its back end %s", n.control, hello.Control, idText(location.Backend))
	}
	if locations := n.steerer.Locate(n.now(), hello.Inquiries); locations != nil {
		answer := n.hello()
		answer.Locations = locations
		n.sendHello(hello.Control, answer)
	}
}

// traceFlow reports an event of a flow if it is the traced one.
func (n *node) traceFlow(key flow.Key, format string, arguments ...any) {
	if c := n.world.clients[key]; c != nil {
		n.world.trace(c, format, arguments...)
	}
}

// sendUrgentReport sends all live peers at once what is known of unresponsive and failing back
// ends.
func (n *node) sendUrgentReport() {
	now := n.now()
	hello := n.hello()
	hello.Suspects = n.steerer.Suspects(now, peers.MaxSuspects)
	hello.UnresponsiveReports = n.steerer.UnresponsiveReports(now, peers.MaxUnresponsiveReports)
	hello.Failures = peers.FailuresOf(n.steerer.Failures(peers.MaxFailures))
	for _, target := range n.peers.AllLive(now) {
		n.sendHello(target.Control, hello)
	}
}

// helloSize estimates the encoded size of a hello, in bytes.
func helloSize(hello *peers.Hello) int {
	const header, introduction, load, suspect, unresponsive, failure, baseline, inquiry = 60, 24, 8, 9, 18, 7, 18, 22
	return header + introduction*len(hello.Introductions) + load*len(hello.Loads) + suspect*len(hello.Suspects) + unresponsive*len(hello.UnresponsiveReports) + failure*len(hello.Failures) + baseline*len(hello.Baselines) + inquiry*(len(hello.Inquiries)+len(hello.Locations))
}

func (n *node) receiveHello(hello *peers.Hello) {
	if n.peers == nil {
		return
	}
	n.steerer.ReceiveSuspects(n.now(), hello.Suspects)
	n.steerer.ReceiveBaselines(hello.Baselines)
	n.steerer.ReceiveUnresponsive(n.now(), hello.Control, hello.UnresponsiveReports)
	n.receiveInquiries(hello)
	n.actOnObservations()
	if n.lag.Observe(n.now(), n.directory.Revision(), hello.Revision) && n.abandonCall != nil {
		n.abandonCall(follow.Outcome{Result: follow.Superseded})
	}
	isNew := n.peers.Receive(n.now(), hello)
	if len(hello.Failures) > 0 {
		n.steerer.SetPeerLoads(n.peers.Loads(n.now()))
	}
	if isNew || hello.ReplyRequested {
		reply := n.hello()
		reply.Introductions = n.peers.IntroductionsFor(n.now(), hello)
		n.sendHello(hello.Control, reply)
	}
	if hello.Revision == 0 || n.listingRequested {
		return
	}
	n.listingRequested = true
	peer, inProcess, requestedAt := n.world.nodeAt(hello.Control), n.forThisProcess(), n.now()
	n.world.After(n.world.delay(n.zone, peer.zone), func() {
		peer.whileRunning(0, func() {
			listing, staleness := peer.directory.Listing(), peer.confirmed.Staleness(peer.now())
			passStoreReturn := peer.captureStoreReturn()
			n.world.After(n.world.delay(n.zone, peer.zone), func() {
				inProcess(func() {
					passStoreReturn(n, requestedAt)
					n.applyListing(listing, follow.FromPeer(requestedAt, 0, staleness))
				})
			})
		})
	})
}
