package steering

import (
	"time"

	"gaugeyard/internal/flow"
)

// A caller may use a port again once its flow is closed. The record of the earlier flow may still
// exist where that flow passed before routers moved it: the close and the opening packet of the new
// flow went through other balancers. Addresses alone therefore do not identify a flow. Its tags and
// its positions do: only a back end where the flow is open returns the tag of later packets, the tag
// of an opening packet contains the caller's initial sequence number, and both ends draw their initial
// positions at random.

// positionWindow is the maximum distance, in bytes, between two positions of one flow that are known
// at different times or to different balancers. A random position lies within it by chance in 1 of
// 2,000 cases, and the positions of both ends in 1 of 4 million.
const positionWindow = 1 << 20

// withinPositionWindow reports whether two positions may belong to one flow.
func withinPositionWindow(a, b uint32) bool { return a-b+positionWindow <= 2*positionWindow }

// isOfOtherFlow reports whether a packet belongs to another flow between the same addresses than the
// record.
func (s *Steerer) isOfOtherFlow(rec *record, packet *Packet) bool {
	switch {
	case !rec.opening && rec.member.Tag == packet.Tag:
		return !rec.hasPositionsOf(packet)
	case s.opensOtherFlow(rec, packet):
		return true
	case rec.opening:
		return !withinPositionWindow(packet.Sequence, rec.openSequence)
	case s.taggedBackend(packet, packet.Tag) != nil:
		return true
	case !rec.adopted() && s.taggedBackend(packet, openingTag(packet.Tag, rec.openSequence)) != nil:
		// A second back end has answered a copy of the record's opening packet.
		return false
	}
	return !rec.hasPositionsOf(packet)
}

// opensAnew reports whether an opening packet is of another flow than the record. Like a flow without
// a record, that one may be placed elsewhere already.
func (s *Steerer) opensAnew(now time.Duration, rec *record, packet *Packet) bool {
	if s.config.Mechanisms.NoCopyMemory || rec.isLateCopy(now, packet) {
		return false
	}
	return !rec.opening || rec.openSequence != packet.Sequence
}

// opensOtherFlow reports whether the packet is the first one of a flow with another initial sequence
// number than the record's. It is false if the record's is not known.
func (s *Steerer) opensOtherFlow(rec *record, packet *Packet) bool {
	return !rec.adopted() && !rec.isFirstPacket(packet) &&
		s.taggedBackend(packet, openingTag(packet.Tag, openingSequence(packet))) != nil
}

// hasPositionsOf reports whether the record's positions and the packet's may belong to one flow. The
// caller's position is not known of a flow that another balancer has located.
func (r *record) hasPositionsOf(packet *Packet) bool {
	return withinPositionWindow(packet.Acknowledged, r.acknowledged) &&
		(r.sequence == 0 || withinPositionWindow(packet.Sequence, r.sequence))
}

// steerOtherFlow steers a packet of another flow than the record at its addresses.
func (s *Steerer) steerOtherFlow(now time.Duration, rec *record, packet *Packet) Decision {
	if rec.opening {
		if member := s.taggedBackend(packet, packet.Tag); member != nil {
			// The packet may be a late one of an earlier flow, and must not end the new one's record.
			return Decision{Action: Forward, Backend: member, Tag: member.Tag}
		}
	}
	s.removeRecord(rec)
	if rec.member.Tag == packet.Tag {
		// Other back ends may share the tag.
		return s.adoptAt(now, packet, rec.member)
	}
	decision := s.adopt(now, packet)
	decision.Replaced = rec.member
	return decision
}

// searchOf returns the search for the flow of a position that its caller has acknowledged, if there
// is one.
func (s *Steerer) searchOf(key flow.Key, acknowledged uint32) (search, bool) {
	found, ok := s.searches[key]
	if !ok || !withinPositionWindow(found.acknowledged, acknowledged) {
		return search{}, false
	}
	return found, true
}
