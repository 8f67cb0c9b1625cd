// Package follow decides whom a balancer asks for changes of the desired state, and
// when: another balancer while there is one to follow, else the store; what to do
// when a call fails or the store has lost its history. It is pure: Next says which
// call to make, Done takes its outcome. The process and the emulator carry them out.
//
// # Usage
//
//	f := follow.New(contactBound, follow.StartPause(linkMbps))
//	for {
//		call := f.Next(follow.State{Revision: revision, Upstream: upstream, Freshest: freshest})
//		contact := f.Done(call, carryOut(call))
//	}
package follow

import (
	"net/netip"
	"time"
)

const (
	// listTimeout bounds one listing. Each of its calls has a bound of its own: when
	// a whole fleet starts, the store is busy, and a listing that makes progress must
	// not be begun anew.
	listTimeout = 10 * time.Second
	// PageTimeout bounds each call of a listing.
	PageTimeout = 1500 * time.Millisecond
	// lastListRetry bounds the pause after a failed listing by a balancer that knows
	// nothing; others may know more by then.
	lastListRetry = 1600 * time.Millisecond
	// TransferTimeout bounds an answer from its first byte to its last: a whole
	// configuration takes most of a second over the narrowest links.
	TransferTimeout = 3 * time.Second
	// changesSlack is how much later than asked for the store's answer may come.
	changesSlack = 500 * time.Millisecond
	// peerWait is the longest and minPeerWait the shortest that a balancer waits for changes
	// at another one, and peerSlack how much later the answer may come.
	peerWait    = time.Second
	minPeerWait = 100 * time.Millisecond
	peerSlack   = 300 * time.Millisecond
	// narrowLink is the bandwidth below which a whole configuration takes long, in
	// Mbit/s, and narrowPause how long a balancer behind such a link leaves the store
	// to others when it starts; the driver varies it by half.
	narrowLink  = 50
	narrowPause = 200 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call; it doubles.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
	// gatherTime is the pause after changes, so that those that come together are
	// read together.
	gatherTime = 150 * time.Millisecond
	// storeWaitPart and peerAgePart divide the contact bound: how long the store
	// is waited for, and how old what another balancer tells may be. A call there ends
	// before its word is older, so that a balancer which heard nothing from its source asks
	// the store peerSlack after that age at the latest: below the bounds of configuration
	// and draining.
	storeWaitPart = 4
	peerAgePart   = 2.5
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
}

// State is what Next decides by.
type State struct {
	// Revision is up to where the beliefs are complete, 0 for nothing.
	Revision uint64
	// Upstream is the balancer to follow, Freshest one with a newer revision;
	// invalid where there is none.
	Upstream, Freshest netip.AddrPort
	// UpstreamAge is how long ago the store confirmed what Upstream believes.
	UpstreamAge time.Duration
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
)

// Outcome is the result of a call with what decides on the next one.
type Outcome struct {
	Result Result
	// Changes is how many changes the answer brought.
	Changes int
	// Age is how long ago the store confirmed what another balancer told.
	Age time.Duration
}

// Contact tells what became of the contact with the store.
type Contact uint8

// The changes of contact.
const (
	// Same is no change.
	Same Contact = iota
	// Lost means that the store no longer answers.
	Lost
	// Regained means that it does again.
	Regained
)

// Follower is the state between calls. It is not safe for concurrent use.
type Follower struct {
	contactBound time.Duration
	// startPause is left of the time before the first listing.
	startPause time.Duration
	// historyLost is set while the next call to the store must list.
	historyLost bool
	// storeTurn is set when a peer was of no use and the store is next.
	storeTurn bool
	// catchUp is set when the store failed and a peer may know more.
	catchUp bool
	pause   time.Duration
	retry   time.Duration
	broken  bool
}

// New returns a follower. contactBound is the platform's bound for being in touch,
// startPause how long the store is left to others while nothing is known; see StartPause.
func New(contactBound, startPause time.Duration) *Follower {
	return &Follower{contactBound: contactBound, startPause: startPause, retry: firstRetry}
}

// StartPause returns how long a balancer that starts leaves the store to others. When a
// whole fleet starts, the store's own link is shared by all that list; balancers with wide
// links have everything in a moment if the others wait, and hand it on compressed. 0
// Mbit/s is an unknown link.
func StartPause(linkMbps float64) time.Duration {
	if Narrow(linkMbps) {
		return narrowPause
	}
	return 0
}

