package balancer

import (
	"time"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
)

// refuse records that a request does not run and answers the caller through the
// successor, so that the refusal survives the failure of this node.
func (c *Core) refuse(x *exchangeContext, f *flow.Flow, kind errkind.Kind) {
	c.recordRefusal(x, f, kind)
	f.FindExchange(x.packet.MessageID).Proposed = true
	if f.Replica != x.pair.Successor {
		// An earlier successor's copy lacks this refusal.
		f.Replica = 0
	}
	c.sendRefusal(x, f, kind)
}

func (c *Core) recordRefusal(x *exchangeContext, f *flow.Flow, kind errkind.Kind) {
	if f.FindExchange(x.packet.MessageID) != nil {
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
		f.RemoveExchange(x.packet.MessageID)
	}
	if x.pair.Successor == 0 || c.config.Strategy != Replicated || c.config.Mechanisms.NoRefusalRecord {
		c.answer(x.packet, kind, x.service.RefusalRetry, x.effects)
		return
	}
	relay := Relay{
		Kind:     RelayRefuse,
		Hops:     x.hops,
		Error:    kind,
		Backend:  c.backendAddress(f),
		Refusals: refusalsOf(f, x.now),
		Packet:   x.packet,
	}
	c.recordRefusalReplica(x, f)
	c.relay(x.pair.Successor, relay, x.effects)
}

// refusalsOf returns a flow's unexpired refusals for a peer.
func refusalsOf(f *flow.Flow, now time.Duration) []Refusal {
	var refusals []Refusal
	for _, exchange := range f.Refusals() {
		if exchange.Until > now {
			remaining := uint32((exchange.Until - now) / time.Millisecond)
			refusals = append(refusals, Refusal{MessageID: exchange.MessageID, Kind: exchange.Kind, RemainingMilliseconds: remaining})
		}
	}
	return refusals
}

// mergeRefusals adds refusals received from a peer to a flow.
func mergeRefusals(f *flow.Flow, refusals []Refusal, now time.Duration) {
	for _, refusal := range refusals {
		f.MergeRefusal(flow.Exchange{
			MessageID: refusal.MessageID,
			State:     flow.Refused,
			Kind:      refusal.Kind,
			Until:     now + time.Duration(refusal.RemainingMilliseconds)*time.Millisecond,
		})
	}
}
