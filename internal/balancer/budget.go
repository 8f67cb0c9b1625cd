package balancer

import (
	"net/netip"
	"time"
)

// budgetClass is the priority of a control message.
type budgetClass int

const (
	// essential messages may use the whole budget.
	essential budgetClass = iota
	// bulk messages may use only bulkFraction of it.
	bulk
)

const (
	budgetSlot        = 100 * time.Millisecond
	bulkFraction      = 0.8
	essentialFraction = 1.0
)

// byteBudget limits the control bytes in any window of one second to perSecond. It
// counts bytes in slots of budgetSlot and checks the sum over the last 11 slots.
type byteBudget struct {
	perSecond int
	unlimited bool
	slots     [11]int
	slot      time.Duration
}

// spend takes size bytes from the budget and reports whether they were available.
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

// sendControl sends a control message if the byte budget allows it, and reports
// whether it was sent.
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
