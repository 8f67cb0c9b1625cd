package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/membership"
	"gaugeyard/internal/placement"
	"gaugeyard/internal/settings"
)

// Core holds the state of a balancer and makes its decisions.
type Core struct {
	config Config
	self   membership.ID

	// control guards membership, settings and the shutdown state. Datagram workers
	// hold it for reading.
	control    sync.RWMutex
	detector   *membership.Detector
	view       *membership.View
	continuity *membership.Continuity
	quorum     bool
	// quorumSince is when a majority became reachable, 0 while there is none.
	quorumSince time.Duration
	snapshot    *settings.Snapshot
	history     []*settings.Snapshot
	assembly    assembly
	// settingsQueue holds settings parts that wait for the byte budget.
	settingsQueue []queuedPart
	rampStarts    map[settings.BackendID]time.Duration
	leave         leaveState

	flows     *flow.Table
	registry  registry
	deadlines deadlineQueue
	copier    copier
	// settled is the copier's state at the last tick, for other goroutines.
	settled atomic.Bool
	budget  byteBudget

	lastTick      atomic.Int64
	lastHeartbeat time.Duration
	// heartbeats counts the rounds of heartbeats sent.
	heartbeats          uint64
	lastSettingsRequest time.Duration
	viewChanged         time.Duration
	// invalidations counts how often this node has invalidated its records.
	invalidations    uint32
	lastInvalidation time.Duration
	// joinAt is the earliest time at which this node may join the view.
	joinAt time.Duration
	// ticked is set once the first tick has passed.
	ticked bool

	Counters Counters
}

// Counters are the monotonic counters that a balancer exposes.
type Counters struct {
	Datagrams, Forwarded, Delivered, Relayed, Detoured     atomic.Uint64
	NewFlows, Deviating, Adopted, ExpiredFlows, LateAnswer atomic.Uint64
	ControlBytes, ControlDeferred, StaleRevisions          atomic.Uint64
	Dropped                                                [32]atomic.Uint64
	Answered                                               [32]atomic.Uint64
}

// New returns a core without settings and peers.
func New(config Config) *Core {
	if config.ControlBytesPerSecond == 0 {
		config.ControlBytesPerSecond = DefaultControlBytesPerSecond
	}
	core := &Core{
		config:     config,
		self:       config.Self.ID,
		detector:   membership.NewDetector(config.Self),
		continuity: membership.NewContinuity(config.Self.ID, config.BootstrapUntil),
		snapshot:   settings.Resolve(settings.Tree{"": settings.Values{}}, 0),
		rampStarts: map[settings.BackendID]time.Duration{},
		flows:      flow.NewTable(),
	}
	core.view = membership.NewView(nil, false)
	core.budget.perSecond = config.ControlBytesPerSecond
	core.budget.unlimited = config.Mechanisms.NoControlBudget
	return core
}

// Effects collects the effects of Step. A worker reuses one Effects and calls
// Reset between steps.
type Effects struct {
	List       []Effect
	candidates []placement.Candidate
	backends   []*backend
}

// Reset empties the list and retains its memory.
func (e *Effects) Reset() {
	clear(e.List)
	e.List = e.List[:0]
}

func (e *Effects) add(effect Effect) {
	e.List = append(e.List, effect)
}

// Step handles one event and appends the resulting effects. now must not
// decrease. Packets and messages in effects are valid until the driver reuses the
// event's memory.
func (c *Core) Step(now time.Duration, event Event, effects *Effects) {
	c.detectPause(now, effects)
	switch e := event.(type) {
	case *Datagram:
		c.control.RLock()
		c.handleDatagram(now, e.Packet, effects)
		c.control.RUnlock()
	case *PeerMessage:
		c.handleMessage(now, e.Message, effects)
	case *SettingsRevision:
		c.control.Lock()
		c.applySettings(now, e.Snapshot, effects)
		c.control.Unlock()
	case *MachineList:
		c.control.Lock()
		c.detector.SetMachineList(e.Addresses)
		c.control.Unlock()
	case *LoadReport:
		c.registry.recordUtilization(e.Backend, e.Utilization)
	case *Tick:
		c.tick(now, effects)
	case *Leave:
		c.control.Lock()
		c.startLeave(now, effects)
		c.control.Unlock()
	}
}

func (c *Core) handleDatagram(now time.Duration, packet *Packet, effects *Effects) {
	c.Counters.Datagrams.Add(1)
	c.leave.recordTraffic(now)
	c.route(now, packet, 0, effects)
}

