package follow

import (
	"net/netip"
	"time"

	"gaugeyard/internal/peers"
)

// Kind says what a call does.
type Kind uint8

// The kinds of calls.
const (
	// ListStore reads everything from the store.
	ListStore Kind = iota
	// WatchStore waits at the store for changes.
	WatchStore
	// AskPeer waits at another balancer for changes.
	AskPeer
	// Pause waits and asks nobody.
	Pause
)

// String returns the kind's word in logs.
func (k Kind) String() string {
	return [...]string{"list store", "watch store", "ask peer", "pause"}[k]
}

// Call is what to do next.
type Call struct {
	Kind Kind
	// Peer is who is asked by AskPeer.
	Peer netip.AddrPort
	// Wait is how long the other side may hold the answer back, or the pause.
	Wait time.Duration
	// Timeout is when the call has failed, unless its answer has begun to arrive.
	Timeout time.Duration
	// Transfer is how long the answer may take over the balancer's own link, by its length; 0 is no
	// bound. One that takes longer is not read, and the call ends as TooLong.
	Transfer time.Duration
}

// State is what Next decides by.
type State struct {
	// Now is the time on the steady clock of the process.
	Now time.Duration
	// Spare is set while a live balancer of lower rank is known, which asks the store first, and
	// Index is how many of those are of the own zone.
	Backup   bool
	ZoneRank int
	// Abler is set while a live balancer on an abler machine is known, and Alone while none has been heard. Zone
	// is how many of the own zone are, the balancer itself included.
	MoreCapable, Alone bool
	ZoneSize           int
	// Failing is how many other live balancers say that the store does not answer them.
	FailingPeers int
	// Revision is up to where the beliefs are complete, 0 for nothing.
	Revision uint64
	// Upstream is the balancer to follow, Freshest one with a newer revision;
	// invalid where there is none.
	Upstream, Freshest netip.AddrPort
	// UpstreamAge is how long ago the store confirmed what Upstream believes.
	UpstreamAge time.Duration
}

// StateOf returns the state of a balancer that believes what it does up to a revision, from what
// it knows of others. contactBound is the platform's bound for being in touch.
func StateOf(now time.Duration, revision uint64, known *peers.Table, contactBound time.Duration) State {
	state := State{Now: now, Revision: revision, Backup: known.HasLower(now), FailingPeers: known.Failing(now)}
	index, zone, fleet := known.Place(now)
	state.ZoneRank, state.ZoneSize, state.MoreCapable, state.Alone = index, zone, known.HasAbler(now), fleet == 1
	if peer, found := known.Upstream(now, MaxPeerAge(contactBound)); found {
		state.Upstream, state.UpstreamAge = peer.Control, peer.Age(now)
	}
	if peer, found := known.Freshest(now, revision); found {
		state.Freshest = peer.Control
	}
	return state
}

// Result is how a call ended.
type Result uint8

// The results of calls.
const (
	// Done means that the call was answered.
	Done Result = iota
	// HistoryLost means that the store knows no changes since the revision.
	HistoryLost
	// Failed means that there was no useful answer.
	Failed
	// Overtaken means that the call was given up because another balancer has
	// known more for a while.
	Overtaken
	// TooLong means that the answer would take longer than Call.Transfer.
	TooLong
)

// Outcome is the result of a call with what decides on the next one.
type Outcome struct {
	Result Result
	// Age is how long ago the store confirmed what another balancer told.
	Age time.Duration
	// Changes is how many changes the store's answer had.
	Changes int
}

// Contact tells what became of the contact with the store.
type Contact uint8

// The changes of contact.
const (
	// Same is no change.
	Unchanged Contact = iota
	// Lost means that the store no longer answers.
	Lost
	// Regained means that it does again.
	Regained
)
