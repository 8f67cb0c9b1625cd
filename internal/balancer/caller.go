package balancer

import (
	"net/netip"
	"time"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

// ownCaller handles a caller's datagram as the owner. The shard is locked.
func (c *Core) handleCallerDatagram(x *exchangeContext, shard *flow.Shard) {
	f := shard.Flows[x.packet.Flow]
	if x.packet.Kind == Control {
		c.handleControl(x, f)
		return
	}
	if f == nil {
		f = c.insertFlow(x, shard)
	}
	c.unpinIfSafe(x, f)
	f.LastSeen = x.now
	switch {
	case f.AmbiguousUntil > x.now:
		c.answer(x.packet, errkind.OutcomeUnknown, x.service.RefusalRetry, x.effects)
	case !f.Verified || f.Backend == 0:
		c.propose(x, f)
	default:
		c.handleRequest(x, f)
	}
}

// ownControl passes an acknowledgement or reset to the flow's back end. One
// that belongs to no known flow opens nothing: the back end repeats what it
// wants acknowledged, and that names the pin.
func (c *Core) handleControl(x *exchangeContext, f *flow.Flow) {
	if f == nil || f.Backend == 0 {
		c.drop(errkind.NoOwner)
		return
	}
	f.LastSeen = x.now
	c.forwardPinned(x, f, false)
}

// unpinWhereAllowed releases a flow from its back end where its next request
// may be placed anew without harm.
func (c *Core) unpinIfSafe(x *exchangeContext, f *flow.Flow) {
	if f.Backend == 0 || !f.Verified {
		return
	}
	// Without a majority the back end may only be out of this node's reach.
	down := c.quorum && c.registry.get(f.Backend).down(x.now)
	if !down && !c.idleOnDraining(x, f) {
		return
	}
	if down && !x.service.Repeatable && x.now-f.LastSeen <= x.service.RequestLifetime {
		// Copies of requests that ran at the dead back end may still arrive.
		f.AmbiguousUntil = x.now + x.service.RequestLifetime
	}
	c.release(f)
	f.PreviousBackend = f.Backend
	f.Backend = 0
	f.Replica = 0
	f.Observing = false
}

// rested tells whether a flow has been at rest for so long, at a back end that
// is leaving, that no copy of an earlier request can still arrive.
func (c *Core) idleOnDraining(x *exchangeContext, f *flow.Flow) bool {
	if f.Observing || x.now-f.LastSeen <= x.service.RequestLifetime {
		return false
	}
	configured := c.snapshot.Backends[f.Backend]
	return configured == nil || configured.Draining
}

// ownRequest handles a request of a flow whose record this owner vouches for.
func (c *Core) handleRequest(x *exchangeContext, f *flow.Flow) {
	if exchange := f.FindExchange(x.packet.MessageID); exchange != nil {
		c.handleRetransmission(x, f, exchange)
		return
	}
	if c.lacksQuorum() && !x.service.Repeatable && !x.packet.Continues {
		// The side with the majority may refuse this request.
		c.deferToMajority(x, f)
		return
	}
	if kind := c.admit(x, f); kind != errkind.None {
		c.refuse(x, f, kind)
		return
	}
	viaSuccessor := c.needsReplica(x, f)
	c.recordInFlight(x, f, viaSuccessor)
	c.forwardPinned(x, f, viaSuccessor)
}

// repeatRequest handles another copy of a request.
func (c *Core) handleRetransmission(x *exchangeContext, f *flow.Flow, exchange *flow.Exchange) {
	switch exchange.State {
	case flow.Refused:
		if exchange.Proposed && !f.Complete {
			// The successor has not agreed, and may know better by now.
			c.propose(x, f)
			return
		}
		c.sendRefusal(x, f, exchange.Kind)
	case flow.OutcomeUnknown:
		c.answer(x.packet, errkind.OutcomeUnknown, x.service.RefusalRetry, x.effects)
	case flow.InFlight, flow.Answered:
		target := c.registry.get(f.Backend)
		if target == nil || !c.config.Mechanisms.NoRetryBudget && !target.takeRetry(x.service.RetryBudget) {
			c.drop(errkind.RetryBudgetSpent)
			return
		}
		c.forwardPinned(x, f, exchange.State == flow.InFlight && exchange.Replica != 0)
	}
}

// admit decides whether a new request of a known flow may go to its back end.
func (c *Core) admit(x *exchangeContext, f *flow.Flow) errkind.Kind {
	if x.packet.Continues || c.config.Mechanisms.NoAdmission {
		return errkind.None
	}
	configured := c.snapshot.Backends[f.Backend]
	if configured == nil {
		return errkind.None
	}
	target := c.registry.get(f.Backend)
	nodes := max(len(c.view.Members), 1)
	kind := errkind.None
	switch {
	case int(target.inFlight.Load()) >= inFlightLimit(configured, nodes):
		kind = errkind.SlotsFull
	case !c.config.Mechanisms.NoDeadlineAdmission && c.wouldMissDeadline(x.service, target):
		kind = errkind.DeadlineTooShort
	}
	if kind == errkind.None || f.Complete {
		return kind
	}
	// This node may not have seen every request of the flow, so it cannot say
	// that this one did not run. The back end drops copies; let it decide.
	return errkind.None
}

// tooLate tells whether a request sent now would be answered after its
// deadline, from the smoothed time that the back end takes at present.
func (c *Core) wouldMissDeadline(service *settings.Service, target *backend) bool {
	return target.inFlight.Load() > 0 && time.Duration(target.serviceTime.Load()) > service.RequestDeadline
}

// begin records a request in flight.
func (c *Core) recordInFlight(x *exchangeContext, f *flow.Flow, viaSuccessor bool) {
	until := x.now + x.service.RequestDeadline
	exchange := flow.Exchange{
		MessageID:   x.packet.MessageID,
		Token:       x.packet.Token,
		State:       flow.InFlight,
		Confirmable: x.packet.Confirmable,
		Continues:   x.packet.Continues,
		Started:     x.now,
		Until:       until,
	}
	if viaSuccessor {
		exchange.Replica = x.pair.Successor
	}
	f.Exchanges = append(f.Exchanges, exchange)
	target := c.registry.get(f.Backend)
	target.inFlight.Add(1)
	target.requests.Add(1)
	c.deadlines.add(until, f.Key, x.packet.MessageID)
}

// needsReplica tells whether the successor lacks the flow's record.
func (c *Core) needsReplica(x *exchangeContext, f *flow.Flow) bool {
	if c.config.Strategy != Replicated || x.pair.Successor == 0 {
		return false
	}
	return f.Replica != x.pair.Successor || x.now-f.ReplicatedAt > x.service.FlowIdle/2
}

// forwardPinned sends a datagram to the flow's back end, through the successor
// when that must record the flow.
func (c *Core) forwardPinned(x *exchangeContext, f *flow.Flow, viaSuccessor bool) {
	target := c.registry.get(f.Backend)
	if target == nil {
		c.drop(errkind.NoBackend)
		return
	}
	if viaSuccessor && x.pair.Successor != 0 {
		relay := Relay{Kind: RelayCopy, Hops: x.hops, Backend: target.address, Packet: x.packet}
		relay.Refusals = refusalsOf(f, x.now)
		c.relay(x.pair.Successor, relay, x.effects)
		return
	}
	c.forward(x.packet, target, x.effects)
}

// insert adds an empty flow. Where this owner has a record of every request
// that may be repeated, the flow is new, and all its requests pass here.
func (c *Core) insertFlow(x *exchangeContext, shard *flow.Shard) *flow.Flow {
	f := &flow.Flow{Key: x.packet.Flow, Hash: x.hash, LastSeen: x.now}
	f.Complete = c.hasCompleteHistory(x)
	shard.Add(f)
	return f
}

// pin sets the flow's back end and counts the flow.
func (c *Core) pin(f *flow.Flow, target *backend) {
	if f.Backend == target.id && f.Owner {
		return
	}
	c.release(f)
	if f.Backend != target.id {
		// No peer holds the new pin.
		f.Replica = 0
	}
	f.Backend = target.id
	f.Owner = true
	target.flowCount(f.Key.Service).Add(1)
}

// release takes the flow and its requests in flight out of this node's counts.
func (c *Core) release(f *flow.Flow) {
	if !f.Owner {
		return
	}
	f.Owner = false
	target := c.registry.get(f.Backend)
	if target == nil {
		return
	}
	target.flowCount(f.Key.Service).Add(-1)
	target.inFlight.Add(-int64(f.InFlightCount()))
	f.SettleInFlight(f.LastSeen + c.longestLifetime())
}

// addressOf returns the address of a flow's back end, or the zero value.
func (c *Core) backendAddress(f *flow.Flow) netip.AddrPort {
	if target := c.registry.get(f.Backend); target != nil {
		return target.address
	}
	return netip.AddrPort{}
}
