package balancer

import (
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/membership"
	"gaugeyard/internal/placement"
)

// propose places a flow that is new or not verified. The successor decides: it
// returns the record that it holds, or records the proposal and forwards the
// datagram. No node places a flow alone while it has a successor.
func (c *Core) propose(x *exchangeContext, f *flow.Flow) {
	if c.pairUnsettled(x) {
		c.drop(errkind.Undecided)
		return
	}
	if c.lacksQuorum() {
		c.deferToMajority(x, f)
		return
	}
	if exchange := f.FindExchange(x.packet.MessageID); exchange != nil && exchange.State == flow.OutcomeUnknown {
		c.answer(x.packet, errkind.OutcomeUnknown, x.service.RefusalRetry, x.effects)
		return
	}
	kind := c.prepareProposal(x, f)
	// A flow learned from an answer alone may lack refusals.
	complete := f.Complete && c.hasCompleteHistory(x)
	if x.pair.Successor == 0 || c.config.Strategy != Replicated {
		c.decideWithoutSuccessor(x, f, kind, complete)
		return
	}
	relay := Relay{
		Kind:                 RelayPropose,
		Hops:                 x.hops,
		OwnerHistoryComplete: complete,
		Error:                kind,
		Backend:              c.backendAddress(f),
		Refusals:             refusalsOf(f, x.now),
		Packet:               x.packet,
	}
	if replaced := c.registry.get(f.PreviousBackend); replaced != nil {
		relay.Replaces = replaced.address
	}
	if f.FindExchange(x.packet.MessageID) == nil {
		c.recordProposed(x, f, kind)
		f.FindExchange(x.packet.MessageID).Proposed = true
	}
	c.recordRefusalReplica(x, f)
	c.relay(x.pair.Successor, relay, x.effects)
}

// pairUnsettled reports whether the pair is so new that its nodes may not agree on
// it. Requests of a service that is not repeatable then wait for a retransmission.
func (c *Core) pairUnsettled(x *exchangeContext) bool {
	settled := c.continuity.IsSettled(membership.PartitionOf(x.hash), x.now)
	return !settled && !x.service.Repeatable && !c.config.Mechanisms.NoContinuity && c.config.Strategy == Replicated
}

// lacksQuorum reports whether this node reaches no majority and must not place new
// flows: others may have placed them already, and a back end may be draining
// without this node's knowledge.
func (c *Core) lacksQuorum() bool {
	return !c.quorum && !c.config.Mechanisms.NoQuorum && c.config.Strategy == Replicated
}

// deferToMajority drops the first copy of a request, because the fabric may deliver
// a retransmission to a balancer with a quorum. A retransmission that arrives here
// is answered with an unknown outcome.
func (c *Core) deferToMajority(x *exchangeContext, f *flow.Flow) {
	if f.FindExchange(x.packet.MessageID) != nil {
		c.answer(x.packet, errkind.OutcomeUnknown, x.service.RefusalRetry, x.effects)
		return
	}
	c.drop(errkind.Undecided)
	f.Exchanges = append(f.Exchanges, flow.Exchange{
		MessageID: x.packet.MessageID,
		Token:     x.packet.Token,
		State:     flow.OutcomeUnknown,
		Until:     x.now + x.service.RequestLifetime,
	})
}

// prepareProposal returns the earlier refusal of a retransmitted request, or pins
// the flow. It returns the reason if no back end is available.
func (c *Core) prepareProposal(x *exchangeContext, f *flow.Flow) errkind.Kind {
	exchange := f.FindExchange(x.packet.MessageID)
	switch {
	case exchange != nil && exchange.State == flow.Refused:
		return exchange.Kind
	case f.Backend != 0:
		return errkind.None
	}
	return c.place(x, f)
}

// multipleReplicas marks a refusal that was sent to more than one successor.
const multipleReplicas = ^membership.ID(0)

// recordRefusalReplica records which successor may have sent the caller a refusal.
func (c *Core) recordRefusalReplica(x *exchangeContext, f *flow.Flow) {
	exchange := f.FindExchange(x.packet.MessageID)
	if exchange.State != flow.Refused || exchange.Replica == x.pair.Successor {
		return
	}
	if exchange.Replica == 0 {
		exchange.Replica = x.pair.Successor
		return
	}
	exchange.Replica = multipleReplicas
}

// recordProposed records a request as refused or in flight through the successor.
func (c *Core) recordProposed(x *exchangeContext, f *flow.Flow, kind errkind.Kind) {
	if kind != errkind.None {
		c.recordRefusal(x, f, kind)
		return
	}
	c.recordInFlight(x, f, true)
}

// place pins a new flow to a back end or returns why none is available.
func (c *Core) place(x *exchangeContext, f *flow.Flow) errkind.Kind {
	candidates, backends := c.candidates(x.now, x.service, x.effects)
	index, result := placement.Choose(x.hash, candidates, x.service.LoadFactor)
	switch result {
	case placement.NoneOpen:
		return errkind.NoBackend
	case placement.FlowLimitReached:
		return errkind.ConnectionsFull
	case placement.InFlightLimitReached:
		return errkind.SlotsFull
	case placement.Diverted:
		c.Counters.Deviating.Add(1)
	}
	if !c.config.Mechanisms.NoDeadlineAdmission && !c.config.Mechanisms.NoAdmission && c.wouldMissDeadline(x.service, backends[index]) {
		return errkind.DeadlineTooShort
	}
	c.Counters.NewFlows.Add(1)
	c.pin(f, backends[index])
	return errkind.None
}

// hasCompleteHistory reports whether this node has a record of every request in the
// flow's partition that may still be retransmitted.
func (c *Core) hasCompleteHistory(x *exchangeContext) bool {
	if c.config.Mechanisms.NoContinuity {
		return true
	}
	partition := membership.PartitionOf(x.hash)
	return c.continuity.HasCompleteHistory(partition, x.now, x.service.RequestLifetime) && (c.quorum || c.config.Mechanisms.NoQuorum)
}

// decideWithoutSuccessor settles a proposal when the flow has no successor.
func (c *Core) decideWithoutSuccessor(x *exchangeContext, f *flow.Flow, kind errkind.Kind, complete bool) {
	if !complete && !x.service.Repeatable && c.config.Strategy == Replicated {
		c.markAmbiguous(x, f)
		return
	}
	f.Verified = true
	if kind != errkind.None {
		c.recordRefusal(x, f, kind)
		c.answer(x.packet, kind, x.service.RefusalRetry, x.effects)
		return
	}
	if f.FindExchange(x.packet.MessageID) == nil {
		c.recordInFlight(x, f, false)
	}
	c.forwardPinned(x, f, false)
}

// markAmbiguous answers that the outcome of the request is unknown. Later requests
// get the same answer while retransmissions of older ones may arrive.
func (c *Core) markAmbiguous(x *exchangeContext, f *flow.Flow) {
	c.release(f)
	f.Backend = 0
	f.Verified = false
	f.Complete = false
	f.AmbiguousUntil = x.now + x.service.RequestLifetime
	c.answer(x.packet, errkind.OutcomeUnknown, x.service.RefusalRetry, x.effects)
}
