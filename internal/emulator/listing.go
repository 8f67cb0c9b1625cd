package emulator

import (
	"maps"
	"slices"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/follow"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/snapshot"
)

// storePage is the maximum number of server entries in one page.
const storePage = 8

// page is one answer of a listing.
type page struct {
	revision uint64
	settings *directory.Settings
	records  []directory.Record
	// evacuations are on the first page only, before the servers.
	evacuations []directory.Evacuation
	// snapshotParts are on the first page only.
	snapshotParts []snapshot.Stored
	// more is set if the listing continues after the entry last.
	more bool
	last settings.BackendID
}

// listingCall is a listing in progress.
type listingCall struct {
	progress *follow.Listing
	listing  *directory.Listing
	// confirmedAt is the confirmation time of the first page.
	confirmedAt time.Duration
	end         func(follow.Outcome)
}

// listPage requests the page after an entry and adds it to the listing.
func (n *node) listPage(call *listingCall, after settings.BackendID) {
	inProcess, conn, requestedAt := n.forThisProcess(), n.connect(storeAddress), n.now()
	n.world.store.list(n, conn, after, func(answer *page, err error) {
		inProcess(func() {
			n.release(conn)
			n.receivePage(call, after, answer, requestedAt, err)
		})
	})
}

// receivePage handles a page. Pages are read at different revisions, so the listing is complete up
// to the revision of its first page only.
func (n *node) receivePage(call *listingCall, after settings.BackendID, answer *page, requestedAt time.Duration, err error) {
	if err != nil {
		n.retryPage(call, after)
		return
	}
	listing := call.listing
	if listing.Revision == 0 {
		listing.Revision, listing.Settings, listing.Evacuations = answer.revision, answer.settings, answer.evacuations
		n.snapshotParts = answer.snapshotParts
		call.confirmedAt = follow.FromStore(requestedAt)
		n.recordConfirmed(call.confirmedAt, false)
	}
	first := len(listing.Records) == 0
	listing.Records = append(listing.Records, answer.records...)
	if first && answer.more {
		n.applySummary(listing)
	}
	if answer.more {
		n.continueListing(call, answer.last)
		return
	}
	n.readSnapshot(listing)
	n.applyListing(listing, call.confirmedAt)
	call.end(follow.Outcome{})
}

// applySummary applies the first page of a listing if the balancer has no settings yet, so that it
// can place new flows.
func (n *node) applySummary(summary *directory.Listing) {
	if n.directory.HasSettings() {
		return
	}
	n.directory.ApplySummary(n.now(), summary)
	n.setView()
	if n.ready = n.directory.HasSettings(); n.ready {
		n.handleHeld()
	}
}

// retryPage requests a failed page again if the listing allows it.
func (n *node) retryPage(call *listingCall, after settings.BackendID) {
	wait, retry := call.progress.Failed(storeLatency)
	if !retry {
		call.end(follow.Outcome{Result: follow.Failed})
		return
	}
	n.whileRunning(wait, func() { n.listPage(call, after) })
}

// continueListing does what the listing decides after a page: reads the next one, waits for peers,
// or abandons the listing.
func (n *node) continueListing(call *listingCall, after settings.BackendID) {
	index, _, _ := n.peers.Position(n.now())
	switch call.progress.Next(n.now(), n.directory.Revision(), n.peers.HasLowerRank(n.now()), index) {
	case follow.NextPage:
		n.listPage(call, after)
	case follow.WaitForPeers:
		n.whileRunning(follow.ListPoll, func() { n.continueListing(call, after) })
	case follow.AbandonListing:
		call.end(follow.Outcome{Result: follow.Superseded})
	}
}

// list replies with a page of a listing, or not at all if the store is unreachable.
func (s *store) list(n *node, conn *connection, after settings.BackendID, reply func(*page, error)) {
	s.calls++
	n.countStoreCall()
	s.world.After(clientDelay, func() {
		if !s.reachable(n) || conn.isBlackholed() {
			return
		}
		if s.rejects(n) {
			s.world.After(clientDelay, func() { reply(nil, errStore) })
			return
		}
		s.world.After(s.latency(), func() {
			answer := s.pageAfter(after)
			s.deliver(n, conn, func() { reply(answer, nil) })
		})
	})
}

// pageAfter returns the page after an entry, in the order in which servers started; 0 starts at the
// beginning.
func (s *store) pageAfter(after settings.BackendID) *page {
	answer := &page{revision: s.revision, settings: s.settings}
	skip := after != 0
	for _, zone := range slices.Sorted(maps.Keys(s.evacuated)) {
		if !skip {
			answer.evacuations = append(answer.evacuations, directory.Evacuation{Zone: zone, Active: true, Revision: s.evacuated[zone]})
		}
	}
	if !skip {
		answer.snapshotParts = s.orderedSnapshotParts()
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
