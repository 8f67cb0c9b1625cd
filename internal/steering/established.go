package steering

import (
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/errkind"
)

// steerEstablished forwards a packet of a flow that a back end has answered.
func (s *Steerer) steerEstablished(now time.Duration, packet *Packet) Decision {
	rec := s.flows[packet.Flow]
	if rec == nil {
		return s.adopt(now, packet)
	}
	if (rec.opening || rec.member.Tag != packet.Tag || !rec.hasPositionsOf(packet)) && s.isOfOtherFlow(rec, packet) {
		return s.steerOtherFlow(now, rec, packet)
	}
	decision := Decision{Action: Forward}
	if rec.member.Tag != packet.Tag {
		if s.mayBeOpenElsewhere(now, rec, packet) {
			if s.startSearch(now, packet) {
				return Decision{Action: Wait}
			}
			member := s.searchResult(packet, s.namedBackend(packet, rec.openSequence))
			if member == nil || !rec.isFirstPacket(packet) {
				return drop(errkind.Undecided)
			}
			s.pinTo(rec, member)
		} else {
			decision.Repinned = s.reconcile(rec, packet)
		}
	}
	// Only now is the back end certain: a copy of the opening packet may have been placed here at
	// one that is down, while another one has answered.
	if s.rejectsRequest(now, rec.backend, packet) {
		s.removeRecord(rec)
		return refuse(errkind.BackendLost)
	}
	decision.Backend, decision.Tag = rec.member, rec.member.Tag
	s.observe(now, rec, packet)
	if packet.Kind == Abort {
		s.removeRecord(rec)
	}
	return decision
}

// adopt records a flow from another balancer by its tag. The tag of an opening packet is valid for
// the caller's first packet, and only if no other balancer knows better.
func (s *Steerer) adopt(now time.Duration, packet *Packet) Decision {
	member := s.taggedBackend(packet, packet.Tag)
	if member == nil {
		if s.startSearch(now, packet) {
			return Decision{Action: Wait}
		}
		named := s.taggedBackend(packet, openingTag(packet.Tag, openingSequence(packet)))
		member = s.searchResult(packet, named)
		if member == nil && named != nil {
			return drop(errkind.Undecided)
		}
	}
	if member == nil {
		return drop(errkind.UnknownTag)
	}
	return s.adoptAt(now, packet, member)
}

// adoptAt records a flow from another balancer at a back end.
func (s *Steerer) adoptAt(now time.Duration, packet *Packet, member *directory.Member) Decision {
	if packet.Kind == Abort {
		return Decision{Action: Forward, Backend: member, Tag: member.Tag}
	}
	state := s.stateOf(member)
	if s.rejectsRequest(now, state, packet) {
		return refuse(errkind.BackendLost)
	}
	rec := &record{
		key:       packet.Flow,
		member:    member,
		backend:   state,
		requested: true,
		started:   now,
		lastSeen:  now,
		// Data that the caller received earlier does not show that the back end responds now.
		acknowledged: packet.Acknowledged,
		sequence:     packet.Sequence,
	}
	if s.addRecord(rec) {
		s.observe(now, rec, packet)
	}
	return Decision{Action: Forward, Backend: member, Tag: member.Tag}
}

// observe updates the state of a flow's back end from a packet.
func (s *Steerer) observe(now time.Duration, rec *record, packet *Packet) {
	rec.received(now, packet)
	if rec.responseLatency > 0 && rec.completesAnswer(packet) {
		s.classifyAnswer(now, rec)
	}
	if rec.sent(now, packet) {
		s.recordUnansweredCaller(now, rec)
		if s.checkDown(now, rec.backend) {
			s.resetFlowsAt(now, rec.backend)
		}
	}
	if rec.requestPending {
		s.pending.add(rec)
	}
}

// reconcile handles a tag that differs from the recorded back end. While a flow opens, the tag
// shows which back end answered. Later it comes from a second back end that answered a late copy
// of the opening packet; the flow stays pinned to the first, which alone has its data.
func (s *Steerer) reconcile(rec *record, packet *Packet) (repinned bool) {
	if !rec.opening && !s.config.Mechanisms.NoPins {
		return !rec.hasOpeningTag(packet, rec.member.Tag)
	}
	member := s.namedBackend(packet, rec.openSequence)
	if member != nil {
		s.pinTo(rec, member)
	}
	return false
}

// pinTo changes the recorded back end of a flow.
func (s *Steerer) pinTo(rec *record, member *directory.Member) {
	if member == rec.member {
		return
	}
	rec.backend.removeRecord(rec)
	rec.member, rec.backend = member, s.stateOf(member)
	rec.backend.addRecord(rec)
}

// namedBackend returns the back end that the packet's tag names, as the tag of an opening packet
// with the sequence or of a later packet, or nil.
func (s *Steerer) namedBackend(packet *Packet, openSequence uint32) *directory.Member {
	if member := s.taggedBackend(packet, packet.Tag); member != nil {
		return member
	}
	return s.taggedBackend(packet, openingTag(packet.Tag, openSequence))
}

// taggedBackend returns the back end of a tag for the packet's flow, or nil. Where two share a
// tag, the one that the packet's service uses is meant.
func (s *Steerer) taggedBackend(packet *Packet, tag directory.Tag) *directory.Member {
	members := s.view.Tagged(tag)
	if len(members) == 0 {
		return nil
	}
	if len(members) == 1 || s.view.Settings == nil {
		return members[0]
	}
	service := s.view.Settings.ServiceAt(packet.Flow.Service)
	if service == nil {
		return members[0]
	}
	for _, member := range members {
		for i := range service.Groups {
			if service.Groups[i].Discover == member.Group {
				return member
			}
		}
	}
	return members[0]
}
