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
	// bootstrapUntil ends the first start of the fleet.
	bootstrapUntil = 8 * time.Second
	// socketQueue is how many datagrams wait for a frozen process.
	socketQueue = 512
	// machineLag is how late the machine list and the fabric show a change.
	machineLag = 2 * time.Second
	// machineInterval is the time between two looks at the machines.
	machineInterval = 500 * time.Millisecond
)

// node is one balancer: the real core in a process that can die and freeze.
type node struct {
	world       *world
	address     netip.AddrPort
	zone        string
	core        *balancer.Core
	incarnation uint64
	started     time.Duration
	up          bool
	frozen      bool
	waiting     []balancer.Event
	// stopped is called when a planned stop is over.
	stopped func()

	// shown is what the machine list says; differsSince is when the truth began to differ.
	shown        bool
	differsSince time.Duration
	differs      bool

	control window
	relays  window
	// reachableSince is since when the store and peers can reach the process.
	reachableSince time.Duration
	// revision is the highest that was in force in this run of the process.
	revision uint64
}

func (w *world) addNode(address netip.AddrPort, zone string) *node {
	n := &node{world: w, address: address, zone: zone}
	w.nodes = append(w.nodes, n)
	return n
}

// start runs the process; first marks the first start of the whole fleet.
func (n *node) start(first bool) {
	n.incarnation++
	n.up = true
	n.frozen = false
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
		Measure:    wire.Measure,
	}
	if first {
		config.BootstrapUntil = bootstrapUntil
	}
	n.core = balancer.New(config)
	run := n.incarnation
	n.listMachines()
	n.world.After(n.world.Between(0, balancer.TickInterval), func() { n.tick(run) })
	n.world.store.attach(n)
}

func (n *node) tick(run uint64) {
	if !n.up || run != n.incarnation {
		return
	}
	if !n.frozen {
		n.step(&balancer.Tick{})
	}
	if n.core.Finished() {
		n.crash()
		if n.stopped != nil {
			n.stopped()
		}
		return
	}
	n.world.After(balancer.TickInterval, func() { n.tick(run) })
}

// crash ends the process at once.
func (n *node) crash() {
	n.up = false
	n.waiting = nil
}

// leave begins a planned stop.
func (n *node) leave(stopped func()) {
	n.stopped = stopped
	n.step(&balancer.Leave{})
}

// freeze stops the process for a while; datagrams wait in its sockets.
func (n *node) freeze(length time.Duration) {
	n.frozen = true
	run := n.incarnation
	n.world.After(length, func() {
		if !n.up || run != n.incarnation {
			return
		}
		n.frozen = false
		n.reachableSince = n.world.Now
		waiting := n.waiting
		n.waiting = nil
		for _, event := range waiting {
			n.step(event)
		}
	})
}

// receive takes an event from outside.
func (n *node) receive(event balancer.Event) {
	_, revision := event.(*balancer.SettingsRevision)
	switch {
	case !n.up:
	case n.frozen && (revision || len(n.waiting) < socketQueue):
		// Revisions come over a stream, which loses nothing.
		n.waiting = append(n.waiting, event)
	case !n.frozen:
		n.step(event)
	}
}

// step hands an event to the core and performs the effects.
func (n *node) step(event balancer.Event) {
	var effects balancer.Effects
	n.core.Step(n.world.Now-n.started, event, &effects)
	for i := range effects.List {
		n.perform(&effects.List[i])
	}
	n.world.truth.sawRevision(n)
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
		w.network.send(n.zone, "", func() { w.deliver(packet) })
	case balancer.AnswerCaller:
		n.answer(effect)
	case balancer.SendPeer:
		n.sendPeer(effect)
	}
}

// answer tells a caller how its request failed.
func (n *node) answer(effect *balancer.Effect) {
	packet, kind, retry := effect.Packet, effect.Error, effect.RetryAfter
	n.world.network.send(n.zone, "", func() {
		if s := n.world.sessions[packet.Flow]; s != nil {
			s.refused(packet, kind, retry)
		}
	})
}

func (n *node) sendPeer(effect *balancer.Effect) {
	message := effect.Message
	size := wire.Measure(message) + balancer.DatagramOverhead
	if message.Relay != nil {
		n.relays.add(n.world.Now, size)
	} else {
		n.control.add(n.world.Now, size)
		n.world.record(traceControl, uint64(n.address.Port()), uint64(size))
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

// deliver hands an answer to its caller.
func (w *world) deliver(packet *balancer.Packet) {
	w.record(traceAtCaller, packet.Flow.Hash(), uint64(packet.MessageID))
	if s := w.sessions[packet.Flow]; s != nil {
		s.receive(packet, w.bodyOf(packet))
	}
}

// apply hands the core a revision that the store or an operator sent.
func (n *node) apply(snapshot *settings.Snapshot) {
	n.receive(&balancer.SettingsRevision{Snapshot: snapshot})
}

// healthy tells what a probe of the process would find.
func (n *node) healthy() bool {
	return n.up && !n.frozen && n.core.Ready()
}

// updateMachines shows the machines as they were a while ago, to the fabric and
// to the balancers.
func (w *world) updateMachines() {
	w.machines = w.machines[:0]
	for _, n := range w.nodes {
		n.updateShown()
		if n.shown {
			w.machines = append(w.machines, n)
		}
	}
	for _, n := range w.nodes {
		if n.up && !n.frozen {
			n.listMachines()
		}
	}
}

func (n *node) updateShown() {
	healthy := n.healthy()
	switch {
	case healthy == n.shown:
		n.differs = false
	case !n.differs:
		n.differs = true
		n.differsSince = n.world.Now
	case n.world.Now-n.differsSince >= machineLag:
		n.shown = healthy
		n.differs = false
	}
}

func (n *node) listMachines() {
	var addresses []netip.AddrPort
	for _, machine := range n.world.machines {
		addresses = append(addresses, machine.address)
	}
	if len(addresses) == 0 {
		for _, other := range n.world.nodes {
			addresses = append(addresses, other.address)
		}
	}
	n.step(&balancer.MachineList{Addresses: addresses})
}

// windowSlot is the resolution at which the largest second is found.
const windowSlot = 100 * time.Millisecond

// windowSlots is how many slots make a second.
const windowSlots = int(time.Second / windowSlot)

// window finds the largest number of bytes in any second.
type window struct {
	slots   [windowSlots]int
	slot    time.Duration
	current int
	largest int
	total   int
}

// add counts bytes at now.
func (v *window) add(now time.Duration, size int) {
	slot := now / windowSlot
	for ; v.slot < slot; v.slot++ {
		if slot-v.slot > time.Duration(windowSlots) {
			v.slot = slot - time.Duration(windowSlots)
		}
		next := (v.slot + 1) % time.Duration(windowSlots)
		v.current -= v.slots[next]
		v.slots[next] = 0
	}
	v.slots[slot%time.Duration(windowSlots)] += size
	v.current += size
	v.total += size
	v.largest = max(v.largest, v.current)
}
