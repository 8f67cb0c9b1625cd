package balancer

import (
	"net/netip"
	"time"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/membership"
	"gaugeyard/internal/placement"
	"gaugeyard/internal/settings"
)

// ownCaller handles a caller's datagram as the owner. The shard is locked.
func (c *Core) ownCaller(x *exchangeContext, shard *flow.Shard) {
	f := shard.Flows[x.packet.Flow]
	if x.packet.Kind == Control {
		c.ownControl(x, f)
		return
	}
	if f == nil {
		f = c.insert(x, shard)
	}
	c.unpinWhereAllowed(x, f)
	f.LastSeen = x.now
	switch {
	case f.AmbiguousUntil > x.now:
		c.answer(x.packet, errkind.OutcomeUnknown, x.service.RefusalRetry, x.effects)
	case !f.Verified || f.Backend == 0:
		c.propose(x, f)
	default:
		c.ownRequest(x, f)
	}
}

// ownControl passes an acknowledgement or reset to the flow's back end. One
// that belongs to no known flow opens nothing: the back end repeats what it
// wants acknowledged, and that names the pin.
func (c *Core) ownControl(x *exchangeContext, f *flow.Flow) {
	if f == nil || f.Backend == 0 {
		c.drop(errkind.NoOwner)
		return
	}
	f.LastSeen = x.now
	c.forwardPinned(x, f, false)
}

// unpinWhereAllowed releases a flow from its back end where its next request
// may be placed anew without harm.
func (c *Core) unpinWhereAllowed(x *exchangeContext, f *flow.Flow) {
	if f.Backend == 0 || !f.Verified {
		return
	}
	// Without a majority the back end may only be out of this node's reach.
	dead := c.quorum && c.registry.get(f.Backend).dead(x.now)
	if !dead && !c.rested(x, f) {
		return
	}
	if dead && !x.service.Repeatable && x.now-f.LastSeen <= x.service.RequestLifetime {
		// Copies of requests that ran at the dead back end may still arrive.
		f.AmbiguousUntil = x.now + x.service.RequestLifetime
	}
	c.release(f)
	f.Replaced = f.Backend
	f.Backend = 0
	f.Replica = 0
	f.Observing = false
}

// rested tells whether a flow has been at rest for so long, at a back end that
// is leaving, that no copy of an earlier request can still arrive.
func (c *Core) rested(x *exchangeContext, f *flow.Flow) bool {
	if f.Observing || x.now-f.LastSeen <= x.service.RequestLifetime {
		return false
	}
	configured := c.snapshot.Backends[f.Backend]
	return configured == nil || configured.Draining
}

// ownRequest handles a request of a flow whose record this owner vouches for.
func (c *Core) ownRequest(x *exchangeContext, f *flow.Flow) {
	if exchange := f.Find(x.packet.MessageID); exchange != nil {
		c.repeatRequest(x, f, exchange)
		return
	}
	if c.powerless() && !x.service.Repeatable && !x.packet.Continues {
		// The side with the majority may refuse this request.
		c.standBack(x, f)
		return
	}
	if kind := c.admit(x, f); kind != errkind.None {
		c.refuse(x, f, kind)
		return
	}
	detour := c.needsReplica(x, f)
	c.begin(x, f, detour)
	c.forwardPinned(x, f, detour)
}

