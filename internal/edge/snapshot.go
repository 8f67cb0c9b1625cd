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
func (n *Node) maintainSnapshot(ctx context.Context) error {
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
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	now := n.now()
	state := snapshot.State{
		Now: now, Age: n.staleness(), Known: now - n.initializedAt, Lower: n.peers.HasLower(now),
		Able: n.directory.Revision() > 0 && n.followsStore.Load() && !n.leaving.Load() && !n.storeFailing.Load(),
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
	n.stateMutex.Lock()
	n.snapshots.Done(n.now(), *write, outcome)
	n.stateMutex.Unlock()
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
func (n *Node) readSnapshot(listing *directory.Listing, parts []snapshot.Stored) {
	if len(parts) == 0 || !n.config().Snapshot {
		return
	}
	n.stateMutex.Lock()
	n.snapshots.Heard(parts)
	usable := n.directory.Revision() == 0 && n.snapshotUsable()
	n.stateMutex.Unlock()
	if !usable {
		return
	}
	reading := snapshot.Read(parts)
	if len(reading.Faults) > 0 {
		n.metrics.snapshotFaults.Add(len(reading.Faults))
		n.log.Warn("snapshot not believed", "parts", len(reading.Faults), "of", len(parts), "error", reading.Faults[0])
	}
	listing.Missing = reading.Missing(listing.Records)
	if len(listing.Missing) > 0 {
		n.metrics.expired.Add(len(listing.Missing))
		n.log.Info("back ends known by the snapshot", "count", len(listing.Missing), "listed", len(listing.Records), "revision", listing.Revision)
	}
}

// mayBelieveSnapshot tells whether the belief ends before this process can be in touch: the contact bound after its
// start, or after the outage of the store that it has met itself.
func (n *Node) snapshotUsable() bool {
	bounds := &n.config().Bounds
	return n.storeFailing.Load() || directory.LapseWithin(bounds.Contact, bounds.Drain).EndsInTime(n.now(), bounds.Contact)
}

// noteMembership tells the writer of the snapshot of changes. The beliefs lock is held.
func (n *Node) recordMembership(events []directory.Event) {
	if n.initializedAt == 0 {
		n.initializedAt = n.now()
	}
	if directory.MembershipChanged(events) {
		n.snapshots.Changed()
	}
}
