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
	n.carryOut(call, state)
}

// followState is what the next call is decided by.
func (n *node) followState() follow.State {
	return follow.StateOf(n.now(), n.directory.Revision(), n.peers, contactBound)
}

// carryOut makes a call and takes its outcome.
func (n *node) carryOut(call follow.Call, state follow.State) {
	if call.Kind == follow.Pause {
		n.finish(call, call.Wait, follow.Outcome{})
		return
	}
	n.asksStore = call.Kind != follow.QueryPeer
	answered := false
	end := func(outcome follow.Outcome) {
		if answered {
			return
		}
		answered = true
		if outcome.Result == follow.Failed || outcome.Result == follow.Superseded {
			// The idle connections may have fallen silent as well.
			clear(n.idle)
		}
		n.finish(call, 0, outcome)
	}
	n.giveUp = end
	timeout := call.Timeout
	if n.world.options.Without.Deadlines && call.Kind != follow.QueryPeer {
		timeout = hangTime
	}
	n.whileRunning(timeout, func() { end(follow.Outcome{Result: follow.Failed}) })
	switch call.Kind {
	case follow.ListStore:
		known := state.Revision
		if n.world.options.Without.ListingsAnew {
			known = 0
		}
		n.listPage(follow.NewListing(n.now(), known), &directory.Listing{}, 0, end)
	case follow.WatchStore:
		answer := n.toThisRun()
		over := n.connect(storeAddress)
		n.world.store.watch(n, over, state.Revision, call.Wait, func(changes *directory.Changes, err error) {
			answer(func() {
				n.release(over)
				n.changed(changes, 0, err, end)
			})
		})
	case follow.QueryPeer:
		n.askPeer(call, end)
	}
}

func (n *node) finish(call follow.Call, after time.Duration, outcome follow.Outcome) {
	n.whileRunning(after, func() {
		switch n.follower.Done(n.followState(), call, outcome) {
		case follow.Lost:
			n.failing = true
			n.wakePolls()
			n.announce()
		case follow.Regained:
			n.failing = false
			n.announce()
		}
		n.step()
	})
}

func (n *node) changed(changes *directory.Changes, age time.Duration, err error, end func(follow.Outcome)) {
	switch {
	case errors.Is(err, errHistory):
		end(follow.Outcome{Result: follow.HistoryLost})
	case err != nil:
		end(follow.Outcome{Result: follow.Failed})
	default:
		n.apply(changes, age)
		end(follow.Outcome{Age: age, Changes: changes.Count()})
	}
}

func (n *node) replace(listing *directory.Listing, age time.Duration) {
	if n.world.options.Without.Differences {
		// The listing says nothing of what vanished.
		n.apply(&directory.Changes{Revision: listing.Revision, Settings: listing.Settings, Records: listing.Records, Evacuations: listing.Evacuations}, age)
		return
	}
	if n.world.options.Without.Evacuations {
		deaf := *listing
		deaf.Evacuations = nil
		listing = &deaf
	}
	n.directory.AdvanceConfirmedAt(n.now() - n.confirmed.Age(n.now()))
	n.noteMembership(n.directory.Replace(n.now(), listing))
	n.believe(age)
}

func (n *node) apply(changes *directory.Changes, age time.Duration) {
	if n.world.options.Without.Evacuations {
		changes.Evacuations = nil
	}
	n.directory.AdvanceConfirmedAt(n.now() - n.confirmed.Age(n.now()))
	n.noteConfirmed(age, changes.FromPeer)
	n.noteMembership(n.directory.Apply(n.now(), changes))
	n.believe(age)
}
