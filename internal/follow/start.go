package follow

import "time"

const (
	// narrowLinkMbps is the bandwidth in Mbit/s below which a link counts as narrow. narrowLinkDelay is
	// how long a balancer behind such a link delays its first listing; the driver varies it by half.
	narrowLinkMbps  = 50
	narrowLinkDelay = 50 * time.Millisecond
	// LongTransfer is the longest time that the first listing may take over a narrow link. A longer one is
	// delayed once, by longListingDelay, so that a peer may send the state first. With few routes a listing
	// takes 30 ms, and a delay would cost more; with 1,500 routes a hundred balancers share the store's link for
	// half a second.
	LongTransfer     = 150 * time.Millisecond
	longListingDelay = 200 * time.Millisecond
	// maxDeferral is how long after its start a balancer without state leaves the store to more capable
	// peers or, in a zone of minLargeZone balancers and more, to those of lower rank: all that start at once
	// share the store's link, which a thousand listings of 10,000 servers occupy for 25 s. It is at most an
	// eighth of the smallest recovery bound, so that others list in time if these cannot.
	maxDeferral  = 1500 * time.Millisecond
	minLargeZone = 9
	// peerDiscoveryTime is how long after its start a balancer behind a narrow link waits to discover peers:
	// the machines of a fleet start within 0.3 s, and seeds that run respond within milliseconds.
	peerDiscoveryTime = 200 * time.Millisecond
	// startPollInterval is the interval at which a deferring balancer checks for peers and state.
	startPollInterval = 25 * time.Millisecond
	// fleetStartDelay replaces narrowLinkDelay at the first start of the fleet, when there are no callers yet.
	fleetStartDelay = time.Second
)

// StartPause returns how long a starting balancer delays its first listing. When a whole fleet
// starts, all listings share the store's link; if balancers behind narrow links wait, the others
// complete theirs quickly and pass the state on compressed. linkMbps is 0 for an unknown link.
// firstStart is set if no balancer of the fleet has run before.
func StartPause(linkMbps float64, firstStart bool) time.Duration {
	switch {
	case !Narrow(linkMbps):
		return 0
	case firstStart:
		return fleetStartDelay
	}
	return narrowLinkDelay
}

// defersToPeers reports whether a balancer without state leaves the store to others for now.
func (f *Follower) defersToPeers(state State) bool {
	switch {
	case state.Revision > 0 || f.historyLost || f.disconnected:
		return false
	case state.Alone:
		return f.narrowLink && state.Now < peerDiscoveryTime
	}
	return state.Now < maxDeferral && (state.MoreCapable || state.Backup && state.ZoneSize >= minLargeZone)
}

// Narrow reports whether the whole state takes long over a link, so that it may be sent to only a
// few balancers at once. An unknown link, 0 Mbit/s, is not narrow.
func Narrow(linkMbps float64) bool {
	return linkMbps > 0 && linkMbps < narrowLinkMbps
}
