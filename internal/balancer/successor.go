package balancer

import (
	"time"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/membership"
)

// handleRelay handles a datagram that another balancer passed on.
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
		c.succeed(x, relay)
		return
	}
	if pair.Owner == c.self && pair.Successor == from && relay.Kind >= RelayAdopt && relay.Kind != RelayTeach {
		c.adopt(x, relay)
		return
	}
	if relay.Kind == RelayCopy && pair.Owner == c.self {
		c.inherit(x, relay)
	}
	c.route(now, packet, relay.Hops, effects)
}

// inherit keeps the pin that an earlier owner vouched for, where this owner has
// none; the successor is still asked before it counts.
func (c *Core) inherit(x *exchangeContext, relay *Relay) {
	shard := c.flows.ShardOf(x.hash)
	shard.Lock()
	defer shard.Unlock()
	target := c.registry.at(relay.Backend)
	if shard.Flows[x.packet.Flow] != nil || target == nil {
		return
	}
	f := c.insert(x, shard)
	f.Complete = false
	c.pin(f, target)
	mergeRefusals(f, relay.Refusals, x.now)
}

// succeed handles a datagram as the successor of the owner that sent it.
func (c *Core) succeed(x *exchangeContext, relay *Relay) {
	shard := c.flows.ShardOf(x.hash)
	shard.Lock()
	defer shard.Unlock()
	f := shard.Flows[x.packet.Flow]
	target := c.registry.at(relay.Backend)
	if target == nil && relay.Error == errkind.None {
		c.drop(errkind.Malformed)
		return
	}
	if relay.Kind == RelayPropose && x.packet.Kind >= Answer {
		c.verify(x, f, relay)
		return
	}
	if relay.Kind == RelayPropose && !c.agree(x, f, relay) {
		return
	}
	if f != nil && relay.Error != errkind.None && f.Forwarded(x.packet.MessageID) {
		c.returnHeld(x, f)
		return
	}
	if f == nil {
		f = &flow.Flow{Key: x.packet.Flow, Hash: x.hash}
		shard.Add(f)
	}
	c.release(f)
	if target != nil {
		// A datagram without a pin never clears one: it may have been overtaken.
		f.Backend = target.id
	}
	f.Verified = true
	f.Replica = x.pair.Owner
	f.LastSeen = x.now
	mergeRefusals(f, relay.Refusals, x.now)
	switch {
	case relay.Kind == RelayTeach:
		c.deliver(x.packet, x.effects)
	case relay.Error != errkind.None:
		c.recordRefusal(x, f, relay.Error)
		c.answer(x.packet, relay.Error, x.service.RefusalRetry, x.effects)
	default:
		c.forward(x.packet, target, x.effects)
	}
}

// agree tells whether the successor takes a proposal as it is. Otherwise it has
// sent the owner what it holds.
func (c *Core) agree(x *exchangeContext, f *flow.Flow, relay *Relay) bool {
	if f != nil && f.AmbiguousUntil > x.now {
		c.relay(x.pair.Owner, Relay{Kind: RelayAmbiguous, Hops: x.hops, Packet: x.packet}, x.effects)
		return false
	}
	if f == nil || !f.Verified {
		return c.agreeUnknown(x, f, relay)
	}
	held := c.addressOf(f)
	samePin := f.Backend == 0 || held == relay.Backend || held == relay.Replaces
	if samePin && knowsAll(relay.Refusals, f) && (relay.Error == errkind.None || c.mayRefuse(x, f, relay)) {
		return true
	}
	c.returnHeld(x, f)
	return false
}

// agreeUnknown is agree for a flow of which this node has no record that it can
// vouch for. A pin from before it stopped to vouch is better than a new one.
func (c *Core) agreeUnknown(x *exchangeContext, f *flow.Flow, relay *Relay) bool {
	if c.undecided(x) {
		c.drop(errkind.Undecided)
		return false
	}
	covers := c.covers(x)
	if !relay.HeadCovers && !x.service.Repeatable && !covers {
		c.noteAmbiguous(x, f)
		c.relay(x.pair.Owner, Relay{Kind: RelayAmbiguous, Hops: x.hops, Packet: x.packet}, x.effects)
		return false
	}
	switch {
	case f == nil || relay.HeadCovers && !covers:
		return true
	case covers && !knowsAll(relay.Refusals, f):
		// Nobody decided without this node, so what it refused stays refused.
		c.returnHeld(x, f)
		return false
	case f.Backend == 0 || c.addressOf(f) == relay.Backend || c.addressOf(f) == relay.Replaces:
		return true
	}
	c.returnHeld(x, f)
	return false
}

