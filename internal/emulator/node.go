package emulator

import (
	"errors"
	"net/netip"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/follow"
	"gaugeyard/internal/peers"
	"gaugeyard/internal/snapshot"
	"gaugeyard/internal/steering"
)

const (
	controlPort      = 8166
	processStartTime = 40 * time.Millisecond
	// restartTime is how long the platform takes to restart an ended process.
	restartTime = 300 * time.Millisecond
	// drainTime is how long a stopping process continues to forward.
	drainTime = 1900 * time.Millisecond
	// seedCount is how many addresses of other balancers a process is given.
	seedCount = 3
	// writeTimeout is how long a process waits for the answer to a write of the snapshot.
	writeTimeout = 1500 * time.Millisecond
)

var (
	errStore   = errors.New("store unavailable")
	errHistory = errors.New("store history compacted")
)

// datagram is a packet with the data that its receiver needs.
type datagram struct {
	steering.Packet
	client *clientFlow
	// request is the request that the data belongs to, nil for none; part is the index of its part.
	request *request
	part    int
	// serverSequence is the server's initial sequence number as the client knows it.
	serverSequence uint32
	// sent is when the client sent the packet; each copy of an opening packet has its own.
	sent time.Duration
}

// node is one balancer machine and the process on it.
type node struct {
	world   *world
	zone    string
	control netip.AddrPort
	// capacity is the machine's, for the ranking of peers. storeCalls counts its calls to the store
	// since trafficStart.
	capacity   peers.Capacity
	storeCalls int

	// process numbers the machine's processes; 0 is none.
	process int
	up      bool
	paused  bool
	leaving bool
	// storeUnavailable is set from follow.Lost to follow.Regained.
	storeUnavailable bool
	// partitionedFromStore and partitionedFromPeers are set while the machine is partitioned.
	partitionedFromStore, partitionedFromPeers bool
	// rejectedByStore is set while the store rejects this machine's calls and serves others.
	rejectedByStore bool
	queue           []*datagram
	// disturbed is when the machine was last disturbed.
	disturbed time.Duration

	startedAt time.Duration
	directory *directory.Directory
	steerer   *steering.Steerer
	peers     *peers.Table
	follower  *follow.Follower
	confirmed follow.Confirmation
	// notifiedRevision is reset at each start and not used otherwise.
	notifiedRevision uint64
	listingRequested bool
	lag              follow.Lag
	// snapshots decides when the snapshot is written. snapshotParts are the parts that the last
	// listing found. firstKnownAt is when the process first had any state. followsStore is set
	// while the process follows the store directly.
	snapshots     snapshot.Writer
	snapshotParts []snapshot.Stored
	firstKnownAt  time.Duration
	followsStore  bool
	// upstream is the balancer that the process follows, the zero value for none.
	upstream netip.AddrPort
	// idle holds the process's idle connections by remote end.
	idle map[netip.AddrPort]*connection
	// abandonCall ends the follower's current call; nil before the first one.
	abandonCall func(follow.Outcome)
	ready       bool
	// pendingReplies answer the peers that wait for changes here.
	pendingReplies []func()
	// newestVersion is the newest version by which this process handled a packet.
	newestVersion uint64
	held          []heldDatagram
}

// countStoreCall counts a call to the store. Calls before trafficStart do not count: at the first
// start every balancer lists the store.
func (n *node) countStoreCall() {
	if n.world.Now >= trafficStart {
		n.storeCalls++
	}
}

// heldDatagram is a packet held until the balancer has state.
type heldDatagram struct {
	datagram *datagram
	at       time.Duration
}

