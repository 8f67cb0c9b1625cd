package emulator

import (
	"net/netip"
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/follow"
	"gaugeyard/internal/peers"
	"gaugeyard/internal/steering"
)

// askPeer waits at another balancer for changes.
func (n *node) askPeer(call follow.Call, end func(follow.Outcome)) {
	peer := n.world.nodeAt(call.Peer)
	if peer == nil || n.cutFromPeers || peer.cutFromPeers {
		return
	}
	after, base, age := n.directory.Revision(), n.directory.SettingsRevision(), n.confirmed.Age(n.now())
	run, over := n.toThisRun(), n.connect(call.Peer)
	toAsker := func(do func()) {
		if over.silent() {
			return
		}
		run(func() {
			n.release(over)
			do()
		})
	}
	n.world.After(n.world.delay(n.zone, peer.zone), func() {
		if over.silent() {
			return
		}
		peer.whileRunning(0, func() {
			peer.whenChanged(after, age, call.Wait, func() { n.world.After(n.world.delay(n.zone, peer.zone), peer.answerFor(n, toAsker, after, base, end)) })
		})
	})
}

// whenChanged runs reply once there is something newer, also a newer confirmation than one of
// the age, or the wait is over.
func (n *node) whenChanged(after uint64, age, wait time.Duration, reply func()) {
	if n.directory.Revision() > after || n.confirmed.IsNewerThan(n.now(), age) {
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
	n.polls = append(n.polls, once)
	n.whileRunning(wait, once)
}

// answerFor collects what another balancer lacks and hands it over.
func (n *node) answerFor(asker *node, toAsker func(do func()), after, base uint64, end func(follow.Outcome)) func() {
	age := n.confirmed.Age(n.now())
	changes, known := n.directory.ChangesSince(after, base)
	listing := n.directory.Listing()
	hearReturn := n.tellReturn()
	return func() {
		toAsker(func() {
			hearReturn(asker)
			asker.peers.RecordAnswer(asker.now(), n.control, age, listing.Revision)
			if known {
				asker.changed(changes, age, nil, end)
				return
			}
			asker.replace(listing, age)
			end(follow.Outcome{Age: age})
		})
	}
}

// announce sends a round of hellos at once.
func (n *node) announce() {
	if !n.world.options.Without.Peers {
		n.sayHello()
	}
}

// sayHello tells other balancers that this one lives.
func (n *node) sayHello() {
	now := n.now()
	for i := range min(seedCount, len(n.world.nodes)) {
		if n.peers.NeedsSeeds(now) {
			n.peers.Introduce(now, peers.Introduction{Control: n.world.nodes[i].control})
		}
	}
	n.steerer.SetPeerLoads(n.peers.Loads(now))
	n.steerer.SetMembership(n.peers.Membership(now))
	for _, target := range n.peers.Round(now, len(n.steerer.RecentLoad(peers.MaxLoads))) {
		n.helloTo(target)
	}
}

// introduction is what other balancers are told of this one.
func (n *node) introduction() peers.Introduction {
	return peers.Introduction{Control: n.control, Zone: n.zone, Capacity: n.capacity}
}

// hello is what this balancer says of itself, without others and loads.
func (n *node) hello() *peers.Hello {
	return &peers.Hello{
		Control: n.control, Zone: n.zone, Started: int64(n.startedAt) + 1, Leaving: n.leaving, StoreUnavailable: n.failing,
		Revision: n.directory.Revision(), StoreAge: n.confirmed.Age(n.now()), Capacity: n.capacity,
	}
}

func (n *node) helloTo(target peers.Target) {
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
	if peer == nil || n.cutFromPeers || peer.cutFromPeers {
		return
	}
	n.world.send(n.zone, peer.zone, func() { peer.whileRunning(0, func() { peer.heardHello(hello) }) })
}

// actOnObservations ends flows at lost back ends and tells other balancers of silent ones.
func (n *node) actOnObservations() {
	for _, reset := range n.steerer.TakeResets() {
		if c := n.world.clients[reset.Flow]; c != nil {
			n.world.send(n.zone, "", func() { c.reset(nil) })
		}
	}
	if n.steerer.TakeUrgentReport() {
		n.sendAlarm()
	}
	if inquiries := n.steerer.TakeInquiries(); inquiries != nil {
		n.inquire(inquiries)
		n.whileRunning(steering.InquiryResendDelay, func() { n.inquire(inquiries) })
	}
}

// inquire asks all live peers where flows rest.
func (n *node) inquire(inquiries []steering.Inquiry) {
	hello := n.hello()
	hello.Inquiries = inquiries
	targets := n.peers.AllLive(n.now())
	for _, inquiry := range inquiries {
		n.traceFlow(inquiry.Flow, "balancer %s asks %d others for it", n.control, len(targets))
	}
	for _, target := range targets {
		n.sendHello(target.Control, hello)
	}
}

// heardInquiries answers what another balancer asks of flows, and takes over what it answers.
func (n *node) heardInquiries(hello *peers.Hello) {
	n.steerer.ReceiveLocations(n.now(), hello.Locations)
	for _, location := range hello.Locations {
		n.traceFlow(location.Flow, "balancer %s hears from %s that it rests at %s", n.control, hello.Control, idText(location.Backend))
	}
	if locations := n.steerer.Locate(n.now(), hello.Inquiries); locations != nil {
		answer := n.hello()
		answer.Locations = locations
		n.sendHello(hello.Control, answer)
	}
}

// traceFlow tells what happens to a flow, if it is the traced one.
func (n *node) traceFlow(key flow.Key, format string, arguments ...any) {
	if c := n.world.clients[key]; c != nil {
		n.world.trace(c, format, arguments...)
	}
}

// sendAlarm tells all live peers at once what is known of back ends that are silent or fail.
func (n *node) sendAlarm() {
	now := n.now()
	hello := n.hello()
	hello.Suspects = n.steerer.Suspects(now, peers.MaxSuspects)
	hello.UnresponsiveReports = n.steerer.UnresponsiveReports(now, peers.MaxUnresponsiveReports)
	hello.Failures = peers.FailuresOf(n.steerer.Failures(peers.MaxFailures))
	for _, target := range n.peers.AllLive(now) {
		n.sendHello(target.Control, hello)
	}
}

// helloSize is about how many bytes a hello has on the wire.
func helloSize(hello *peers.Hello) int {
	const head, introduction, load, doubt, stall, failure, baseline, inquiry = 60, 24, 8, 9, 18, 7, 18, 22
	return head + introduction*len(hello.Introductions) + load*len(hello.Loads) + doubt*len(hello.Suspects) + stall*len(hello.UnresponsiveReports) + failure*len(hello.Failures) + baseline*len(hello.Baselines) + inquiry*(len(hello.Inquiries)+len(hello.Locations))
}

func (n *node) heardHello(hello *peers.Hello) {
	if n.peers == nil {
		return
	}
	n.steerer.ReceiveSuspects(n.now(), hello.Suspects)
	n.steerer.ReceiveBaselines(hello.Baselines)
	n.steerer.ReceiveUnresponsive(n.now(), hello.Control, hello.UnresponsiveReports)
	n.heardInquiries(hello)
	n.actOnObservations()
	if n.lag.Observe(n.now(), n.directory.Revision(), hello.Revision) && n.giveUp != nil {
		n.giveUp(follow.Outcome{Result: follow.Superseded})
	}
	if hello.Revision == n.directory.Revision() {
		n.noteConfirmed(hello.StoreAge, false)
		n.confirmed.Update(n.now(), hello.StoreAge)
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
	if hello.Revision == 0 || n.learned {
		return
	}
	n.learned = true
	peer, toAsker := n.world.nodeAt(hello.Control), n.toThisRun()
	n.world.After(n.world.delay(n.zone, peer.zone), func() {
		peer.whileRunning(0, func() {
			listing, age := peer.directory.Listing(), peer.confirmed.Age(peer.now())
			hearReturn := peer.tellReturn()
			n.world.After(n.world.delay(n.zone, peer.zone), func() {
				toAsker(func() {
					hearReturn(n)
					n.replace(listing, age)
				})
			})
		})
	})
}
