package tagged

import (
	"net/netip"
	"sync"
	"time"
)

// Time bounds of the rules.
const (
	// settleTime is how long a balancer and the store must have been undisturbed before the
	// time bounds apply to the balancer.
	settleTime = 4 * time.Second
	// drainTime is how long a server may still get new flows after it begins to leave.
	drainTime = 3 * time.Second
	// evacuateTime is how long servers of a zone may still get new flows after its evacuation.
	evacuateTime = 3 * time.Second
	// applyTime is how long balancers may take to apply an accepted configuration.
	applyTime = 3 * time.Second
	// rollbackSlack is how long flows may still follow an older version after a balancer has
	// applied a newer one.
	rollbackSlack = 250 * time.Millisecond
	// recoveryTime is how long balancers may take to recover after all were killed.
	recoveryTime = 12 * time.Second
)

// disturbances records until when the store and each balancer are disturbed. Balancers are
// identified by their data address, from which servers get packets.
type disturbances struct {
	mutex     sync.Mutex
	store     time.Time
	balancers map[netip.AddrPort]time.Time
}

func newDisturbances() *disturbances {
	return &disturbances{balancers: map[netip.AddrPort]time.Time{}}
}

// markStore records that the store is disturbed until the given time.
func (d *disturbances) markStore(until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if until.After(d.store) {
		d.store = until
	}
}

// markBalancer records that a balancer is disturbed until the given time.
func (d *disturbances) markBalancer(balancer netip.AddrPort, until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if until.After(d.balancers[balancer]) {
		d.balancers[balancer] = until
	}
}

// undisturbedSince reports whether neither the balancer nor the store was disturbed since then.
func (d *disturbances) undisturbedSince(balancer netip.AddrPort, then time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !then.Before(d.balancers[balancer]) && !then.Before(d.store)
}