// repeatRequest handles another copy of a request.
func (c *Core) repeatRequest(x *exchangeContext, f *flow.Flow, exchange *flow.Exchange) {
	switch exchange.State {
	case flow.Refused:
		if exchange.Proposed && !f.Complete {
			// The successor has not agreed, and may know better by now.
			c.propose(x, f)
			return
		}
		c.sendRefusal(x, f, exchange.Kind)
	case flow.GivenUp:
		c.answer(x.packet, errkind.OutcomeUnknown, x.service.RefusalRetry, x.effects)
	case flow.InFlight, flow.Answered:
		target := c.registry.get(f.Backend)
		if target == nil || !c.config.Mechanisms.NoRetryBudget && !target.mayRetry(x.service.RetryBudget) {
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
	case !c.config.Mechanisms.NoDeadlineAdmission && c.tooLate(x.service, target):
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
func (c *Core) tooLate(service *settings.Service, target *backend) bool {
	return target.inFlight.Load() > 0 && time.Duration(target.serviceTime.Load()) > service.RequestDeadline
}

// begin records a request in flight.
func (c *Core) begin(x *exchangeContext, f *flow.Flow, replicated bool) {
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
	if replicated {
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
func (c *Core) forwardPinned(x *exchangeContext, f *flow.Flow, detour bool) {
	target := c.registry.get(f.Backend)
	if target == nil {
		c.drop(errkind.NoBackend)
		return
	}
	if detour && x.pair.Successor != 0 {
		relay := Relay{Kind: RelayCopy, Hops: x.hops, Backend: target.address, Packet: x.packet}
		relay.Refusals = refusalsOf(f, x.now)
		c.relay(x.pair.Successor, relay, x.effects)
		return
	}
	c.forward(x.packet, target, x.effects)
}

// propose places a flow that this owner cannot vouch for. The successor has the
// last word: it returns the pin it holds, or records the proposal and sends the
// datagram on itself. So no new flow takes effect on one node's word alone.
func (c *Core) propose(x *exchangeContext, f *flow.Flow) {
	if c.undecided(x) {
		c.drop(errkind.Undecided)
		return
	}
	if c.powerless() {
		c.standBack(x, f)
		return
	}
	if exchange := f.Find(x.packet.MessageID); exchange != nil && exchange.State == flow.GivenUp {
		c.answer(x.packet, errkind.OutcomeUnknown, x.service.RefusalRetry, x.effects)
		return
	}
	kind := c.proposal(x, f)
	// What this node knows of a flow from an answer alone may lack refusals.
	covers := f.Complete && c.covers(x)
	if x.pair.Successor == 0 || c.config.Strategy != Replicated {
		c.decideAlone(x, f, kind, covers)
		return
	}
	relay := Relay{
		Kind:       RelayPropose,
		Hops:       x.hops,
		HeadCovers: covers,
		Error:      kind,
		Backend:    c.addressOf(f),
		Refusals:   refusalsOf(f, x.now),
		Packet:     x.packet,
	}
	if replaced := c.registry.get(f.Replaced); replaced != nil {
		relay.Replaces = replaced.address
	}
	if f.Find(x.packet.MessageID) == nil {
		c.note(x, f, kind)
		f.Find(x.packet.MessageID).Proposed = true
	}
	c.noteAsked(x, f)
	c.relay(x.pair.Successor, relay, x.effects)
}

// undecided tells whether the pair is so new that its members may not agree on
// it yet. A request that may not run twice then waits for its next copy.
func (c *Core) undecided(x *exchangeContext) bool {
	settled := c.continuity.Settled(membership.PartitionOf(x.hash), x.now)
	return !settled && !x.service.Repeatable && !c.config.Mechanisms.NoContinuity && c.config.Strategy == Replicated
}

// powerless tells whether this node hears no majority, so that it must not
// decide where a new flow goes: others may have placed it already, and a back
// end may be leaving without this node's knowledge.
func (c *Core) powerless() bool {
	return !c.quorum && !c.config.Mechanisms.NoQuorum && c.config.Strategy == Replicated
}

// standBack leaves the first copy of a request to the balancers that hear a
// majority: the fabric may take the next copy to one of them. A copy that comes
// back here all the same is answered at once.
func (c *Core) standBack(x *exchangeContext, f *flow.Flow) {
	if f.Find(x.packet.MessageID) != nil {
		c.answer(x.packet, errkind.OutcomeUnknown, x.service.RefusalRetry, x.effects)
		return
	}
	c.drop(errkind.Undecided)
	f.Exchanges = append(f.Exchanges, flow.Exchange{
		MessageID: x.packet.MessageID,
		Token:     x.packet.Token,
		State:     flow.GivenUp,
		Until:     x.now + x.service.RequestLifetime,
	})
}

// proposal returns the refusal that an earlier copy of the request met, or
// makes sure that the flow has a pin.
func (c *Core) proposal(x *exchangeContext, f *flow.Flow) errkind.Kind {
	exchange := f.Find(x.packet.MessageID)
	switch {
	case exchange != nil && exchange.State == flow.Refused:
		return exchange.Kind
	case f.Backend != 0:
		return errkind.None
	}
	return c.place(x, f)
}

// severalReplicas marks a refusal that was proposed to more than one successor.
const severalReplicas = ^membership.ID(0)

// noteAsked keeps in mind which successor may have told the caller of a refusal.
func (c *Core) noteAsked(x *exchangeContext, f *flow.Flow) {
	exchange := f.Find(x.packet.MessageID)
	if exchange.State != flow.Refused || exchange.Replica == x.pair.Successor {
		return
	}
	if exchange.Replica == 0 {
		exchange.Replica = x.pair.Successor
		return
	}
	exchange.Replica = severalReplicas
}

// note records a request as refused, or as in flight through the successor.
func (c *Core) note(x *exchangeContext, f *flow.Flow, kind errkind.Kind) {
	if kind != errkind.None {
		c.recordRefusal(x, f, kind)
		return
	}
	c.begin(x, f, true)
}

// beginOnce records the request unless an earlier copy did.
func (c *Core) beginOnce(x *exchangeContext, f *flow.Flow, replicated bool) {
	if f.Find(x.packet.MessageID) == nil {
		c.begin(x, f, replicated)
	}
}

// insert adds an empty flow. Where this owner has a record of every request
// that may be repeated, the flow is new, and all its requests pass here.
func (c *Core) insert(x *exchangeContext, shard *flow.Shard) *flow.Flow {
	f := &flow.Flow{Key: x.packet.Flow, Hash: x.hash, LastSeen: x.now}
	f.Complete = c.covers(x)
	shard.Add(f)
	return f
}

// place picks the back end of a new flow and pins it, or says why none is free.
func (c *Core) place(x *exchangeContext, f *flow.Flow) errkind.Kind {
	candidates, backends := c.candidates(x.now, x.service, x.effects)
	factor := x.service.LoadFactor
	index, result := placement.Choose(x.hash, candidates, factor)
	switch result {
	case placement.NoneOpen:
		return errkind.NoBackend
	case placement.FlowsFull:
		return errkind.ConnectionsFull
	case placement.InFlightFull:
		return errkind.SlotsFull
	case placement.Deviates:
		c.Counters.Deviating.Add(1)
	}
	if !c.config.Mechanisms.NoDeadlineAdmission && !c.config.Mechanisms.NoAdmission && c.tooLate(x.service, backends[index]) {
		return errkind.DeadlineTooShort
	}
	c.Counters.NewFlows.Add(1)
	c.pin(f, backends[index])
	return errkind.None
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
	f.HandOver(f.LastSeen + c.longestLifetime())
}

// covers tells whether this node has a record of every request that may still
// be repeated in the flow's partition.
func (c *Core) covers(x *exchangeContext) bool {
	if c.config.Mechanisms.NoContinuity {
		return true
	}
	partition := membership.PartitionOf(x.hash)
	return c.continuity.Covers(partition, x.now, x.service.RequestLifetime) && (c.quorum || c.config.Mechanisms.NoQuorum)
}

// decideAlone settles a proposal where there is no successor to ask.
func (c *Core) decideAlone(x *exchangeContext, f *flow.Flow, kind errkind.Kind, covers bool) {
	if !covers && !x.service.Repeatable && c.config.Strategy == Replicated {
		c.markAmbiguous(x, f)
		return
	}
	f.Verified = true
	if kind != errkind.None {
		c.recordRefusal(x, f, kind)
		c.answer(x.packet, kind, x.service.RefusalRetry, x.effects)
		return
	}
	c.beginOnce(x, f, false)
	c.forwardPinned(x, f, false)
}

// markAmbiguous answers that nobody knows whether the request ran, and keeps
// answering so while copies of older requests may arrive.
func (c *Core) markAmbiguous(x *exchangeContext, f *flow.Flow) {
	c.release(f)
	f.Backend = 0
	f.Verified = false
	f.Complete = false
	f.AmbiguousUntil = x.now + x.service.RequestLifetime
	c.answer(x.packet, errkind.OutcomeUnknown, x.service.RefusalRetry, x.effects)
}

// refuse records that a request does not run and tells the caller through the
// successor, so that the record outlives this node.
func (c *Core) refuse(x *exchangeContext, f *flow.Flow, kind errkind.Kind) {
	c.recordRefusal(x, f, kind)
	f.Find(x.packet.MessageID).Proposed = true
	if f.Replica != x.pair.Successor {
		// The copy that an earlier successor holds lacks this refusal.
		f.Replica = 0
	}
	c.sendRefusal(x, f, kind)
}

func (c *Core) recordRefusal(x *exchangeContext, f *flow.Flow, kind errkind.Kind) {
	if f.Find(x.packet.MessageID) != nil {
		return
	}
	f.Exchanges = append(f.Exchanges, flow.Exchange{
		MessageID: x.packet.MessageID,
		Token:     x.packet.Token,
		State:     flow.Refused,
		Kind:      kind,
		Until:     x.now + x.service.RequestLifetime,
	})
}

func (c *Core) sendRefusal(x *exchangeContext, f *flow.Flow, kind errkind.Kind) {
	if c.config.Mechanisms.NoRefusalRecord {
		f.Remove(x.packet.MessageID)
	}
	if x.pair.Successor == 0 || c.config.Strategy != Replicated || c.config.Mechanisms.NoRefusalRecord {
		c.answer(x.packet, kind, x.service.RefusalRetry, x.effects)
		return
	}
	relay := Relay{
		Kind:     RelayRefuse,
		Hops:     x.hops,
		Error:    kind,
		Backend:  c.addressOf(f),
		Refusals: refusalsOf(f, x.now),
		Packet:   x.packet,
	}
	c.noteAsked(x, f)
	c.relay(x.pair.Successor, relay, x.effects)
}

// refusalsOf lists a flow's refusals for a peer.
func refusalsOf(f *flow.Flow, now time.Duration) []Refusal {
	var refusals []Refusal
	for _, exchange := range f.Refusals() {
		if exchange.Until > now {
			left := uint32((exchange.Until - now) / time.Millisecond)
			refusals = append(refusals, Refusal{MessageID: exchange.MessageID, Kind: exchange.Kind, LeftMilliseconds: left})
		}
	}
	return refusals
}

// mergeRefusals adds a peer's refusals to a flow.
func mergeRefusals(f *flow.Flow, refusals []Refusal, now time.Duration) {
	for _, refusal := range refusals {
		f.Merge(flow.Exchange{
			MessageID: refusal.MessageID,
			State:     flow.Refused,
			Kind:      refusal.Kind,
			Until:     now + time.Duration(refusal.LeftMilliseconds)*time.Millisecond,
		})
	}
}

// addressOf returns the address of a flow's back end, or the zero value.
func (c *Core) addressOf(f *flow.Flow) netip.AddrPort {
	if target := c.registry.get(f.Backend); target != nil {
		return target.address
	}
	return netip.AddrPort{}
}