// start begins a new process without any state.
func (n *node) start() {
	w := n.world
	n.process++
	n.up, n.leaving, n.ready, n.listingRequested = true, false, false, false
	n.startedAt, n.newestVersion, n.confirmed, n.notifiedRevision, n.storeUnavailable = w.Now, 0, follow.Confirmation{}, 0, false
	n.pendingReplies, n.held, n.queue, n.abandonCall, n.lag = nil, nil, nil, nil, follow.Lag{}
	n.idle = map[netip.AddrPort]*connection{}
	n.snapshots, n.snapshotParts, n.firstKnownAt, n.followsStore, n.upstream = snapshot.Writer{}, nil, 0, false, netip.AddrPort{}
	retention := flowLife + drainBound
	if w.options.Without.Departed {
		retention = -1
	}
	n.directory = directory.New(retention)
	n.directory.SetInterval(heartbeatInterval)
	n.directory.SetExpiryBounds(directory.ExpiryBoundsFor(contactBound, drainBound))
	n.steerer = steering.New(steering.Config{
		Zone: n.zone, FlowLife: flowLife, RemovalGrace: drainBound / 2,
		WarmUpOvershoot: warmUpOvershoot, WarmUpSlack: warmUpSlack,
		Mechanisms: steering.Mechanisms{
			NoCopyMemory:  w.options.Without.CopyMemory,
			NoCopyWait:    w.options.Without.CopyWait,
			NoPins:        w.options.Without.Pins,
			NoSuspicion:   w.options.Without.Suspicion,
			NoOutliers:    w.options.Without.Outliers,
			NoFaults:      w.options.Without.Faults,
			NoResets:      w.options.Without.Resets,
			NoPacing:      w.options.Without.Pacing,
			NoPace:        w.options.Without.Pace,
			NoLoad:        w.options.Without.Load,
			NoLapsed:      w.options.Without.Lapsed,
			NoStandstill:  w.options.Without.Standstill,
			NoInquiries:   w.options.Without.Inquiries,
			NoWarmUpLimit: w.options.Without.WarmUpLimit,
			EvenWarmUp:    w.options.Without.WarmUpPlacers,
		},
	})
	n.peers = peers.New(n.introduction())
	n.follower = follow.New(contactBound, 0)
	n.whileRunning(processStartTime, func() {
		if !w.options.Without.Peers {
			n.everyWhileRunning(peers.HelloInterval, n.sendHellos)
		}
		n.everyWhileRunning(time.Second, n.tick)
		n.everyWhileRunning(steering.PulseInterval, func() {
			n.steerer.Pulse(n.now())
			n.actOnObservations()
		})
		n.step()
	})
}

// whileRunning calls a function after a delay if the same process is still running. A paused
// process calls it once it resumes.
func (n *node) whileRunning(delay time.Duration, do func()) {
	process := n.process
	var attempt func()
	attempt = func() {
		switch {
		case n.process != process || !n.up:
		case n.paused:
			n.world.After(50*time.Millisecond, attempt)
		default:
			do()
		}
	}
	n.world.After(delay, attempt)
}

// forThisProcess returns a function that calls its argument in the current process, and does
// nothing once that has ended: its connections are closed, so the next process gets no answers to
// its requests.
func (n *node) forThisProcess() func(do func()) {
	process := n.process
	return func(do func()) {
		if n.process == process {
			n.whileRunning(0, do)
		}
	}
}

func (n *node) everyWhileRunning(interval time.Duration, do func()) {
	do()
	n.whileRunning(interval, func() { n.everyWhileRunning(interval, do) })
}

// now returns the time since the process started.
func (n *node) now() time.Duration {
	return n.world.Now - n.startedAt
}

func (n *node) tick() {
	now := n.now()
	if n.directory.Forget(now) {
		n.setView()
	}
	n.steerer.Tick(now)
	n.writeSnapshot()
	n.peers.Forget(now)
}

func (n *node) setView() {
	n.steerer.SetView(n.directory.View())
}

// updateView steers packets by the current state and answers the peers that wait. The state was updated by an
// answer that is complete up to a revision and that the store confirmed at a time.
func (n *node) updateView(revision uint64, confirmedAt time.Duration) {
	if n.directory.Revision() >= revision {
		n.confirmed.Update(confirmedAt)
	}
	if n.world.options.Without.Departed {
		n.directory.Forget(n.now())
	}
	n.setView()
	n.ready = n.directory.HasSettings()
	n.sendPendingReplies()
	n.handleHeld()
}

