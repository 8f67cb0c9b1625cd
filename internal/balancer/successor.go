package balancer

import (
	"time"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/membership"
)

// handleRelay handles a datagram relayed by another balancer.
func (c *Core) handleRelay(now time.Duration, from membership.ID, relay *Relay, effects *Effects) {
	packet := relay.Packet
	service := c.snapshot.ServiceAt(packet.Flow.Service)
	if service == nil {
		c.drop(errkind.UnknownService)
		return
	}
	hash := packet.Flow.Hash()
	pair := c.view.PairOf(hash)
	x := &exchangeContext{now: now, packet: packet, service: service, hash: hash, pair: pair, hops: relay.Hops, effects: effects}
	if pair.Owner == from && pair.Successor == c.self && relay.Kind != RelayToOwner {
		c.handleAsSuccessor(x, relay)
		return
	}
	if pair.Owner == c.self && pair.Successor == from && relay.Kind >= RelayAdopt && relay.Kind != RelayCopyAnswer {
		c.adoptRecord(x, relay)
		return
	}
	if relay.Kind == RelayCopy && pair.Owner == c.self {
		c.recordEarlierPin(x, relay)
	}
	c.route(now, packet, relay.Hops, effects)
}

// recordEarlierPin records the pin sent by an earlier owner if this owner has no
// record of the flow. The flow stays unverified until the successor confirms it.
func (c *Core) recordEarlierPin(x *exchangeContext, relay *Relay) {
	shard := c.flows.ShardOf(x.hash)
	shard.Lock()
	defer shard.Unlock()
	target := c.registry.getOrAdd(relay.Backend)
	if shard.Flows[x.packet.Flow] != nil || target == nil {
		return
	}
	f := c.insertFlow(x, shard)
	f.Complete = false
	c.pin(f, target)
	mergeRefusals(f, relay.Refusals, x.now)
}

// handleAsSuccessor handles a datagram sent by the flow's owner.
func (c *Core) handleAsSuccessor(x *exchangeContext, relay *Relay) {
	shard := c.flows.ShardOf(x.hash)
	shard.Lock()
	defer shard.Unlock()
	f := shard.Flows[x.packet.Flow]
	target := c.registry.getOrAdd(relay.Backend)
	if target == nil && relay.Error == errkind.None {
		c.drop(errkind.Malformed)
		return
	}
	if relay.Kind == RelayPropose && x.packet.Kind >= Answer {
		c.verifyAnswer(x, f, relay)
		return
	}
	if relay.Kind == RelayPropose && !c.acceptProposal(x, f, relay) {
		return
	}
	if f != nil && relay.Error != errkind.None && f.WasForwarded(x.packet.MessageID) {
		c.returnRecord(x, f)
		return
	}
	if f == nil {
		f = &flow.Flow{Key: x.packet.Flow, Hash: x.hash}
		shard.Add(f)
	}
	c.release(f)
	if target != nil {
		// A datagram without a pin never clears one: it may have been reordered.
		f.Backend = target.id
	}
	f.Verified = true
	f.Replica = x.pair.Owner
	f.LastSeen = x.now
	mergeRefusals(f, relay.Refusals, x.now)
	switch {
	case relay.Kind == RelayCopyAnswer:
		c.deliver(x.packet, x.effects)
	case relay.Error != errkind.None:
		c.recordRefusal(x, f, relay.Error)
		c.answer(x.packet, relay.Error, x.service.RefusalRetry, x.effects)
	default:
		c.forward(x.packet, target, x.effects)
	}
}

// acceptProposal reports whether the successor accepts a proposal unchanged.
// Otherwise it has sent its record to the owner or dropped the datagram.
func (c *Core) acceptProposal(x *exchangeContext, f *flow.Flow, relay *Relay) bool {
	if f != nil && f.AmbiguousUntil > x.now {
		c.relay(x.pair.Owner, Relay{Kind: RelayAmbiguous, Hops: x.hops, Packet: x.packet}, x.effects)
		return false
	}
	if f == nil || !f.Verified {
		return c.acceptUnverified(x, f, relay)
	}
	held := c.backendAddress(f)
	samePin := f.Backend == 0 || held == relay.Backend || held == relay.Replaces
	if samePin && listsAllRefusals(relay.Refusals, f) && (relay.Error == errkind.None || c.mayAcceptRefusal(x, f, relay)) {
		return true
	}
	c.returnRecord(x, f)
	return false
}

