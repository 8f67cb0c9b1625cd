package sim

import (
	"net/netip"
	"time"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/membership"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/wire"
)

const (
	// bootstrapUntil is BootstrapUntil of the balancers that start with the fleet.
	bootstrapUntil = 8 * time.Second
	// socketQueueLength is the number of datagrams that the sockets of a paused process buffer.
	socketQueueLength = 512
	// machineListDelay is the delay with which the machine list and the fabric show a change.
	machineListDelay = 2 * time.Second
	// machineListInterval is the time between two updates of the machine list.
	machineListInterval = 500 * time.Millisecond
)

// node is one balancer: the real core in a modelled process that can crash and be paused.
type node struct {
	world       *world
	address     netip.AddrPort
	zone        string
	core        *balancer.Core
	incarnation uint64
	started     time.Duration
	up          bool
	paused      bool
	queue       []balancer.Event
	// stopped is called at the end of a planned stop; it may be nil.
	stopped func()

	// listed reports whether the machine list has the node. It lags behind the node's health:
	// listOutdated is set while they differ, since outdatedSince.
	listed        bool
	outdatedSince time.Duration
	listOutdated  bool

	control window
	relays  window
	// reachableSince is the start of the period in which the store and peers can reach the process.
	reachableSince time.Duration
	// revision is the latest observed revision in force since the process started; 0 if none.
	revision uint64
}

func (w *world) addNode(address netip.AddrPort, zone string) *node {
	n := &node{world: w, address: address, zone: zone}
	w.nodes = append(w.nodes, n)
	return n
}

// start starts the process; first is set for the initial start of the whole fleet.
func (n *node) start(first bool) {
	n.incarnation++
	n.up = true
	n.paused = false
	n.started = n.world.Now
	n.reachableSince = n.world.Now
	n.revision = 0
	config := balancer.Config{
		Self: membership.Member{
			ID:      membership.IDOf(n.address, n.incarnation),
			Zone:    n.zone,
			Address: n.address,
		},
		Strategy:   n.world.options.Strategy,
		Mechanisms: n.world.options.Mechanisms,
		Measure:    wire.EncodedSize,
	}
	if first {
		config.BootstrapUntil = bootstrapUntil
	}
	n.core = balancer.New(config)
	incarnation := n.incarnation
	n.sendMachineList()
	n.world.After(n.world.Between(0, balancer.TickInterval), func() { n.tick(incarnation) })
	n.world.store.scheduleRead(n)
}

func (n *node) tick(incarnation uint64) {
	if !n.up || incarnation != n.incarnation {
		return
	}
	if !n.paused {
		n.step(&balancer.Tick{})
	}
	if n.core.Finished() {
		n.crash()
		if n.stopped != nil {
			n.stopped()
		}
		return
	}
	n.world.After(balancer.TickInterval, func() { n.tick(incarnation) })
}

// crash ends the process immediately.
func (n *node) crash() {
	n.up = false
	n.queue = nil
}

// leave begins a planned stop; stopped is called when it has ended.
func (n *node) leave(stopped func()) {
	n.stopped = stopped
	n.step(&balancer.Leave{})
}

// pause suspends the process for a time; its sockets buffer datagrams.
func (n *node) pause(length time.Duration) {
	n.paused = true
	incarnation := n.incarnation
	n.world.After(length, func() {
		if !n.up || incarnation != n.incarnation {
			return
		}
		n.paused = false
		n.reachableSince = n.world.Now
		queued := n.queue
		n.queue = nil
		for _, event := range queued {
			n.step(event)
		}
	})
}

// receive passes an external event to the core, or buffers it while the process is paused.
func (n *node) receive(event balancer.Event) {
	_, isRevision := event.(*balancer.SettingsRevision)
	switch {
	case !n.up:
	case n.paused && (isRevision || len(n.queue) < socketQueueLength):
		// Revisions arrive over a stream, so the socket limit does not drop them.
		n.queue = append(n.queue, event)
	case !n.paused:
		n.step(event)
	}
}

// step passes an event to the core and performs its effects.
func (n *node) step(event balancer.Event) {
	var effects balancer.Effects
	n.core.Step(n.world.Now-n.started, event, &effects)
	for i := range effects.List {
		n.perform(&effects.List[i])
	}
	n.world.observer.recordRevision(n)
}

