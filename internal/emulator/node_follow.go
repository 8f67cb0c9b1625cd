package emulator

import (
	"errors"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/follow"
)

// step makes the next call that the follower decides on.
func (n *node) step() {
	state := n.followState()
	call := n.follower.Next(state)
	n.makeCall(call, state)
}

// followState returns the state by which the follower chooses the next call.
func (n *node) followState() follow.State {
	return follow.StateOf(n.now(), n.directory.Revision(), n.confirmed.Staleness(n.now()), n.peers, contactBound)
}

// makeCall makes a call and passes its outcome to finishCall once.
func (n *node) makeCall(call follow.Call, state follow.State) {
	if call.Kind == follow.Pause {
		n.finishCall(call, call.Wait, follow.Outcome{})
		return
	}
	n.followsStore, n.upstream = call.Kind != follow.QueryPeer, call.Peer
	answered := false
	end := func(outcome follow.Outcome) {
		if answered {
			return
		}
		answered = true
		if outcome.Result == follow.Failed || outcome.Result == follow.Superseded {
			// The idle connections may be blackholed as well.
			clear(n.idle)
		}
		n.finishCall(call, 0, outcome)
	}
	n.abandonCall = end
	timeout := call.Timeout
	if n.world.options.Without.Deadlines && call.Kind != follow.QueryPeer {
		timeout = hangTimeout
	}
	n.whileRunning(timeout, func() { end(follow.Outcome{Result: follow.Failed}) })
	switch call.Kind {
	case follow.ListStore:
		known := state.Revision
		if n.world.options.Without.ListingsAnew {
			known = 0
		}
		n.listPage(&listingCall{progress: follow.NewListing(n.now(), known), listing: &directory.Listing{}, end: end}, 0)
	case follow.WatchStore:
		inProcess, requestedAt := n.forThisProcess(), n.now()
		conn := n.connect(storeAddress)
		n.world.store.watch(n, conn, state.Revision, call.Wait, func(changes *directory.Changes, err error) {
			inProcess(func() {
				n.release(conn)
				confirmedAt := requestedAt
				if changes != nil {
					confirmedAt = follow.FromWatch(requestedAt, n.now(), call.Wait, changes.Revision > state.Revision)
				}
				n.receiveChanges(changes, confirmedAt, err, end)
			})
		})
	case follow.QueryPeer:
		n.queryPeer(call, end)
	}
}

func (n *node) finishCall(call follow.Call, after time.Duration, outcome follow.Outcome) {
	n.whileRunning(after, func() {
		switch n.follower.Done(n.followState(), call, outcome) {
		case follow.Lost:
			n.storeUnavailable = true
			n.sendPendingReplies()
			n.announce()
		case follow.Regained:
			n.storeUnavailable = false
			n.announce()
		}
		n.step()
	})
}

func (n *node) receiveChanges(changes *directory.Changes, confirmedAt time.Duration, err error, end func(follow.Outcome)) {
	switch {
	case errors.Is(err, errHistory):
		end(follow.Outcome{Result: follow.HistoryLost})
	case err != nil:
		end(follow.Outcome{Result: follow.Failed})
	default:
		n.applyChanges(changes, confirmedAt)
		end(follow.Outcome{Changes: changes.Count()})
	}
}

func (n *node) applyListing(listing *directory.Listing, confirmedAt time.Duration) {
	if n.world.options.Without.Differences {
		// Unlike Replace, Apply keeps what the listing lacks.
		n.applyChanges(&directory.Changes{Revision: listing.Revision, Settings: listing.Settings, Records: listing.Records, Evacuations: listing.Evacuations}, confirmedAt)
		return
	}
	if n.world.options.Without.Evacuations {
		withoutEvacuations := *listing
		withoutEvacuations.Evacuations = nil
		listing = &withoutEvacuations
	}
	n.directory.AdvanceConfirmedAt(n.now() - n.confirmed.Staleness(n.now()))
	n.recordEvents(n.directory.Replace(n.now(), listing))
	n.updateView(listing.Revision, confirmedAt)
}

func (n *node) applyChanges(changes *directory.Changes, confirmedAt time.Duration) {
	if n.world.options.Without.Evacuations {
		changes.Evacuations = nil
	}
	n.directory.AdvanceConfirmedAt(n.now() - n.confirmed.Staleness(n.now()))
	n.recordConfirmed(confirmedAt, changes.FromPeer)
	n.recordEvents(n.directory.Apply(n.now(), changes))
	n.updateView(changes.Revision, confirmedAt)
}
