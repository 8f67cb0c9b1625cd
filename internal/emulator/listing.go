package emulator

import (
	"maps"
	"slices"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/follow"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/snapshot"
)

// storePage is how many entries of servers the store lists in one answer.
const storePage = 8

// page is one answer of a listing.
type page struct {
	revision uint64
	settings *directory.Settings
	records  []directory.Record
	// evacuations stand on the first page, before the servers.
	evacuations []directory.Evacuation
	// kept are the parts of the snapshot, before the servers as well.
	kept []snapshot.Stored
	// more is set where the listing goes on after last.
	more bool
	last settings.BackendID
}

// listPage reads the next page of a listing into what was read of it so far.
func (n *node) listPage(paged *follow.Listing, listing *directory.Listing, after settings.BackendID, end func(follow.Outcome)) {
	toAsker, over := n.toThisRun(), n.connect(storeAddress)
	n.world.store.list(n, over, after, func(answer *page, err error) {
		toAsker(func() {
			n.release(over)
			n.listed(paged, listing, after, answer, err, end)
		})
	})
}

// listed takes over a page. Pages are no snapshot: the listing is complete up to the
// revision of its first one.
func (n *node) listed(paged *follow.Listing, listing *directory.Listing, after settings.BackendID, answer *page, err error, end func(follow.Outcome)) {
	if err != nil {
		n.listAgain(paged, listing, after, end)
		return
	}
	if listing.Revision == 0 {
		listing.Revision, listing.Settings, listing.Evacuations = answer.revision, answer.settings, answer.evacuations
		n.kept = answer.kept
		n.noteConfirmed(0, false)
	}
	first := len(listing.Records) == 0
	listing.Records = append(listing.Records, answer.records...)
	if first && answer.more {
		n.takeOutline(listing)
	}
	if answer.more {
		n.goOnListing(paged, listing, answer.last, end)
		return
	}
	n.readSnapshot(listing)
	n.replace(listing, 0)
	end(follow.Outcome{})
}

// takeOutline lets new flows be placed by the first page of a listing where nothing is known yet.
func (n *node) takeOutline(outline *directory.Listing) {
	if n.directory.SettingsVersion() > 0 {
		return
	}
	n.directory.ApplySummary(n.now(), outline)
	n.setView()
	if n.ready = n.directory.SettingsVersion() > 0; n.ready {
		n.handleHeld()
	}
}

// listAgain asks for a page that failed again, where the listing says so.
func (n *node) listAgain(paged *follow.Listing, listing *directory.Listing, after settings.BackendID, end func(follow.Outcome)) {
	wait, again := paged.Failed(storeAnswer)
	if !again {
		end(follow.Outcome{Result: follow.Failed})
		return
	}
	n.whileRunning(wait, func() { n.listPage(paged, listing, after, end) })
}

// goOnListing asks a listing how it goes on after a page.
func (n *node) goOnListing(paged *follow.Listing, listing *directory.Listing, after settings.BackendID, end func(follow.Outcome)) {
	index, _, _ := n.peers.Position(n.now())
	switch paged.Next(n.now(), n.directory.Revision(), n.peers.HasLowerRank(n.now()), index) {
	case follow.NextPage:
		n.listPage(paged, listing, after, end)
	case follow.WaitForPeers:
		n.whileRunning(follow.ListPoll, func() { n.goOnListing(paged, listing, after, end) })
	case follow.AbandonListing:
		end(follow.Outcome{Result: follow.Superseded})
	}
}

// list answers a page of a listing, or not at all.
func (s *store) list(n *node, over *connection, after settings.BackendID, reply func(*page, error)) {
	s.calls++
	n.countCall()
	s.world.After(clientDelay, func() {
		if !s.reachable(n) || over.silent() {
			return
		}
		if s.refuses(n) {
			s.world.After(clientDelay, func() { reply(nil, errStore) })
			return
		}
		s.world.After(s.latency(), func() {
			answer := s.pageAfter(after)
			s.deliver(n, over, func() { reply(answer, nil) })
		})
	})
}

// pageAfter collects the page that follows an entry, in the order in which servers began.
func (s *store) pageAfter(after settings.BackendID) *page {
	answer := &page{revision: s.revision, settings: s.settings}
	skip := after != 0
	for _, zone := range slices.Sorted(maps.Keys(s.evacuated)) {
		if !skip {
			answer.evacuations = append(answer.evacuations, directory.Evacuation{Zone: zone, Active: true, Revision: s.evacuated[zone]})
		}
	}
	if !skip {
		answer.kept = s.parts()
	}
	for _, server := range s.world.incarnations {
		if skip {
			skip = server.id != after
			continue
		}
		record, live := s.entries[server.id]
		if !live {
			continue
		}
		if len(answer.records) == storePage {
			answer.more = true
			break
		}
		answer.records = append(answer.records, record)
		answer.last = server.id
	}
	return answer
}
