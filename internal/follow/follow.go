// Package follow decides whom a balancer asks for changes of the desired state, and
// when: another balancer while there is one to follow, else the store; what to do
// when a call fails or the store has lost its history. It is pure: Next says which
// call to make, Done takes its outcome. The process and the emulator carry them out.
//
// # Usage
//
//	f := follow.New(contactBound, follow.StartPause(linkMbps, firstStart))
//	for {
//		call := f.Next(state())
//		contact := f.Done(state(), call, carryOut(call))
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
	// minPeerWait is the shortest time that a balancer waits for changes at another one, and
	// peerSlack how much later the answer may come.
	minPeerWait = 100 * time.Millisecond
	peerSlack   = 300 * time.Millisecond
	// catchUpTime bounds a call at a balancer that knows more.
	catchUpTime = time.Second
	// narrowLink is the bandwidth below which a whole configuration takes long, in
	// Mbit/s, and narrowPause how long a balancer behind such a link leaves the store
	// to others when it starts; the driver varies it by half.
	narrowLink  = 50
	narrowPause = 200 * time.Millisecond
	// firstPause is that time at the first start of the whole fleet, when no caller waits yet.
	firstPause = time.Second
	// firstRetry and lastRetry bound the time after a failed call until the store is asked again;
	// it doubles.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
	// spareRetry is that time where another balancer comes first by rank, after the first
	// failure, and longSpareRetry after more: in an outage the other one asks, and tells when
	// the store is back.
	spareRetry     = 400 * time.Millisecond
	longSpareRetry = 2 * time.Second
	// firstAskers is how many balancers of a zone, by rank, ask the store once their source's word
	// is old, turnStep one after the other; the rest waits the part restPart of the contact
	// bound. By then they hear from those that were answered; where enoughFailing others say that
	// the store does not answer them, it is an outage, and the rest asks restRetry later.
	// That all of the first are cut off while the store serves others is what the number is for:
	// where a third is turned away, as much as the users tell of, it is one in 6,000.
	firstAskers   = 8
	turnStep      = 30 * time.Millisecond
	restPart      = 10
	enoughFailing = 4
	restRetry     = 8 * time.Second
	// maxDoublings bounds how often that time doubles.
	maxDoublings = 8
	// pauseStep is how long a balancer that waits to ask the store pauses before it looks
	// whether another one has heard of it meanwhile.
	pauseStep = 200 * time.Millisecond
	// storeWaitPart, peerAgePart and gatherPart divide the contact bound. The first is how long
	// the store is waited for, from its last answer on. The second is how old what another
	// balancer tells may be: a call there is answered when the store has confirmed again what is
	// believed, and ends before that is older, so that a balancer which heard nothing from its
	// source asks the store peerSlack after that age at the latest: below the bounds of
	// configuration and draining. The third is the pause after an answer of the store that came
	// early, so that changes which follow each other are read together: each read is priced, and
	// what changes while servers are replaced need not be known faster.
	storeWaitPart = 4
	peerAgePart   = 2.5
	gatherPart    = 10
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
	// Now is the time on the steady clock of the process.
	Now time.Duration
	// Spare is set while a live balancer of lower rank is known, which asks the store first, and
	// Index is how many of those are of the own zone.
	Spare bool
	Index int
	// Failing is how many other live balancers say that the store does not answer them.
	Failing int
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
	// startPause is left of the time before the first listing, and settled is set once anything
	// is known and others have had time to be found.
	startPause time.Duration
	settled    bool
	// historyLost is set while the next call to the store must list.
	historyLost bool
	// storeTurn is set when a peer was of no use and the store is next.
	storeTurn bool
	// catchUp is set when the store failed and a peer may know more.
	catchUp bool
	pause   time.Duration
	// asked is the revision at the last call, and answered when the store last answered.
	asked    uint64
	answered time.Duration
	// turnAt is when it is this balancer's turn to ask the store in place of those that come first
	// by rank, 0 while they are of use; outage is set once it has left its turn to them, since
	// the store answers nobody.
	turnAt time.Duration
	outage bool
	// storeAfter is when the store may be asked again after failures, and failures counts
	// them since it last answered.
	storeAfter time.Duration
	failures   int
	broken     bool
}

// New returns a follower. contactBound is the platform's bound for being in touch,
// startPause how long the store is left to others while nothing is known; see StartPause.
func New(contactBound, startPause time.Duration) *Follower {
	return &Follower{contactBound: contactBound, startPause: startPause}
}