// mayRefuse tells whether a proposed refusal is true: the request cannot have
// reached a back end. This node sees only some requests of a pinned flow.
func (c *Core) mayRefuse(x *exchangeContext, f *flow.Flow, relay *Relay) bool {
	known := f.Find(x.packet.MessageID)
	return f.Backend == 0 || relay.HeadCovers || known != nil && known.State == flow.Refused
}

// returnHeld sends a datagram back to the owner with what this node holds of
// the flow. Should it be lost, the owner's next datagram asks again.
func (c *Core) returnHeld(x *exchangeContext, f *flow.Flow) {
	relay := Relay{
		Kind:     RelayAdopt,
		Hops:     x.hops,
		Backend:  c.addressOf(f),
		Refusals: refusalsOf(f, x.now),
		Packet:   x.packet,
	}
	f.Replica = x.pair.Owner
	c.relay(x.pair.Owner, relay, x.effects)
}

// verify handles, as the successor, an answer whose flow the owner knows from
// that answer alone. Where this node knows the flow, or knows that nobody can
// know more, the owner gets the answer back with that knowledge.
func (c *Core) verify(x *exchangeContext, f *flow.Flow, relay *Relay) {
	if f == nil && !c.covers(x) || f != nil && (f.AmbiguousUntil > x.now || !f.Verified) {
		c.deliver(x.packet, x.effects)
		return
	}
	if f == nil {
		f = &flow.Flow{Key: x.packet.Flow, Hash: x.hash}
		c.flows.ShardOf(x.hash).Add(f)
	}
	if target := c.registry.at(relay.Backend); target != nil && f.Backend == 0 {
		f.Backend = target.id
	}
	f.Verified = true
	f.LastSeen = x.now
	c.returnHeld(x, f)
}

// noteAmbiguous remembers, as the successor, that nobody can say whether the
// flow's requests ran. The shard is locked.
func (c *Core) noteAmbiguous(x *exchangeContext, f *flow.Flow) {
	if f == nil {
		f = &flow.Flow{Key: x.packet.Flow, Hash: x.hash, LastSeen: x.now}
		c.flows.ShardOf(x.hash).Add(f)
	}
	f.AmbiguousUntil = x.now + x.service.RequestLifetime
}

// knowsAll tells whether the list names every refusal of the flow.
func knowsAll(list []Refusal, f *flow.Flow) bool {
	for _, refusal := range f.Refusals() {
		known := false
		for _, entry := range list {
			known = known || entry.MessageID == refusal.MessageID
		}
		if !known {
			return false
		}
	}
	return true
}

// adopt takes over what the successor holds of a flow and goes on with the datagram.
func (c *Core) adopt(x *exchangeContext, relay *Relay) {
	shard := c.flows.ShardOf(x.hash)
	shard.Lock()
	defer shard.Unlock()
	f := shard.Flows[x.packet.Flow]
	if f == nil {
		f = c.insert(x, shard)
	}
	if relay.Kind == RelayAmbiguous {
		c.markAmbiguous(x, f)
		return
	}
	if exchange := f.Find(x.packet.MessageID); exchange != nil && exchange.Proposed {
		if exchange.State == flow.Refused && exchange.Replica != x.pair.Successor {
			// An earlier successor may have told the caller; this one cannot know.
			exchange.State = flow.GivenUp
		} else {
			c.forget(f, x.packet.MessageID)
		}
	}
	if target := c.registry.at(relay.Backend); target != nil {
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
	if f.Backend == 0 && f.Find(x.packet.MessageID) == nil {
		c.propose(x, f)
		return
	}
	c.ownRequest(x, f)
}
