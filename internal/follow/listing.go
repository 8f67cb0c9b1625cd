package follow

import "time"

const (
	// listPatience is how long a large listing waits for another balancer to learn
	// first. When a whole fleet starts, the store's link is the bottleneck; balancers
	// hand a listing on much faster.
	primaryListWait = 800 * time.Millisecond
	// restPatience is that time for all but firstAskers of a zone: those few need longer too when more than
	// them have begun.
	backupListWait = 4 * time.Second
	// ListPoll is how long a driver waits before it asks a listing again.
	ListPoll = 20 * time.Millisecond
	// pageRetries is how often in a row a page is asked for again. Where listings are
	// long and the store allows few calls, one that is refused must not cost all pages
	// that came before.
	pageRetries = 4
	// refusalTime is how long a refusal may take; what takes longer is silence.
	maxRefusalTime = PageTimeout / 2
)

// ListingStep says how a listing goes on after a page.
type ListingStep uint8

// The steps.
const (
	// ReadOn reads the next page.
	ReadOn ListingStep = iota
	// WaitForOthers asks again after ListPoll.
	WaitForOthers
	// LeaveListing ends it: what others told meanwhile has made it needless.
	LeaveListing
)

// Listing decides, between the pages of a listing of the store, how it goes on.
type Listing struct {
	known     uint64
	beganAt   time.Duration
	committed bool
	// read is set once a page was read, and failures counts what failed since the last.
	read     bool
	failures int
}

// NewListing begins a listing at now by a balancer that knows everything up to the
// revision known, 0 for nothing.
func NewListing(now time.Duration, known uint64) *Listing {
	return &Listing{known: known, beganAt: now}
}

// Failed returns, after a call for a page has failed within took, how long to wait before
// it is asked for again. It is not when nothing came before it, when it has failed too often,
// or when the store was silent and did not refuse: the follower then decides whom to ask.
func (l *Listing) Failed(took time.Duration) (wait time.Duration, again bool) {
	l.failures++
	if !l.read || l.failures > pageRetries || took >= maxRefusalTime {
		return 0, false
	}
	return min(minRetry<<(l.failures-1), maxRetry), true
}

// Next returns the step after a page was read, where revision is known now, lower tells whether
// a live balancer of lower rank may learn first, and index how many of these are of the own zone. A balancer that lists anew, since its
// history was lost, waits for nobody: few do at once, and others know no more.
func (l *Listing) Next(now time.Duration, revision uint64, lower bool, index int) ListingStep {
	l.read, l.failures = true, 0
	patience := primaryListWait
	if index >= primaryPollers {
		patience = backupListWait
	}
	switch {
	case revision > l.known:
		return LeaveListing
	case l.known > 0, l.committed, !lower, now-l.beganAt >= patience:
		l.committed = true
		return ReadOn
	}
	return WaitForOthers
}
