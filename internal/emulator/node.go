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
	controlPort = 8166
	// startTime is how long a process takes to start.
	startTime = 40 * time.Millisecond
	// restartTime is how long the platform takes to start an ended process again.
	restartTime = 300 * time.Millisecond
	// releaseTime is how long a stopping process goes on forwarding.
	releaseTime = 1900 * time.Millisecond
	// seedCount is how many addresses of others a process is given.
	seedCount = 3
	// writeTimeout is how long an answer to a write of the snapshot is awaited.
	writeTimeout = 1500 * time.Millisecond
)

var (
	errStore   = errors.New("the store does not answer")
	errHistory = errors.New("the store's history is lost")
)

// datagram is a packet with what its receiver makes of it.
type datagram struct {
	steering.Packet
	client *clientFlow
	// request is the request that data belongs to, nil for none; part numbers it.
	request *request
	part    int
	// reply is the server's sequence that the packet acknowledges.
	reply uint32
	// sent is when the client sent it; copies of an opening packet have their own.
	sent time.Duration
}

// node is one balancer machine and the process on it.
type node struct {
	world   *world
	zone    string
	control netip.AddrPort
	// capacity is the machine's, for tasks of the fleet; calls counts those to the store since traffic
	// began.
	capacity peers.Capacity
	calls    int

	// run numbers the processes; 0 is none.
	run     int
	up      bool
	frozen  bool
	leaving bool
	// failing is set while the store does not answer.
	failing bool
	// cutFromStore and cutFromPeers hold while the machine is cut off.
	cutFromStore, cutFromPeers bool
	// turnedAway is set while the store refuses this machine's calls and serves others.
	turnedAway bool
	queue      []*datagram
	// disturbed is when the machine was last disturbed.
	disturbed time.Duration

	startedAt time.Duration
	directory *directory.Directory
	steerer   *steering.Steerer
	peers     *peers.Table
	follower  *follow.Follower
	confirmed follow.Confirmation
	// told is the revision up to which those that wait have heard of changes.
	told    uint64
	learned bool
	lag     follow.Lag
	// snapshots decides when the snapshot is written; kept are the parts that the last listing found, and
	// knownAt is when anything was first known. asksStore is set while the store is followed itself.
	snapshots snapshot.Writer
	kept      []snapshot.Stored
	knownAt   time.Duration
	asksStore bool
	// idle are the process's connections that no call uses.
	idle map[netip.AddrPort]*connection
	// giveUp ends the follower's present call.
	giveUp func(follow.Outcome)
	ready  bool
	// polls are balancers that wait for changes here.
	polls []func()
	// newest is the newest version that a packet was handled by in this run.
	newest uint64
	held   []heldDatagram
}

// countCall counts a call to the store. At the first start all list at once, whatever their machines.
func (n *node) countCall() {
	if n.world.Now >= trafficStart {
		n.calls++
	}
}

// heldDatagram is one that came before anything was known.
type heldDatagram struct {
	datagram *datagram
	at       time.Duration
}

// start begins a process that knows nothing.
func (n *node) start() {
	w := n.world
	n.run++
	n.up, n.leaving, n.ready, n.learned = true, false, false, false
	n.startedAt, n.newest, n.confirmed, n.told, n.failing = w.Now, 0, follow.Confirmation{}, 0, false
	n.polls, n.held, n.queue, n.giveUp, n.lag = nil, nil, nil, nil, follow.Lag{}
	n.idle = map[netip.AddrPort]*connection{}
	n.snapshots, n.kept, n.knownAt, n.asksStore = snapshot.Writer{}, nil, 0, false
	keep := flowLife + drainBound
	if w.options.Without.Departed {
		keep = -1
	}
	n.directory = directory.New(keep)
	n.directory.SetInterval(heartbeat)
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
	n.whileRunning(startTime, func() {
		if !w.options.Without.Peers {
			n.everyWhileRunning(peers.HelloInterval, n.sayHello)
		}
		n.everyWhileRunning(time.Second, n.tick)
		n.everyWhileRunning(steering.PulseInterval, func() { n.steerer.Pulse(n.now()) })
		n.step()
	})
}

// whileRunning runs a function later if the same process is still there. One that
// stands still does it when it goes on.
func (n *node) whileRunning(delay time.Duration, do func()) {
	run := n.run
	var attempt func()
	attempt = func() {
		switch {
		case n.run != run || !n.up:
		case n.frozen:
			n.world.After(50*time.Millisecond, attempt)
		default:
			do()
		}
	}
	n.world.After(delay, attempt)
}

