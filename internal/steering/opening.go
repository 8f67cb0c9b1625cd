package steering

import (
	"time"

	"gaugeyard/internal/directory"
)

// openingTag converts the tag of a back end to the tag that an opening packet with the sequence
// carries there, and back.
func openingTag(tag directory.Tag, sequence uint32) directory.Tag {
	mixed := sequence
	mixed ^= mixed >> 16
	mixed *= 0x85ebca6b
	mixed ^= mixed >> 13
	mixed *= 0xc2b2ae35
	mixed ^= mixed >> 16
	// The mask is never zero, so the result always differs from the tag of later packets.
	return tag ^ directory.Tag(mixed|1)
}

// openingSequence returns the sequence of the opening packet of a flow whose caller's first packet
// this is.
func openingSequence(packet *Packet) uint32 { return packet.Sequence - 1 }

// isFirstPacket reports whether the packet is the first one after the flow's opening packet, or a
// retransmission of it.
func (r *record) isFirstPacket(packet *Packet) bool { return openingSequence(packet) == r.openSequence }

// hasOpeningTag reports whether the packet carries the tag of the flow's opening packet to the back
// end.
func (r *record) hasOpeningTag(packet *Packet, backend directory.Tag) bool {
	return packet.Tag == openingTag(backend, r.openSequence)
}

// confirmsOpening reports whether the packet shows that a flow that has not opened here is open at
// the back end that its tag names. That is the case if all copies of the opening packet came here,
// so that no other balancer can have opened it.
func (r *record) confirmsOpening(now time.Duration, packet *Packet) bool {
	if r.inquired || !r.hasOpeningTag(packet, r.member.Tag) && (r.previousTag == 0 || !r.hasOpeningTag(packet, r.previousTag)) {
		return false
	}
	switch r.attempt {
	case 0:
		return now-r.lastSeen < firstCopyAfter
	case 1:
		return now-r.lastSeen < secondCopyAfter
	}
	return true
}
