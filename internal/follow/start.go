package follow

import "time"

const (
	// narrowLink is the bandwidth below which a whole configuration takes long, in
	// Mbit/s, and narrowPause how long a balancer behind such a link leaves the store
	// to others when it starts; the driver varies it by half.
	narrowLink  = 50
	narrowPause = 50 * time.Millisecond
	// LongTransfer is how long a listing may take over the balancer's own link before it is left to
	// others once more, for longPause: with few routes it takes 30 ms, and whoever waits longer for others
	// serves later (settings 0.31 s after a start in the median, of which 0.1 to 0.3 s were the wait);
	// with 1,500 routes 98 balancers share the store's link for half a second.
	LongTransfer = 150 * time.Millisecond
	longPause    = 200 * time.Millisecond
	// firstPause is that time at the first start of the whole fleet, when no caller waits yet.
	firstPause = time.Second
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
		return firstPause
	}
	return narrowPause
}

// Narrow tells whether everything that is believed takes long over a link, so that
// few may be told it at once.
func Narrow(linkMbps float64) bool {
	return linkMbps > 0 && linkMbps < narrowLink
}
