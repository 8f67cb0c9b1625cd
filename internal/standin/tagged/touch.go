package tagged

import (
	"net/netip"
	"sync"
	"time"
)

// Bounds of the rules that have a time.
const (
	// contactTime is how long a balancer and the store must have been undisturbed for the
	// balancer to be in touch.
	contactTime = 4 * time.Second
	// drainTime is how long after a server left new flows may still reach it.
	drainTime = 3 * time.Second
	// evacuateTime is how long after a zone was evacuated new flows may still reach its servers.
	evacuateTime = 3 * time.Second
	// applyTime is how long after it was accepted a configuration may not be in force.
	applyTime = 3 * time.Second
	// rollbackSlack is how long after a balancer has shown a version an older one may
	// still show.
	rollbackSlack = 250 * time.Millisecond
	// recoveryTime is how long after all were killed little may be served.
	recoveryTime = 12 * time.Second
)

// touch knows which parts of the play were disturbed, and until when. Balancers are
// known by the address of their data sockets, from which servers get packets.
type touch struct {
	mutex sync.Mutex
	store time.Time
	until map[netip.AddrPort]time.Time
}

func newTouch() *touch {
	return &touch{until: map[netip.AddrPort]time.Time{}}
}

// disturbStore notes that the store is disturbed until then.
func (t *touch) disturbStore(until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if until.After(t.store) {
		t.store = until
	}
}

// disturb notes that a balancer is disturbed until then.
func (t *touch) disturb(balancer netip.AddrPort, until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if until.After(t.until[balancer]) {
		t.until[balancer] = until
	}
}

// quietSince tells whether neither the balancer nor the store was disturbed since then.
func (t *touch) quietSince(balancer netip.AddrPort, then time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !then.Before(t.until[balancer]) && !then.Before(t.store)
}
