package edge

import (
	"context"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/follow"
	"gaugeyard/internal/snapshot"
)

// snapshotPoll is the interval of checks whether to write the snapshot.
const snapshotPoll = time.Second

// maintainSnapshot writes the snapshot whenever it is this balancer's task, until ctx ends. It returns nil at
// once if snapshots are disabled.
func (n *Node) maintainSnapshot(ctx context.Context) error {
	if n.adapter.SnapshotStore == nil || !n.config().Snapshot {
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

// nextSnapshot returns the write that is due now. It reports false if there is nothing to write.
func (n *Node) nextSnapshot() (*snapshot.Write, bool) {
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	now := n.now()
	state := snapshot.Conditions{
		Now: now, Staleness: n.confirmed.Staleness(now), MaxStaleness: follow.MaxPeerStaleness(n.config().Bounds.Contact),
		KnownFor: now - n.initializedAt, HasLowerRank: n.peers.HasLowerRank(now),
		Eligible: n.directory.Revision() > 0 && n.followsStore.Load() && !n.leaving.Load() && !n.storeUnavailable.Load(),
	}
	if age, known := n.directory.SinceReturn(now); known {
		state.SinceStoreReturn = age
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

// writeSnapshot sends a write to the store and records its outcome.
func (n *Node) writeSnapshot(ctx context.Context, write *snapshot.Write) {
	ctx, cancel := WithResponseTimeout(ctx, follow.PageTimeout, follow.TransferTimeout, nil)
	defer cancel()
	n.metrics.storeCalls.Inc()
	outcome, err := n.adapter.SnapshotStore.WriteSnapshot(ctx, write)
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

// readSnapshot adds to a listing the back ends that are in the snapshot and missing from the listing. It does so only
// if no state was known before, and while snapshotUsable holds: later, other balancers may have the state.
func (n *Node) readSnapshot(listing *directory.Listing, parts []snapshot.Stored) {
	if len(parts) == 0 || !n.config().Snapshot {
		return
	}
	n.stateMutex.Lock()
	n.snapshots.Observe(parts)
	usable := n.directory.Revision() == 0 && n.snapshotUsable()
	n.stateMutex.Unlock()
	if !usable {
		return
	}
	reading := snapshot.Read(parts)
	if len(reading.Errors) > 0 {
		n.metrics.snapshotFaults.Add(len(reading.Errors))
		n.log.Warn("snapshot rejected", "parts", len(reading.Errors), "of", len(parts), "error", reading.Errors[0])
	}
	listing.Missing = reading.Missing(listing.Records)
	if len(listing.Missing) > 0 {
		n.metrics.expired.Add(len(listing.Missing))
		n.log.Info("back ends known by the snapshot", "count", len(listing.Missing), "listed", len(listing.Records), "revision", listing.Revision)
	}
}

// snapshotUsable reports whether this process may use the snapshot: the back ends that it adds expire before the
// process must be in contact with others, within the contact bound after its start, or after an outage of the
// store that it has detected itself.
func (n *Node) snapshotUsable() bool {
	bounds := &n.config().Bounds
	return n.storeUnavailable.Load() || directory.ExpiryBoundsFor(bounds.Contact, bounds.Drain).EndsInTime(n.now(), bounds.Contact)
}

// recordMembership records changes of membership for the writer of the snapshot. The state mutex must be held.
func (n *Node) recordMembership(events []directory.Event) {
	if n.initializedAt == 0 {
		n.initializedAt = n.now()
	}
	if directory.MembershipChanged(events) {
		n.snapshots.MarkChanged()
	}
}
