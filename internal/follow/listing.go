package follow

import "time"

const (
	// primaryListWait is how long a large listing waits for another balancer to complete
	// its own first. When a whole fleet starts, the store's link is the bottleneck, and
	// balancers pass a listing on much faster.
	primaryListWait = 800 * time.Millisecond
	// backupListWait is that time for all but the primaryPollers of a zone.
	backupListWait = 4 * time.Second
	// ListPoll is how long a driver waits before it calls Listing.Next again.
	ListPoll = 20 * time.Millisecond
	// pageRetries is how often in a row a page is requested again, so that a call that the
	// store rejects does not discard the pages before.
	pageRetries = 4
	// maxRefusalTime is the longest time to a rejection; a longer one is a timeout.
	maxRefusalTime = PageTimeout / 2
)

// ListingStep is the next step of a listing after a page.
type ListingStep uint8

// The steps.
const (
	// NextPage reads the next page.
	NextPage ListingStep = iota
	// WaitForPeers calls Next again after ListPoll.
	WaitForPeers
	// AbandonListing ends the listing, since another balancer has sent a newer state.
	AbandonListing
)

// Listing decides the steps of a paged listing of the store.
type Listing struct {
	known   uint64
	beganAt time.Duration
	// committed is set once the listing no longer waits for peers.
	committed bool
	// read is set once a page was read; failures counts the failed calls since the last page.
	read     bool
	failures int
}

// NewListing begins a listing at now by a balancer that is complete up to the revision known, 0 for none.
func NewListing(now time.Duration, known uint64) *Listing {
	return &Listing{known: known, beganAt: now}
}

// Failed returns, after a request for a page has failed within took, how long to wait before
// the request is repeated. retry is false for the first page, after too many failures, and if the
// store did not respond at all; the follower then decides on the next call.
func (l *Listing) Failed(took time.Duration) (wait time.Duration, retry bool) {
	l.failures++
	if !l.read || l.failures > pageRetries || took >= maxRefusalTime {
		return 0, false
	}
	return min(minRetry<<(l.failures-1), maxRetry), true
}

// Next returns the step after a page was read. revision is the known revision, backup is set if a
// live balancer of lower rank may complete its listing first, and zoneRank is how many of these are
// in the own zone. A balancer that lists again after lost history waits for nobody: few do so at
// once, and others know no more.
func (l *Listing) Next(now time.Duration, revision uint64, backup bool, zoneRank int) ListingStep {
	l.read, l.failures = true, 0
	wait := primaryListWait
	if zoneRank >= primaryPollers {
		wait = backupListWait
	}
	switch {
	case revision > l.known:
		return AbandonListing
	case l.known > 0, l.committed, !backup, now-l.beganAt >= wait:
		l.committed = true
		return NextPage
	}
	return WaitForPeers
}
