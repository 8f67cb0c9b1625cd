package emulator

import (
	"maps"
	"slices"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/follow"
	"gaugeyard/internal/snapshot"
)

// orderedSnapshotParts returns the parts of the snapshot by number.
func (s *store) orderedSnapshotParts() []snapshot.Stored {
	var parts []snapshot.Stored
	for _, part := range slices.Sorted(maps.Keys(s.snapshotParts)) {
		parts = append(parts, s.snapshotParts[part])
	}
	return parts
}

// transact applies a conditional write of the snapshot. The reply may be lost.
func (s *store) transact(n *node, write *snapshot.Write, reply func(snapshot.Outcome)) {
	s.calls++
	s.world.After(clientDelay, func() {
		switch {
		case !s.reachable(n):
			return
		case s.rejects(n):
			s.deliver(n, n.connect(storeAddress), func() { reply(snapshot.Outcome{}) })
			return
		}
		outcome := s.applyWrite(write)
		if s.world.Chance(s.unansweredWrites) {
			return
		}
		s.world.After(s.latency(), func() { s.deliver(n, n.connect(storeAddress), func() { reply(outcome) }) })
	})
}

// applyWrite stores all parts of a write, or none if any revision differs.
func (s *store) applyWrite(write *snapshot.Write) snapshot.Outcome {
	var current []snapshot.Stored
	matches := true
	for _, part := range write.Parts {
		stored, found := s.snapshotParts[part.Part]
		matches = matches && stored.Revision == part.Revision
		if found {
			current = append(current, stored)
		}
	}
	if !matches {
		return snapshot.Outcome{Conflict: true, Current: current}
	}
	s.revision++
	for _, part := range write.Parts {
		s.snapshotParts[part.Part] = snapshot.Stored{Part: part.Part, Value: part.Value, Revision: s.revision}
	}
	s.record(change{revision: s.revision, snapshotWrite: true})
	return snapshot.Outcome{Revision: s.revision}
}

// writeSnapshot writes the snapshot if this balancer is due to.
func (n *node) writeSnapshot() {
	now := n.now()
	state := snapshot.Conditions{
		Now: now, Staleness: n.confirmed.Staleness(now), MaxStaleness: follow.MaxPeerStaleness(contactBound),
		KnownFor: now - n.firstKnownAt, HasLowerRank: n.peers.HasLowerRank(now),
		Eligible: n.directory.Revision() > 0 && n.followsStore && !n.leaving && !n.storeUnavailable,
	}
	if age, known := n.directory.SinceReturn(now); known {
		state.SinceStoreReturn = age
	}
	if n.world.options.Without.Snapshot || !n.snapshots.Due(state) {
		return
	}
	write, err := n.snapshots.Next(n.directory.Live())
	if err != nil || len(write.Parts) == 0 {
		return
	}
	answered, inProcess := false, n.forThisProcess()
	done := func(outcome snapshot.Outcome) {
		if !answered {
			answered = true
			n.snapshots.Done(n.now(), write, outcome)
		}
	}
	n.world.store.transact(n, &write, func(outcome snapshot.Outcome) { inProcess(func() { done(outcome) }) })
	n.whileRunning(writeTimeout, func() { done(snapshot.Outcome{}) })
}

// readSnapshot adds to a listing the servers that only the snapshot has. It does so only if the
// process had no state and has just started or found the store unavailable.
func (n *node) readSnapshot(listing *directory.Listing) {
	n.snapshots.Observe(n.snapshotParts)
	usable := n.storeUnavailable || directory.ExpiryBoundsFor(contactBound, drainBound).EndsInTime(n.now(), contactBound)
	if n.directory.Revision() > 0 || !usable || n.world.options.Without.Snapshot {
		return
	}
	reading := snapshot.Read(n.snapshotParts)
	listing.Missing = reading.Missing(listing.Records)
}

// recordEvents reports changes of membership to the snapshot writer.
func (n *node) recordEvents(events []directory.Event) {
	if n.firstKnownAt == 0 {
		n.firstKnownAt = n.now()
	}
	if directory.MembershipChanged(events) {
		n.snapshots.MarkChanged()
	}
}
