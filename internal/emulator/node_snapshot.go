package emulator

import (
	"maps"
	"slices"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/snapshot"
)

// parts returns the parts of the snapshot in order.
func (s *store) parts() []snapshot.Stored {
	var parts []snapshot.Stored
	for _, part := range slices.Sorted(maps.Keys(s.kept)) {
		parts = append(parts, s.kept[part])
	}
	return parts
}

// transact carries out a write of the snapshot under its condition, and answers, or not.
func (s *store) transact(n *node, write *snapshot.Write, reply func(snapshot.Outcome)) {
	s.calls++
	s.world.After(clientDelay, func() {
		switch {
		case !s.reachable(n):
			return
		case s.refuses(n):
			s.deliver(n, n.connect(storeAddress), func() { reply(snapshot.Outcome{}) })
			return
		}
		outcome := s.change(write)
		if s.world.Chance(s.lostWrites) {
			return
		}
		s.world.After(s.latency(), func() { s.deliver(n, n.connect(storeAddress), func() { reply(outcome) }) })
	})
}

// change stores all parts of a write or none.
func (s *store) change(write *snapshot.Write) snapshot.Outcome {
	var current []snapshot.Stored
	matches := true
	for _, part := range write.Parts {
		stored, found := s.kept[part.Part]
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
		s.kept[part.Part] = snapshot.Stored{Part: part.Part, Value: part.Value, Revision: s.revision}
	}
	s.note(change{revision: s.revision, kept: true})
	return snapshot.Outcome{Revision: s.revision}
}

// writeSnapshot writes it when this balancer is to.
func (n *node) writeSnapshot() {
	now := n.now()
	state := snapshot.Conditions{
		Now: now, Staleness: n.confirmed.Age(now), KnownFor: now - n.knownAt, HasLowerRank: n.peers.HasLowerRank(now),
		Eligible: n.directory.Revision() > 0 && n.asksStore && !n.leaving && !n.failing,
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
	answered, answer := false, n.toThisRun()
	done := func(outcome snapshot.Outcome) {
		if !answered {
			answered = true
			n.snapshots.Done(n.now(), write, outcome)
		}
	}
	n.world.store.transact(n, &write, func(outcome snapshot.Outcome) { answer(func() { done(outcome) }) })
	n.whileRunning(writeTimeout, func() { done(snapshot.Outcome{}) })
}

// readSnapshot adds to a listing what is missing by the snapshot, where nothing was known here before.
func (n *node) readSnapshot(listing *directory.Listing) {
	n.snapshots.Observe(n.kept)
	young := n.failing || directory.ExpiryBoundsFor(contactBound, drainBound).EndsInTime(n.now(), contactBound)
	if n.directory.Revision() > 0 || !young || n.world.options.Without.Snapshot {
		return
	}
	reading := snapshot.Read(n.kept)
	listing.Missing = reading.Missing(listing.Records)
}

// noteMembership tells the writer of the snapshot of changes.
func (n *node) noteMembership(events []directory.Event) {
	if n.knownAt == 0 {
		n.knownAt = n.now()
	}
	if directory.MembershipChanged(events) {
		n.snapshots.MarkChanged()
	}
}
