package steering

import (
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

// Two back ends may answer copies of one opening packet: the copies pass through different
// balancers, and an answer is lost or late. The flow opens at the back end whose answer its caller
// acknowledges first. A later answer of the other one changes the tag that the caller returns, and
// a packet forwarded by that tag would be reset by a back end that does not hold the flow.
//
// Therefore the tag of an opening packet differs from that of all later ones. It depends on the
// caller's initial sequence number and is valid for the caller's first packet only. Where a caller
// returns it and this balancer cannot know whether the flow has opened through another one, the
// packet waits while the other balancers are queried. A balancer that has forwarded packets of the
// open flow knows its back end, and proves it by the position that the caller has acknowledged,
// which lies in the sequence numbers of that back end only.

const (
	// searchRate is the number of flows that may be searched per second, and searchBurst the
	// maximum at once. Each search costs two datagrams to every known balancer, and anybody may
	// send packets with invalid tags.
	searchRate  = 1.0
	searchBurst = 8
	// searchInterval is the minimum time between two searches for a flow. It is shorter than the
	// caller's retransmission interval.
	searchInterval = 150 * time.Millisecond
	// maxSearches is the number of searches without an answer after which the flow's first packet
	// follows its tag: an inquiry or its answer may be lost once.
	maxSearches = 2
	// InquiryResendDelay is the delay after which a driver resends inquiries once.
	InquiryResendDelay = 5 * time.Millisecond
)

// search is the state of the inquiries about one flow: the time of the last one, their number, and
// the back end to which another balancer has sent the opening packet, 0 for none. It is disputed
// once copies are known to have gone to two back ends, since the tag is that of the later answer.
type search struct {
	at              time.Duration
	attempts        int
	reportedBackend settings.BackendID
	disputed        bool
	// firstNamed is the back end named by the tag of the first packet that is known to have
	// arrived, here or at another balancer, 0 for none. Its caller had received no other answer by
	// then.
	firstNamed settings.BackendID
	// acknowledged is the caller's position in the data it received, by the last packet.
	acknowledged uint32
}

// Inquiry requests the back end of a flow from other balancers.
type Inquiry struct {
	Flow flow.Key
	// Acknowledged is the caller's position in the data it received, in the sequence numbers of the
	// flow's back end.
	Acknowledged uint32
	// Backend is the back end named by the tag of the caller's first packet, 0 for a later packet.
	Backend settings.BackendID
}

// Location reports the back end of a flow.
type Location struct {
	Flow    flow.Key
	Backend settings.BackendID
	// Acknowledged is the value of the inquiry.
	Acknowledged uint32
	// Opening is set where the sender has forwarded the opening packet to Backend, but the flow has
	// not opened through it.
	Opening bool
}

// mayBeOpenElsewhere reports whether the flow may be open at another back end than the packet's tag
// or its record says.
func (s *Steerer) mayBeOpenElsewhere(now time.Duration, rec *record, packet *Packet) bool {
	if !rec.opening || packet.Kind == Abort || s.config.Mechanisms.NoPins {
		return false
	}
	// Only a flow that is open at the named back end returns the tag of later packets.
	return len(s.view.Tagged(packet.Tag)) == 0 && !rec.confirmsOpening(now, packet)
}

// startSearch queues an inquiry to other balancers for the packet's flow. It reports whether the
// packet waits for the answer.
func (s *Steerer) startSearch(now time.Duration, packet *Packet) bool {
	if packet.Waited || packet.Kind == Abort || s.view.Revision == 0 || s.config.Mechanisms.NoInquiries {
		return false
	}
	last, found := s.searchOf(packet.Flow, packet.Acknowledged)
	if found && now-last.at < searchInterval {
		return now-last.at < CopyWait
	}
	if !s.takeSearchToken(now) {
		return false
	}
	last.at, last.attempts, last.acknowledged = now, last.attempts+1, packet.Acknowledged
	openSequence := openingSequence(packet)
	if rec := s.flows[packet.Flow]; rec != nil {
		last.disputed = last.disputed || rec.previousTag != 0 || !rec.hasOpeningTag(packet, rec.member.Tag)
		openSequence = rec.openSequence
	}
	inquiry := Inquiry{Flow: packet.Flow, Acknowledged: packet.Acknowledged}
	if member := s.namedBackend(packet, openSequence); member != nil && openSequence == openingSequence(packet) {
		inquiry.Backend = member.ID
	}
	if last.firstNamed == 0 {
		last.firstNamed = inquiry.Backend
	}
	s.searches[packet.Flow] = last
	s.inquiries = append(s.inquiries, inquiry)
	return true
}

// takeSearchToken reports whether the rate limit allows a search, and counts it.
func (s *Steerer) takeSearchToken(now time.Duration) bool {
	s.searchTokens = min(s.searchTokens+(now-s.searchTokensAt).Seconds()*searchRate, searchBurst)
	s.searchTokensAt = now
	if s.searchTokens < 1 {
		return false
	}
	s.searchTokens--
	return true
}

// expireSearches drops searches whose flows have opened or were abandoned by now.
func (s *Steerer) expireSearches(now time.Duration) {
	for key, search := range s.searches {
		if now-search.at > openTimeout {
			delete(s.searches, key)
		}
	}
}

// isSearched reports whether a flow's first packet has arrived here recently: a server has answered
// its opening packet, and a second one must not.
func (s *Steerer) isSearched(now time.Duration, key flow.Key) bool {
	search, found := s.searches[key]
	return found && now-search.at <= openTimeout
}

// searchResult returns the back end to which a flow's first packet may go, given the one that the
// packet's tag names, or nil for none yet. It is the named one if no other balancer contradicts and one has
// sent the opening packet there, or if enough searches were made. Where copies went to two back
// ends, the one that the caller named first is used.
func (s *Steerer) searchResult(packet *Packet, named *directory.Member) *directory.Member {
	search, found := s.searchOf(packet.Flow, packet.Acknowledged)
	switch {
	case named == nil || !found || search.reportedBackend == named.ID && !search.disputed:
		return named
	case search.attempts < maxSearches:
		return nil
	}
	if first := s.view.Member(search.firstNamed); first != nil {
		return first
	}
	return named
}

// TakeInquiries returns the inquiries to be sent to other balancers since the last call.
func (s *Steerer) TakeInquiries() []Inquiry {
	if len(s.inquiries) == 0 {
		return nil
	}
	inquiries := s.inquiries
	s.inquiries = nil
	return inquiries
}

// Locate answers inquiries of another balancer about flows that are open here or that were opening
// through this balancer. The latter may have opened elsewhere since.
func (s *Steerer) Locate(now time.Duration, inquiries []Inquiry) []Location {
	var locations []Location
	for _, inquiry := range inquiries {
		rec := s.flows[inquiry.Flow]
		switch {
		case rec == nil || rec.closed:
		case rec.opening:
			rec.inquired = true
			s.recordFirstNamed(now, inquiry)
			locations = append(locations, Location{Flow: inquiry.Flow, Backend: rec.member.ID, Acknowledged: inquiry.Acknowledged, Opening: true})
		case withinPositionWindow(inquiry.Acknowledged, rec.acknowledged):
			locations = append(locations, Location{Flow: inquiry.Flow, Backend: rec.member.ID, Acknowledged: inquiry.Acknowledged})
		}
	}
	return locations
}

// recordFirstNamed records the back end that the caller's first packet named at another balancer,
// unless such a packet has already arrived here.
func (s *Steerer) recordFirstNamed(now time.Duration, inquiry Inquiry) {
	if _, found := s.searchOf(inquiry.Flow, inquiry.Acknowledged); !found && inquiry.Backend != 0 {
		s.searches[inquiry.Flow] = search{at: now - searchInterval, firstNamed: inquiry.Backend, acknowledged: inquiry.Acknowledged}
	}
}

// ReceiveLocations records the back ends of flows that other balancers have located.
func (s *Steerer) ReceiveLocations(now time.Duration, locations []Location) {
	for _, location := range locations {
		if location.Opening {
			s.receiveOpening(location)
			continue
		}
		member := s.view.Member(location.Backend)
		rec := s.flows[location.Flow]
		if member == nil || rec != nil && !rec.opening {
			continue
		}
		s.removeRecord(rec)
		s.addRecord(&record{
			key:          location.Flow,
			member:       member,
			backend:      s.stateOf(member),
			requested:    true,
			started:      now,
			lastSeen:     now,
			acknowledged: location.Acknowledged,
		})
	}
}

// receiveOpening records where another balancer has sent the opening packet of a flow that is
// searched here.
func (s *Steerer) receiveOpening(location Location) {
	search, found := s.searchOf(location.Flow, location.Acknowledged)
	if !found {
		return
	}
	rec := s.flows[location.Flow]
	if rec != nil && rec.member.ID != location.Backend || search.reportedBackend != 0 && search.reportedBackend != location.Backend {
		search.disputed = true
	}
	search.reportedBackend = location.Backend
	s.searches[location.Flow] = search
}
