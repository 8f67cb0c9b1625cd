package balancer

import (
	"net/netip"
	"time"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

// handleCallerDatagram handles a caller's datagram as the owner. The shard is
// locked.
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

// handleControl forwards an acknowledgement or reset to the flow's back end. One
// of an unknown flow is dropped: the back end retransmits the unacknowledged
// message, which also identifies the flow's back end.
func (c *Core) handleControl(x *exchangeContext, f *flow.Flow) {
	if f == nil || f.Backend == 0 {
		c.drop(errkind.NoOwner)
		return
	}
	f.LastSeen = x.now
	c.forwardPinned(x, f, false)
}

// unpinIfSafe releases a flow whose back end is down, or draining or removed while
// the flow is idle, so that its next request is placed anew.
func (c *Core) unpinIfSafe(x *exchangeContext, f *flow.Flow) {
	if f.Backend == 0 || !f.Verified {
		return
	}
	// Without a quorum the back end may be unreachable from this node alone.
	down := c.quorum && c.registry.get(f.Backend).down(x.now)
	if !down && !c.idleOnDraining(x, f) {
		return
	}
	if down && !x.service.Repeatable && x.now-f.LastSeen <= x.service.RequestLifetime {
		// Retransmissions of requests that ran at the old back end may still arrive.
		f.AmbiguousUntil = x.now + x.service.RequestLifetime
	}
	c.release(f)
	f.PreviousBackend = f.Backend
	f.Backend = 0
	f.Replica = 0
	f.Observing = false
}

// idleOnDraining reports whether the flow's back end is draining or removed and
// the flow has been idle for longer than retransmissions may arrive.
func (c *Core) idleOnDraining(x *exchangeContext, f *flow.Flow) bool {
	if f.Observing || x.now-f.LastSeen <= x.service.RequestLifetime {
		return false
	}
	configured := c.snapshot.Backends[f.Backend]
	return configured == nil || configured.Draining
}

// handleRequest handles a request of a verified flow as its owner.
func (c *Core) handleRequest(x *exchangeContext, f *flow.Flow) {
	if exchange := f.FindExchange(x.packet.MessageID); exchange != nil {
		c.handleRetransmission(x, f, exchange)
		return
	}
	if c.lacksQuorum() && !x.service.Repeatable && !x.packet.Continues {
		// The balancers with a quorum may refuse this request.
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

// handleRetransmission handles a retransmission of a known request.
func (c *Core) handleRetransmission(x *exchangeContext, f *flow.Flow, exchange *flow.Exchange) {
	switch exchange.State {
	case flow.Refused:
		if exchange.Proposed && !f.Complete {
			// The successor has not confirmed the refusal and may hold a newer record.
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
	// This node may not have seen every request of the flow, so it cannot claim
	// that this one did not run. The back end detects duplicates.
	return errkind.None
}

// wouldMissDeadline reports whether a request sent now would probably be answered
// after its deadline, judging by the back end's smoothed service time.
func (c *Core) wouldMissDeadline(service *settings.Service, target *backend) bool {
	return target.inFlight.Load() > 0 && time.Duration(target.serviceTime.Load()) > service.RequestDeadline
}

// recordInFlight records a request in flight, sent through the successor if
// viaSuccessor is set, and schedules its deadline.
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

// needsReplica reports whether the successor lacks a recent copy of the flow's
// record.
func (c *Core) needsReplica(x *exchangeContext, f *flow.Flow) bool {
	if c.config.Strategy != Replicated || x.pair.Successor == 0 {
		return false
	}
	return f.Replica != x.pair.Successor || x.now-f.ReplicatedAt > x.service.FlowIdle/2
}

// forwardPinned sends a datagram to the flow's back end, through the successor if
// viaSuccessor is set, so that the successor records the flow.
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

// insertFlow adds an empty flow. The flow is complete if this owner has a complete
// history, because then no earlier request of it can exist.
func (c *Core) insertFlow(x *exchangeContext, shard *flow.Shard) *flow.Flow {
	f := &flow.Flow{Key: x.packet.Flow, Hash: x.hash, LastSeen: x.now}
	f.Complete = c.hasCompleteHistory(x)
	shard.Add(f)
	return f
}

// pin sets the flow's back end, marks this node as owner and counts the flow.
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

// release removes an owned flow and its requests in flight from this node's counts.
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

// backendAddress returns the address of the flow's back end, or the zero value.
func (c *Core) backendAddress(f *flow.Flow) netip.AddrPort {
	if target := c.registry.get(f.Backend); target != nil {
		return target.address
	}
	return netip.AddrPort{}
}