func (n *node) handleHeld() {
	held := n.held
	n.held = nil
	for _, packet := range held {
		retry := *packet.datagram
		retry.Held = n.now() - packet.at
		n.handle(&retry)
	}
}

func (n *node) sendPendingReplies() {
	replies := n.pendingReplies
	n.pendingReplies = nil
	for _, reply := range replies {
		reply()
	}
}

// isReady reports what a router's readiness probe sees.
func (n *node) isReady() bool {
	return n.up && !n.paused && n.ready && !n.leaving
}

// receive handles a packet from a router; a paused process queues it.
func (n *node) receive(d *datagram) {
	switch {
	case !n.up:
	case n.paused:
		n.world.trace(d.client, "balancer %s is paused: kind %d attempt %d is queued", n.control, d.Kind, d.Attempt)
		n.queue = append(n.queue, d)
	default:
		n.handle(d)
	}
}

// handle steers a packet and acts on the decision.
func (n *node) handle(d *datagram) {
	packet := d.Packet
	decision := n.steerer.Steer(n.now(), &packet)
	n.actOnObservations()
	n.world.trace(d.client, "balancer %s: kind %d attempt %d tag %08x: action %d reason %v to %v", n.control, packet.Kind, packet.Attempt, uint32(packet.Tag), decision.Action, decision.Reason, decisionServer(&decision))
	switch decision.Action {
	case steering.Drop:
		if !n.ready || n.directory.Revision() == 0 && decision.Reason == errkind.UnknownTag {
			n.held = append(n.held, heldDatagram{d, n.now()})
		}
	case steering.Wait:
		delayed := *d
		delayed.Waited = true
		n.whileRunning(steering.CopyWait, func() { n.handle(&delayed) })
	case steering.Refuse:
		if decision.Reason != errkind.BackendLost {
			n.world.observer.checkRefusal(n, d)
		}
		n.world.send(n.zone, "", func() { d.client.reset(nil) })
	case steering.Forward:
		backend := decision.Backend
		forwarded := *d
		forwarded.Tag = decision.Tag
		id := backend.ID
		if n.world.options.Without.ServerNames {
			id = 0
		}
		n.world.observer.checkForwarded(n, d, backend.ID)
		n.world.send(n.zone, backend.Zone, func() { n.world.deliverToServer(n, backend.Address, id, &forwarded) })
	}
}

func decisionServer(decision *steering.Decision) string {
	if decision.Backend == nil {
		return "no server"
	}
	return idText(decision.Backend.ID)
}

// stop begins a planned stop: the process is not ready, but forwards until the routers have stopped
// using it.
func (n *node) stop() {
	n.disturb()
	n.leaving = true
	n.sendPendingReplies()
	if n.world.options.Without.Release {
		n.kill(restartTime)
		return
	}
	n.whileRunning(drainTime, func() { n.kill(restartTime) })
}

// kill ends the process; another one starts after downtime.
func (n *node) kill(downtime time.Duration) {
	n.disturb()
	n.up, n.paused, n.queue = false, false, nil
	process := n.process
	n.world.After(downtime, func() {
		if n.process == process {
			n.disturb()
			n.start()
		}
	})
}

// pause suspends the process; packets that arrive meanwhile are queued.
func (n *node) pause(length time.Duration) {
	n.disturb()
	n.paused = true
	process := n.process
	n.world.After(length, func() {
		n.disturb()
		if n.process != process || !n.up {
			return
		}
		n.paused = false
		queue := n.queue
		n.queue = nil
		for _, d := range queue {
			n.handle(d)
		}
	})
}

func (n *node) disturb() {
	n.disturbed = n.world.Now
}

// isInContact reports whether the process runs and reaches the store, and neither was disturbed
// within the contact bound.
func (n *node) isInContact() bool {
	return n.up && !n.paused && !n.partitionedFromStore && n.world.Now-n.disturbed >= contactBound && n.world.store.isStable()
}