// acceptUnverified is acceptProposal for a flow without a verified record here. An
// unverified pin takes precedence over a newly proposed one.
func (c *Core) acceptUnverified(x *exchangeContext, f *flow.Flow, relay *Relay) bool {
	if c.pairUnsettled(x) {
		c.drop(errkind.Undecided)
		return false
	}
	complete := c.hasCompleteHistory(x)
	if !relay.OwnerHistoryComplete && !x.service.Repeatable && !complete {
		c.recordAmbiguous(x, f)
		c.relay(x.pair.Owner, Relay{Kind: RelayAmbiguous, Hops: x.hops, Packet: x.packet}, x.effects)
		return false
	}
	switch {
	case f == nil || relay.OwnerHistoryComplete && !complete:
		return true
	case complete && !listsAllRefusals(relay.Refusals, f):
		// No node decided without this one, so its refusals remain valid.
		c.returnRecord(x, f)
		return false
	case f.Backend == 0 || c.backendAddress(f) == relay.Backend || c.backendAddress(f) == relay.Replaces:
		return true
	}
	c.returnRecord(x, f)
	return false
}

// mayAcceptRefusal reports whether the request of a proposed refusal cannot have
// reached a back end. This node sees only some requests of a pinned flow, so its
// own record does not suffice.
func (c *Core) mayAcceptRefusal(x *exchangeContext, f *flow.Flow, relay *Relay) bool {
	exchange := f.FindExchange(x.packet.MessageID)
	return f.Backend == 0 || relay.OwnerHistoryComplete || exchange != nil && exchange.State == flow.Refused
}

// returnRecord sends a datagram back to the owner with this node's record of the
// flow. If it is lost, the owner's next proposal triggers it again.
func (c *Core) returnRecord(x *exchangeContext, f *flow.Flow) {
	relay := Relay{
		Kind:     RelayAdopt,
		Hops:     x.hops,
		Backend:  c.backendAddress(f),
		Refusals: refusalsOf(f, x.now),
		Packet:   x.packet,
	}
	f.Replica = x.pair.Owner
	c.relay(x.pair.Owner, relay, x.effects)
}

// verifyAnswer handles, as the successor, an answer to a flow that the owner has not
// verified. If this node has a verified record or a complete history, it returns the
// answer to the owner with its record. Otherwise it delivers the answer.
func (c *Core) verifyAnswer(x *exchangeContext, f *flow.Flow, relay *Relay) {
	if f == nil && !c.hasCompleteHistory(x) || f != nil && (f.AmbiguousUntil > x.now || !f.Verified) {
		c.deliver(x.packet, x.effects)
		return
	}
	if f == nil {
		f = &flow.Flow{Key: x.packet.Flow, Hash: x.hash}
		c.flows.ShardOf(x.hash).Add(f)
	}
	if target := c.registry.getOrAdd(relay.Backend); target != nil && f.Backend == 0 {
		f.Backend = target.id
	}
	f.Verified = true
	f.LastSeen = x.now
	c.returnRecord(x, f)
}

// recordAmbiguous records, as the successor, that no node can tell whether the
// flow's requests ran. The shard is locked.
func (c *Core) recordAmbiguous(x *exchangeContext, f *flow.Flow) {
	if f == nil {
		f = &flow.Flow{Key: x.packet.Flow, Hash: x.hash, LastSeen: x.now}
		c.flows.ShardOf(x.hash).Add(f)
	}
	f.AmbiguousUntil = x.now + x.service.RequestLifetime
}

// listsAllRefusals reports whether the list contains every refusal of the flow.
func listsAllRefusals(list []Refusal, f *flow.Flow) bool {
	for _, refusal := range f.Refusals() {
		listed := false
		for _, entry := range list {
			listed = listed || entry.MessageID == refusal.MessageID
		}
		if !listed {
			return false
		}
	}
	return true
}

// adoptRecord adopts the successor's record and continues handling the datagram.
func (c *Core) adoptRecord(x *exchangeContext, relay *Relay) {
	shard := c.flows.ShardOf(x.hash)
	shard.Lock()
	defer shard.Unlock()
	f := shard.Flows[x.packet.Flow]
	if f == nil {
		f = c.insertFlow(x, shard)
	}
	if relay.Kind == RelayAmbiguous {
		c.markAmbiguous(x, f)
		return
	}
	if exchange := f.FindExchange(x.packet.MessageID); exchange != nil && exchange.Proposed {
		if exchange.State == flow.Refused && exchange.Replica != x.pair.Successor {
			// An earlier successor may have answered the caller.
			exchange.State = flow.OutcomeUnknown
		} else {
			c.removeRequest(f, x.packet.MessageID)
		}
	}
	if target := c.registry.getOrAdd(relay.Backend); target != nil {
		c.pin(f, target)
	}
	f.Complete = false
	f.Verified = true
	f.Replica = 0
	if relay.Backend.IsValid() {
		f.Replica = x.pair.Successor
		f.ReplicatedAt = x.now
	}
	f.LastSeen = x.now
	mergeRefusals(f, relay.Refusals, x.now)
	c.Counters.Adopted.Add(1)
	if x.packet.Kind >= Answer {
		c.deliver(x.packet, x.effects)
		return
	}
	if x.packet.Kind != Request {
		c.drop(errkind.Malformed)
		return
	}
	if f.Backend == 0 && f.FindExchange(x.packet.MessageID) == nil {
		c.propose(x, f)
		return
	}
	c.handleRequest(x, f)
}