// route handles a datagram if this node owns its flow, and relays it to the owner
// otherwise.
func (c *Core) route(now time.Duration, packet *Packet, hops uint8, effects *Effects) {
	service := c.snapshot.ServiceAt(packet.Flow.Service)
	if service == nil {
		c.drop(errkind.UnknownService)
		return
	}
	if len(packet.Data) > service.MaxDatagram {
		c.drop(errkind.Oversized)
		return
	}
	if c.config.Strategy >= Consistent {
		c.routeStateless(packet, service, effects)
		return
	}
	hash := packet.Flow.Hash()
	pair := c.view.PairOf(hash)
	if pair.Owner == c.self {
		c.handleAsOwner(now, packet, service, hash, pair, hops, effects)
		return
	}
	answer := packet.Kind >= Answer
	if answer && (pair.Owner == 0 || c.detector.IsOverdue(pair.Owner, now)) {
		// The owner may be down. Delivering an answer needs no flow state.
		c.deliver(packet, effects)
		return
	}
	c.relay(pair.Owner, Relay{Kind: RelayToOwner, Hops: hops, Packet: packet}, effects)
}

func (c *Core) handleAsOwner(now time.Duration, packet *Packet, service *settings.Service, hash uint64, pair membership.Pair, hops uint8, effects *Effects) {
	context := exchangeContext{now: now, packet: packet, service: service, hash: hash, pair: pair, hops: hops, effects: effects}
	shard := c.flows.ShardOf(hash)
	shard.Lock()
	defer shard.Unlock()
	if packet.Kind >= Answer {
		c.handleAnswer(&context, shard)
		return
	}
	c.handleCallerDatagram(&context, shard)
}

// exchangeContext holds what the steps of handling one datagram share.
type exchangeContext struct {
	now     time.Duration
	packet  *Packet
	service *settings.Service
	hash    uint64
	pair    membership.Pair
	hops    uint8
	effects *Effects
}

// routeStateless routes a datagram under Consistent or Modulo, without flow state.
func (c *Core) routeStateless(packet *Packet, service *settings.Service, effects *Effects) {
	if packet.Kind >= Answer {
		c.deliver(packet, effects)
		return
	}
	candidates, backends := c.candidates(0, service, effects)
	index := placement.Preferred(packet.Flow.Hash(), candidates)
	if c.config.Strategy == Modulo {
		index = moduloIndex(packet.Flow.Hash(), candidates)
	}
	if index < 0 {
		c.answer(packet, errkind.NoBackend, service.RefusalRetry, effects)
		return
	}
	c.forward(packet, backends[index], effects)
}

func moduloIndex(hash uint64, candidates []placement.Candidate) int {
	open := 0
	for i := range candidates {
		if !candidates[i].Closed {
			open++
		}
	}
	if open == 0 {
		return -1
	}
	remaining := int(hash % uint64(open))
	for i := range candidates {
		if candidates[i].Closed {
			continue
		}
		if remaining == 0 {
			return i
		}
		remaining--
	}
	return -1
}

func (c *Core) forward(packet *Packet, target *backend, effects *Effects) {
	c.Counters.Forwarded.Add(1)
	effects.add(Effect{Kind: ForwardToBackend, To: target.address, Packet: packet})
}

func (c *Core) deliver(packet *Packet, effects *Effects) {
	c.Counters.Delivered.Add(1)
	effects.add(Effect{Kind: DeliverToCaller, To: packet.Flow.Caller, Packet: packet})
}

// answer answers a request with a failure. Datagrams of other kinds are only
// counted.
func (c *Core) answer(packet *Packet, kind errkind.Kind, retry time.Duration, effects *Effects) {
	c.Counters.Answered[kind].Add(1)
	if packet.Kind != Request {
		return
	}
	effects.add(Effect{Kind: AnswerCaller, To: packet.Flow.Caller, Packet: packet, Error: kind, RetryAfter: retry})
}

func (c *Core) drop(kind errkind.Kind) {
	c.Counters.Dropped[kind].Add(1)
}

// relay sends a datagram to another balancer. It drops the datagram if the receiver
// is not live or the hop limit is reached.
func (c *Core) relay(to membership.ID, relay Relay, effects *Effects) {
	member, live := c.view.Member(to)
	if !live || relay.Hops >= HopLimit {
		c.drop(errkind.NoOwner)
		return
	}
	relay.Hops++
	relay.Data = relay.Packet.Data
	c.Counters.Relayed.Add(1)
	if relay.Kind != RelayToOwner {
		c.Counters.Detoured.Add(1)
	}
	effects.add(Effect{Kind: SendPeer, To: member.Address, Message: &Message{From: c.self, Relay: &relay}})
}