// StartPause returns how long a balancer that starts leaves the store to others. When a
// whole fleet starts, the store's own link is shared by all that list; balancers with wide
// links have everything in a moment if the others wait, and hand it on compressed. 0
// Mbit/s is an unknown link. firstStart is set when no balancer of the fleet has run before.
func StartPause(linkMbps float64, firstStart bool) time.Duration {
	switch {
	case !Narrow(linkMbps):
		return 0
	case firstStart:
		return firstPause
	}
	return narrowPause
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
	f.asked = state.Revision
	if f.catchUp && state.Freshest.IsValid() {
		f.catchUp = false
		return Call{Kind: AskPeer, Peer: state.Freshest, Timeout: catchUpTime}
	}
	f.catchUp = false
	if state.Revision == 0 {
		f.pause = max(f.pause, f.startPause)
	}
	f.startPause = 0
	if state.Revision > 0 && !f.settled {
		// What another balancer has just told is fresh, and whom to follow shows in a moment.
		f.settled = true
		if !state.Upstream.IsValid() {
			f.pause = f.contactBound / gatherPart
		}
	}
	if f.pause > 0 {
		call := Call{Kind: Pause, Wait: f.pause}
		f.pause = 0
		return call
	}
	if state.Upstream.IsValid() && state.Revision > 0 && !f.storeTurn {
		wait := max(MaxPeerAge(f.contactBound)-max(state.UpstreamAge, 0), minPeerWait)
		return Call{Kind: AskPeer, Peer: state.Upstream, Wait: wait, Timeout: wait + peerSlack}
	}
	f.storeTurn = false
	if left := f.storeAfter - state.Now; left > 0 {
		return Call{Kind: Pause, Wait: min(left, pauseStep)}
	}
	if f.historyLost || state.Revision == 0 {
		return Call{Kind: ListStore, Timeout: listTimeout}
	}
	if left := f.untilTurn(state); left > 0 {
		return Call{Kind: Pause, Wait: min(left, pauseStep)}
	}
	wait := f.watchTime(state.Now)
	return Call{Kind: WatchStore, Wait: wait, Timeout: wait + changesSlack}
}

// untilTurn returns how long those that come first by rank are left to ask the store, once what
// they told is too old. One that has asked lately goes on.
func (f *Follower) untilTurn(state State) time.Duration {
	if !state.Spare || f.broken || f.answered > 0 && state.Now-f.answered < f.contactBound/2 {
		return 0
	}
	switch {
	case f.turnAt > 0:
	case state.Index >= firstAskers:
		f.turnAt = state.Now + f.contactBound/restPart
	default:
		f.turnAt = state.Now + time.Duration(state.Index)*turnStep
	}
	if left := f.turnAt - state.Now; left > 0 {
		return left
	}
	f.turnAt = 0
	if f.outage || !state.isOutage() {
		return 0
	}
	f.outage, f.catchUp = true, true
	f.storeAfter = state.Now + restRetry
	return restRetry
}

// isOutage tells whether the store answers nobody, as far as is known, and whether it is others
// that find out when it does again.
func (s *State) isOutage() bool {
	return s.Spare && s.Index >= firstAskers && s.Failing >= enoughFailing
}

// watchTime returns how long the store is waited for: until storeWaitPart of the bound after its
// last answer, so that a pause since then makes nothing older.
func (f *Follower) watchTime(now time.Duration) time.Duration {
	longest := f.contactBound / storeWaitPart
	return min(max(f.answered+longest-now, longest/4), longest)
}

// Done takes the outcome of a call, with the state after it, and tells whether contact with the
// store changed.
func (f *Follower) Done(state State, call Call, outcome Outcome) Contact {
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
		return f.failed(state, call)
	}
	if call.Kind == ListStore {
		f.historyLost = false
	}
	f.answered = state.Now
	if state.Revision != f.asked {
		f.pause = f.contactBound / gatherPart
	}
	return f.regained()
}

// regained notes that the store's word has arrived, directly or through a peer.
func (f *Follower) regained() Contact {
	f.failures, f.storeAfter, f.turnAt, f.outage = 0, 0, 0, false
	if !f.broken {
		return Same
	}
	f.broken = false
	return Regained
}

func (f *Follower) failed(state State, call Call) Contact {
	f.catchUp = true
	f.storeAfter = state.Now + f.retryTime(state, call)
	f.failures++
	if f.broken {
		return Same
	}
	f.broken = true
	return Lost
}

// retryTime returns how long after a failed call the store is asked again.
func (f *Follower) retryTime(state State, call Call) time.Duration {
	last := lastRetry
	switch {
	case call.Kind == ListStore:
		last = lastListRetry
	case state.isOutage():
		return restRetry
	case state.Spare && f.failures == 0 && state.Failing < enoughFailing:
		return spareRetry
	case state.Spare:
		return longSpareRetry
	}
	return min(firstRetry<<min(f.failures, maxDoublings), last)
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
