package follow

import "time"

const (
	// narrowLink is the bandwidth below which a whole configuration takes long, in
	// Mbit/s, and narrowPause how long a balancer behind such a link leaves the store
	// to others when it starts; the driver varies it by half.
	narrowLinkMbps  = 50
	narrowLinkDelay = 50 * time.Millisecond
	// LongTransfer is how long a listing may take over the balancer's own link before it is left to
	// others once more, for longPause: with few routes it takes 30 ms, and whoever waits longer for others
	// serves later (settings 0.31 s after a start in the median, of which 0.1 to 0.3 s were the wait);
	// with 1,500 routes 98 balancers share the store's link for half a second.
	LongTransfer     = 150 * time.Millisecond
	longListingDelay = 200 * time.Millisecond
	// ablerTime is how long, from its start, a balancer that knows nothing leaves the store to others that are
	// abler or, in a zone of largeZone and more, come first by rank: all that start at once share the store's
	// link, and what 986 balancers would read of 10,000 servers takes it 25 s. One in 25 or fewer ask at once, and
	// have everything in half a second. It ends within an eighth of the least bound of recovery, so that others ask
	// where these cannot.
	maxDeferral  = 1500 * time.Millisecond
	minLargeZone = 9
	// aloneTime is how long a balancer behind a narrow link waits to hear of others first: seeds answer
	// within a few milliseconds, if they have started, and the machines of a fleet start within 0.3 s.
	peerDiscoveryTime = 200 * time.Millisecond
	// startPoll is how long it waits before it looks whether one has heard meanwhile.
	startPollInterval = 25 * time.Millisecond
	// firstPause is that time at the first start of the whole fleet, when no caller waits yet.
	fleetStartDelay = time.Second
)

// StartPause returns how long a balancer that starts leaves the store to others. When a
// whole fleet starts, the store's own link is shared by all that list; balancers with wide
// links have everything in a moment if the others wait, and hand it on compressed. 0
// Mbit/s is an unknown link. firstStart is set when no balancer of the fleet has run before.
func StartPause(linkMbps float64, firstStart bool) time.Duration {
	switch {
	case !Narrow(linkMbps):
		return 0
	case firstStart:
		return fleetStartDelay
	}
	return narrowLinkDelay
}

// leavesStore tells whether a balancer that knows nothing leaves the store to others for now.
func (f *Follower) defersToPeers(state State) bool {
	switch {
	case state.Revision > 0 || f.historyLost || f.disconnected:
		return false
	case state.Alone:
		return f.narrowLink && state.Now < peerDiscoveryTime
	}
	return state.Now < maxDeferral && (state.MoreCapable || state.Backup && state.ZoneSize >= minLargeZone)
}

// Narrow tells whether everything that is believed takes long over a link, so that
// few may be told it at once.
func Narrow(linkMbps float64) bool {
	return linkMbps > 0 && linkMbps < narrowLinkMbps
}
