package edge

import (
	"context"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/follow"
	"gaugeyard/internal/snapshot"
)

// snapshotPoll is how often it is asked whether the snapshot is to be written.
const snapshotPoll = time.Second

// keepSnapshot writes the snapshot when this balancer is to, until ctx ends.
func (n *Node) keepSnapshot(ctx context.Context) error {
	if n.adapter.Keeper == nil || !n.config().Snapshot {
		return nil
	}
	ticker := time.NewTicker(snapshotPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if write, due := n.nextSnapshot(); due {
				n.writeSnapshot(ctx, write)
			}
		}
	}
}

// nextSnapshot returns what is to be written now, if anything.
func (n *Node) nextSnapshot() (*snapshot.Write, bool) {
	n.beliefs.Lock()
	defer n.beliefs.Unlock()
	now := n.now()
	state := snapshot.State{
		Now: now, Age: n.beliefAge(), Known: now - n.knownAt, Lower: n.peers.HasLower(now),
		Able: n.directory.Revision() > 0 && n.asksStore.Load() && !n.leaving.Load() && !n.failing.Load(),
	}
	if age, known := n.directory.SinceReturn(now); known {
		state.ReturnAge = age
	}
	if !n.snapshots.Due(state) {
		return nil, false
	}
	write, err := n.snapshots.Next(n.directory.Live())
	if err != nil {
		n.log.Error("snapshot not encoded", "error", err)
		n.snapshots.Done(now, write, snapshot.Outcome{})
	}
	return &write, len(write.Parts) > 0
}

// writeSnapshot makes the call and takes over what came of it.
func (n *Node) writeSnapshot(ctx context.Context, write *snapshot.Write) {
	ctx, cancel := ExpectAnswer(ctx, follow.PageTimeout, follow.TransferTimeout, nil)
	defer cancel()
	n.metrics.storeCalls.Inc()
	outcome, err := n.adapter.Keeper.Keep(ctx, write)
	n.beliefs.Lock()
	n.snapshots.Done(n.now(), *write, outcome)
	n.beliefs.Unlock()
	if outcome.Revision > 0 {
		n.metrics.snapshotWrites.Inc()
		n.log.Info("snapshot written", "parts", len(write.Parts), "revision", outcome.Revision)
		return
	}
	n.metrics.snapshotFailures.Inc()
	n.log.Info("snapshot not written", "parts", len(write.Parts), "conflict", outcome.Conflict, "error", err)
}

// readSnapshot adds to a listing which back ends are missing by the snapshot, where nothing was known here
// before: a process that is about as old as the contact bound has others to ask.
func (n *Node) readSnapshot(listing *directory.Listing, kept []snapshot.Stored) {
	if len(kept) == 0 || !n.config().Snapshot {
		return
	}
	n.beliefs.Lock()
	n.snapshots.Heard(kept)
	young := n.directory.Revision() == 0 && n.mayBelieveSnapshot()
	n.beliefs.Unlock()
	if !young {
		return
	}
	reading := snapshot.Read(kept)
	if len(reading.Faults) > 0 {
		n.metrics.snapshotFaults.Add(len(reading.Faults))
		n.log.Warn("snapshot not believed", "parts", len(reading.Faults), "of", len(kept), "error", reading.Faults[0])
	}
	listing.Missing = reading.Missing(listing.Records)
	if len(listing.Missing) > 0 {
		n.metrics.lapsed.Add(len(listing.Missing))
		n.log.Info("back ends known by the snapshot", "count", len(listing.Missing), "listed", len(listing.Records), "revision", listing.Revision)
	}
}

// mayBelieveSnapshot tells whether the belief ends before this process can be in touch: the contact bound after its
// start, or after the outage of the store that it has met itself.
func (n *Node) mayBelieveSnapshot() bool {
	bounds := &n.config().Bounds
	return n.failing.Load() || directory.LapseWithin(bounds.Contact, bounds.Drain).EndsInTime(n.now(), bounds.Contact)
}

// noteMembership tells the writer of the snapshot of changes. The beliefs lock is held.
func (n *Node) noteMembership(events []directory.Event) {
	if n.knownAt == 0 {
		n.knownAt = n.now()
	}
	if directory.MembershipChanged(events) {
		n.snapshots.Changed()
	}
}