func (n *node) perform(effect *balancer.Effect) {
	w := n.world
	switch effect.Kind {
	case balancer.ForwardToBackend:
		target := w.byAddress[effect.To]
		packet := effect.Packet
		w.network.send(n.zone, target.zone, func() { target.receive(packet) })
	case balancer.DeliverToCaller:
		packet := effect.Packet
		w.network.send(n.zone, "", func() { w.deliverToCaller(packet) })
	case balancer.AnswerCaller:
		n.sendError(effect)
	case balancer.SendPeer:
		n.sendPeer(effect)
	}
}

// sendError delivers a balancer's own error answer to the caller.
func (n *node) sendError(effect *balancer.Effect) {
	packet, kind, retry := effect.Packet, effect.Error, effect.RetryAfter
	n.world.network.send(n.zone, "", func() {
		if s := n.world.sessions[packet.Flow]; s != nil {
			s.receiveError(packet, kind, retry)
		}
	})
}

func (n *node) sendPeer(effect *balancer.Effect) {
	message := effect.Message
	size := wire.EncodedSize(message) + balancer.DatagramOverhead
	if message.Relay != nil {
		n.relays.add(n.world.Now, size)
	} else {
		n.control.add(n.world.Now, size)
		n.world.recordTrace(traceControl, uint64(n.address.Port()), uint64(size))
	}
	to := n.world.nodeAt(effect.To)
	if to == nil {
		return
	}
	n.world.network.send(n.zone, to.zone, func() { to.receive(&balancer.PeerMessage{Message: message}) })
}

func (w *world) nodeAt(address netip.AddrPort) *node {
	for _, n := range w.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// deliverToCaller passes an answer to the session of its flow.
func (w *world) deliverToCaller(packet *balancer.Packet) {
	w.recordTrace(traceAtCaller, packet.Flow.Hash(), uint64(packet.MessageID))
	if s := w.sessions[packet.Flow]; s != nil {
		s.receive(packet, w.bodyOf(packet))
	}
}

// applySettings passes a revision from the store or an operator to the core.
func (n *node) applySettings(snapshot *settings.Snapshot) {
	n.receive(&balancer.SettingsRevision{Snapshot: snapshot})
}

// healthy reports whether a health check of the process would succeed.
func (n *node) healthy() bool {
	return n.up && !n.paused && n.core.Ready()
}

// updateMachineList updates the fabric and sends the list to every running balancer.
func (w *world) updateMachineList() {
	w.listedNodes = w.listedNodes[:0]
	for _, n := range w.nodes {
		n.updateListed()
		if n.listed {
			w.listedNodes = append(w.listedNodes, n)
		}
	}
	for _, n := range w.nodes {
		if n.up && !n.paused {
			n.sendMachineList()
		}
	}
}

func (n *node) updateListed() {
	healthy := n.healthy()
	switch {
	case healthy == n.listed:
		n.listOutdated = false
	case !n.listOutdated:
		n.listOutdated = true
		n.outdatedSince = n.world.Now
	case n.world.Now-n.outdatedSince >= machineListDelay:
		n.listed = healthy
		n.listOutdated = false
	}
}

func (n *node) sendMachineList() {
	var addresses []netip.AddrPort
	for _, machine := range n.world.listedNodes {
		addresses = append(addresses, machine.address)
	}
	if len(addresses) == 0 {
		for _, other := range n.world.nodes {
			addresses = append(addresses, other.address)
		}
	}
	n.step(&balancer.MachineList{Addresses: addresses})
}

// windowSlotLength is the resolution of the sliding one-second window.
const windowSlotLength = 100 * time.Millisecond

// windowSlots is the number of slots in one second.
const windowSlots = int(time.Second / windowSlotLength)

// window measures the maximum number of bytes in any sliding second.
type window struct {
	slots   [windowSlots]int
	slot    time.Duration
	current int
	largest int
	total   int
}

// add counts size bytes at now.
func (w *window) add(now time.Duration, size int) {
	slot := now / windowSlotLength
	for ; w.slot < slot; w.slot++ {
		if slot-w.slot > time.Duration(windowSlots) {
			w.slot = slot - time.Duration(windowSlots)
		}
		expired := (w.slot + 1) % time.Duration(windowSlots)
		w.current -= w.slots[expired]
		w.slots[expired] = 0
	}
	w.slots[slot%time.Duration(windowSlots)] += size
	w.current += size
	w.total += size
	w.largest = max(w.largest, w.current)
}
