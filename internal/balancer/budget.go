package balancer

import (
	"net/netip"
	"time"
)

// budgetClass says which control messages go first.
type budgetClass int

const (
	// essential messages may use the whole budget.
	essential budgetClass = iota
	// bulk messages leave a reserve for essential ones.
	bulk
)

const (
	budgetSlot        = 100 * time.Millisecond
	bulkFraction      = 0.8
	essentialFraction = 1.0
)

// byteBudget bounds the control bytes of any window of one second: it never
// sends more than perSecond in the last ten tenths.
type byteBudget struct {
	perSecond int
	unlimited bool
	slots     [11]int
	slot      time.Duration
}

// spend takes size bytes at now, or returns false.
func (b *byteBudget) spend(now time.Duration, size int, class budgetClass) bool {
	current := now / budgetSlot
	for ; b.slot < current; b.slot++ {
		if current-b.slot > time.Duration(len(b.slots)) {
			b.slot = current - time.Duration(len(b.slots))
		}
		b.slots[(b.slot+1)%time.Duration(len(b.slots))] = 0
	}
	used := 0
	for _, bytes := range b.slots {
		used += bytes
	}
	fraction := essentialFraction
	if class == bulk {
		fraction = bulkFraction
	}
	if !b.unlimited && float64(used+size) > fraction*float64(b.perSecond) {
		return false
	}
	b.slots[current%time.Duration(len(b.slots))] += size
	return true
}

// sendControl sends a control message within the byte budget and tells whether
// it was sent.
func (c *Core) sendControl(now time.Duration, to netip.AddrPort, message *Message, class budgetClass, effects *Effects) bool {
	size := c.config.Measure(message) + DatagramOverhead
	if !c.budget.spend(now, size, class) {
		c.Counters.ControlDeferred.Add(1)
		return false
	}
	c.Counters.ControlBytes.Add(uint64(size))
	effects.add(Effect{Kind: SendPeer, To: to, Message: message})
	return true
}