// Narrow tells whether everything that is believed takes long over a link, so that
// few may be told it at once.
func Narrow(linkMbps float64) bool {
	return linkMbps > 0 && linkMbps < narrowLink
}

// MaxPeerAge is how old beliefs of another balancer may be, for a contact bound.
func MaxPeerAge(contactBound time.Duration) time.Duration {
	return time.Duration(float64(contactBound) / peerAgePart)
}

// Next returns the call to make.
func (f *Follower) Next(state State) Call {
	if f.catchUp && state.Freshest.IsValid() {
		f.catchUp = false
		return Call{Kind: AskPeer, Peer: state.Freshest, Timeout: peerWait}
	}
	f.catchUp = false
	if state.Revision == 0 {
		f.pause = max(f.pause, f.startPause)
	}
	f.startPause = 0
	if f.pause > 0 {
		call := Call{Kind: Pause, Wait: f.pause}
		f.pause = 0
		return call
	}
	if state.Upstream.IsValid() && state.Revision > 0 && !f.storeTurn {
		wait := min(max(MaxPeerAge(f.contactBound)-state.UpstreamAge, minPeerWait), peerWait)
		return Call{Kind: AskPeer, Peer: state.Upstream, Wait: wait, Timeout: wait + peerSlack}
	}
	f.storeTurn = false
	if f.historyLost || state.Revision == 0 {
		return Call{Kind: ListStore, Timeout: listTimeout}
	}
	wait := f.contactBound / storeWaitPart
	return Call{Kind: WatchStore, Wait: wait, Timeout: wait + changesSlack}
}

// Done takes the outcome of a call and tells whether contact with the store changed.
func (f *Follower) Done(call Call, outcome Outcome) Contact {
	switch call.Kind {
	case Pause:
		return Same
	case AskPeer:
		if outcome.Result == Overtaken {
			f.catchUp = true
			return Same
		}
		f.storeTurn = outcome.Result != Done || outcome.Age > MaxPeerAge(f.contactBound)
		if f.storeTurn {
			return Same
		}
		return f.regained()
	}
	switch outcome.Result {
	case HistoryLost:
		f.historyLost = true
		return Same
	case Overtaken:
		f.catchUp = true
		return Same
	case Failed:
		return f.failed(call)
	}
	if call.Kind == ListStore {
		f.historyLost = false
	}
	if outcome.Changes > 0 {
		f.pause = gatherTime
	}
	return f.regained()
}

// regained notes that the store's word has arrived, directly or through a peer.
func (f *Follower) regained() Contact {
	f.retry = firstRetry
	if !f.broken {
		return Same
	}
	f.broken = false
	return Regained
}

func (f *Follower) failed(call Call) Contact {
	f.catchUp = true
	f.pause = f.retry
	most := lastRetry
	if call.Kind == ListStore {
		most = lastListRetry
	}
	f.retry = min(2*f.retry, most)
	if f.broken {
		return Same
	}
	f.broken = true
	return Lost
}

const (
	// overtakenAfter is how long another balancer must have known more before a call
	// is given up: the store tells all within a moment of each other.
	overtakenAfter = 400 * time.Millisecond
	// maxOvertaken bounds that time, which doubles with each call given up without
	// progress: what brings the news may be a long transfer over a narrow link.
	maxOvertaken = 3200 * time.Millisecond
)

// Lag notices that others have known more for a while, so that the source that is
// asked at present must be cut off. The zero value is ready.
type Lag struct {
	// own is the revision that others are ahead of since then.
	own      uint64
	since    time.Duration
	ahead    bool
	patience time.Duration
}

// Note takes the own revision and one that another balancer told. It returns true
// when the present call should be given up.
func (l *Lag) Note(now time.Duration, own, told uint64) bool {
	if told <= own {
		if l.ahead && l.own != own {
			l.ahead = false
		}
		return false
	}
	if !l.ahead || l.own != own {
		*l = Lag{own: own, since: now, ahead: true, patience: overtakenAfter}
		return false
	}
	if now-l.since < l.patience {
		return false
	}
	l.since, l.patience = now, min(2*l.patience, maxOvertaken)
	return true
}