// toThisRun returns a function that lets the process that runs now do something, and nobody
// if that one has ended by then: its connections are gone, and what was asked over them is
// not answered to the next process.
func (n *node) toThisRun() func(do func()) {
	run := n.run
	return func(do func()) {
		if n.run == run {
			n.whileRunning(0, do)
		}
	}
}

func (n *node) everyWhileRunning(interval time.Duration, do func()) {
	do()
	n.whileRunning(interval, func() { n.everyWhileRunning(interval, do) })
}

// now is the time of the process: since its start.
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

// believe lets packets be steered by what is known now and tells those that wait.
func (n *node) believe(age time.Duration) {
	n.confirmed.Update(n.now(), age)
	if n.world.options.Without.Departed {
		n.directory.Forget(n.now())
	}
	n.setView()
	n.ready = n.directory.SettingsVersion() > 0
	n.wakePolls()
	n.handleHeld()
}

// handleHeld decides anew on what came before anything, or all of it, was known.
func (n *node) handleHeld() {
	held := n.held
	n.held = nil
	for _, kept := range held {
		again := *kept.datagram
		again.Held = n.now() - kept.at
		n.handle(&again)
	}
}

func (n *node) wakePolls() {
	polls := n.polls
	n.polls = nil
	for _, poll := range polls {
		poll()
	}
}

// answersReady is what the routers' probe sees.
func (n *node) answersReady() bool {
	return n.up && !n.frozen && n.ready && !n.leaving
}

// receive takes a packet from a router.
func (n *node) receive(d *datagram) {
	switch {
	case !n.up:
	case n.frozen:
		n.world.trace(d.client, "balancer %s stands still: kind %d attempt %d waits", n.control, d.Kind, d.Attempt)
		n.queue = append(n.queue, d)
	default:
		n.handle(d)
	}
}

// handle steers a packet.
func (n *node) handle(d *datagram) {
	packet := d.Packet
	verdict := n.steerer.Steer(n.now(), &packet)
	n.actOnObservations()
	n.world.trace(d.client, "balancer %s: kind %d attempt %d tag %08x: action %d reason %v to %v", n.control, packet.Kind, packet.Attempt, uint32(packet.Tag), verdict.Action, verdict.Reason, verdictServer(&verdict))
	switch verdict.Action {
	case steering.Drop:
		if !n.ready || n.directory.Revision() == 0 && verdict.Reason == errkind.UnknownTag {
			n.held = append(n.held, heldDatagram{d, n.now()})
		}
	case steering.Wait:
		again := *d
		again.Waited = true
		n.whileRunning(steering.CopyWait, func() { n.handle(&again) })
	case steering.Refuse:
		if verdict.Reason != errkind.BackendLost {
			n.world.truth.refused(n, d)
		}
		n.world.send(n.zone, "", func() { d.client.reset(nil) })
	case steering.Forward:
		backend := verdict.Backend
		forwarded := *d
		forwarded.Tag = verdict.Tag
		id := backend.ID
		if n.world.options.Without.ServerNames {
			id = 0
		}
		n.world.truth.forwarded(n, d, backend.ID)
		n.world.send(n.zone, backend.Zone, func() { n.world.arriveAtServer(n, backend.Address, id, &forwarded) })
	}
}

func verdictServer(verdict *steering.Decision) string {
	if verdict.Backend == nil {
		return "nobody"
	}
	return idText(verdict.Backend.ID)
}

// stop is a planned stop: readiness falls, packets are forwarded until the routers
// have let go.
func (n *node) stop() {
	n.disturb()
	n.leaving = true
	n.wakePolls()
	if n.world.options.Without.Release {
		n.kill(restartTime)
		return
	}
	n.whileRunning(releaseTime, func() { n.kill(restartTime) })
}

// kill ends the process; another one starts after downtime.
func (n *node) kill(downtime time.Duration) {
	n.disturb()
	n.up, n.frozen, n.queue = false, false, nil
	run := n.run
	n.world.After(downtime, func() {
		if n.run == run {
			n.disturb()
			n.start()
		}
	})
}

// freeze lets the process stand still; what arrives waits.
func (n *node) freeze(length time.Duration) {
	n.disturb()
	n.frozen = true
	run := n.run
	n.world.After(length, func() {
		n.disturb()
		if n.run != run || !n.up {
			return
		}
		n.frozen = false
		queue := n.queue
		n.queue = nil
		for _, d := range queue {
			n.handle(d)
		}
	})
}

// disturb notes that the machine is being disturbed.
func (n *node) disturb() {
	n.disturbed = n.world.Now
}

// inTouch tells whether nothing has disturbed the machine for the contact bound.
func (n *node) inTouch() bool {
	return n.up && !n.frozen && !n.cutFromStore && n.world.Now-n.disturbed >= contactBound && n.world.store.stable()
}
