package tagged

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// LinkFault is a fault of the link between a balancer and the platform's routers and
// servers. The zero value is a healthy link.
type LinkFault struct {
	// Inward and Outward drop all datagrams to and from the balancer.
	Inward, Outward bool
	// Loss is the share of datagrams dropped in each direction, from 0 to 1.
	Loss float64
	// Delay is the added delay of datagrams to the balancer.
	Delay time.Duration
}

// links holds the link faults by the data address of the balancer.
type links struct {
	mutex  sync.Mutex
	faults map[netip.AddrPort]LinkFault
}

func newLinks() *links {
	return &links{faults: map[netip.AddrPort]LinkFault{}}
}

func (l *links) set(balancer netip.AddrPort, fault LinkFault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.faults[balancer] = fault
}

func (l *links) get(balancer netip.AddrPort) LinkFault {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.faults[balancer]
}

// dropsInward reports whether to drop a datagram to the balancer.
func (f LinkFault) dropsInward() bool { return f.Inward || rand.Float64() < f.Loss }

// dropsOutward reports whether to drop a datagram from the balancer.
func (f LinkFault) dropsOutward() bool { return f.Outward || rand.Float64() < f.Loss }
