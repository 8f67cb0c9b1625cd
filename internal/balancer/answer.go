package balancer

import (
	"time"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
)

// handleAnswer handles a back end's datagram as the owner. The shard is locked.
func (c *Core) handleAnswer(x *exchangeContext, shard *flow.Shard) {
	sender := c.registry.getOrAdd(x.packet.Backend)
	if sender == nil {
		c.drop(errkind.Malformed)
		return
	}
	sender.recordActivity(x.now)
	f := shard.Flows[x.packet.Flow]
	if f == nil && c.config.Mechanisms.NoAnswerAdoption {
		c.deliver(x.packet, x.effects)
		return
	}
	if f == nil {
		f = &flow.Flow{Key: x.packet.Flow, Hash: x.hash}
		shard.Add(f)
	}
	c.learnPin(x, f, sender)
	if f.Backend != sender.id {
		c.Counters.LateAnswer.Add(1)
		c.deliver(x.packet, x.effects)
		return
	}
	f.LastSeen = x.now
	f.Observing = f.Observing || x.packet.Observe
	c.completeRequest(x, f, sender)
	switch {
	case c.config.Strategy != Replicated || x.pair.Successor == 0:
		c.deliver(x.packet, x.effects)
	case !f.Verified:
		c.sendThroughSuccessor(x, f, RelayPropose)
	case c.needsReplica(x, f):
		c.sendThroughSuccessor(x, f, RelayCopyAnswer)
		f.Replica = x.pair.Successor
		f.ReplicatedAt = x.now
	default:
		c.deliver(x.packet, x.effects)
	}
}

// learnPin pins an unverified flow without a back end to the sender of an answer,
// because an answer proves which back end serves the flow.
func (c *Core) learnPin(x *exchangeContext, f *flow.Flow, sender *backend) {
	if f.Verified || f.Backend != 0 || f.AmbiguousUntil > x.now || c.config.Mechanisms.NoAnswerAdoption {
		return
	}
	c.Counters.Adopted.Add(1)
	c.pin(f, sender)
}

// completeRequest settles the request that the datagram answers or acknowledges.
func (c *Core) completeRequest(x *exchangeContext, f *flow.Flow, sender *backend) {
	if x.packet.Kind == Acknowledge {
		if exchange := f.FindExchange(x.packet.MessageID); exchange != nil {
			exchange.Confirmable = false
			c.confirmReplica(x, f, exchange)
		}
		return
	}
	exchange := f.FindAnswered(x.packet.MessageID, x.packet.Token)
	if exchange == nil {
		return
	}
	c.confirmReplica(x, f, exchange)
	sender.inFlight.Add(-1)
	sender.recordServiceTime(x.now - exchange.Started)
	if c.config.Mechanisms.NoAnswerMemory || exchange.Continues {
		f.RemoveExchange(exchange.MessageID)
		return
	}
	f.MarkAnswered(exchange, x.now+x.service.RequestLifetime)
}

// confirmReplica records that the successor holds the flow, because the answered
// request reached the back end through it.
func (c *Core) confirmReplica(x *exchangeContext, f *flow.Flow, exchange *flow.Exchange) {
	if exchange.Replica == 0 || exchange.Replica != x.pair.Successor {
		return
	}
	exchange.Proposed = false
	f.Verified = true
	f.PreviousBackend = 0
	f.Replica = exchange.Replica
	f.ReplicatedAt = x.now
}

// sendThroughSuccessor sends an answer to the successor, which records the flow
// and delivers the answer, or returns it with the record of a proposed flow.
func (c *Core) sendThroughSuccessor(x *exchangeContext, f *flow.Flow, kind RelayKind) {
	relay := Relay{
		Kind:     kind,
		Hops:     x.hops,
		Backend:  c.backendAddress(f),
		Refusals: refusalsOf(f, x.now),
		Packet:   x.packet,
	}
	c.relay(x.pair.Successor, relay, x.effects)
}

// removeRequest removes a request from the flow and from the back end's count.
func (c *Core) removeRequest(f *flow.Flow, messageID uint16) {
	exchange := f.FindExchange(messageID)
	if exchange == nil {
		return
	}
	if target := c.registry.get(f.Backend); target != nil && exchange.State == flow.InFlight {
		target.inFlight.Add(-1)
	}
	f.RemoveExchange(messageID)
}

// timeOutRequest ends a request whose deadline has passed. Its outcome is then
// unknown, and the caller is answered with DeadlineExceeded.
func (c *Core) timeOutRequest(now time.Duration, due deadline, effects *Effects) {
	shard := c.flows.ShardOf(due.key.Hash())
	shard.Lock()
	defer shard.Unlock()
	f := shard.Flows[due.key]
	if f == nil {
		return
	}
	exchange := f.FindExchange(due.messageID)
	if exchange == nil || exchange.State != flow.InFlight || exchange.Until > now {
		return
	}
	if exchange.Proposed && !c.view.Has(exchange.Replica) {
		// The request was sent through a successor that left the view, which may not
		// have forwarded it. A retransmission goes to the same back end.
		if target := c.registry.get(f.Backend); target != nil {
			target.inFlight.Add(-1)
		}
		f.MarkAnswered(exchange, now+c.longestLifetime())
		return
	}
	exchange.State = flow.OutcomeUnknown
	lifetime := time.Duration(0)
	if service := c.snapshot.ServiceAt(due.key.Service); service != nil {
		lifetime = service.RequestLifetime
	}
	exchange.Until = now + lifetime
	if target := c.registry.get(f.Backend); target != nil {
		target.inFlight.Add(-1)
		if target.recordMissedDeadline(now) {
			effects.add(Effect{Kind: StateChanged, Subject: target.address.String(), State: Quarantined.String()})
		}
	}
	packet := &Packet{
		Kind:        Request,
		Flow:        due.key,
		MessageID:   exchange.MessageID,
		Token:       exchange.Token,
		Confirmable: exchange.Confirmable,
	}
	c.answer(packet, errkind.DeadlineExceeded, 0, effects)
}

// handleMessage handles a message from another balancer.
func (c *Core) handleMessage(now time.Duration, message *Message, effects *Effects) {
	if message.Relay != nil {
		c.control.RLock()
		defer c.control.RUnlock()
		c.handleRelay(now, message.From, message.Relay, effects)
		return
	}
	c.control.Lock()
	defer c.control.Unlock()
	switch {
	case message.Heartbeat != nil:
		c.handleHeartbeat(now, message.From, message.Heartbeat, effects)
	case message.SettingsRequest != nil:
		c.sendSettings(now, message.From, message.SettingsRequest.Have, effects)
	case message.SettingsPart != nil:
		c.receiveSettings(now, message.SettingsPart, effects)
	case message.Copy != nil:
		c.receiveCopy(now, message.From, message.Copy, effects)
	case message.CopyDone != nil:
		c.handleCopyDone(now, message.CopyDone.Sequence)
	case message.Grant != nil:
		c.receiveGrant(message.From, message.Grant)
	}
}
