// Package emulator runs a fleet on a model of the users' platform. It uses a virtual clock and one
// goroutine. Each balancer runs the real directory, steering, peers and follow packages; callers,
// routers, servers, the store and operators are models. An observer that sees the state of the
// whole platform checks its rules from outside. Equal options give equal runs.
package emulator

import (
	"fmt"
	"net/netip"
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/peers"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/virtual"
)

// Options configures one run.
type Options struct {
	Scenario Scenario
	Seed     uint64
	// Without turns mechanisms off to show what each one prevents.
	Without Without
	// Steady routers use rendezvous hashing: only the flows of a balancer that joins or leaves
	// move. The others hash by modulo, which moves nearly all flows.
	Steady bool
	// Trace, if set, receives the events of the flow of the caller Traced.
	Trace  func(at time.Duration, line string)
	Traced netip.AddrPort
	// BalancersPerZone and Zones size the fleet; 0 means 3.
	BalancersPerZone, Zones int
	// HighCapacityPerZone is how many of a zone's balancers, the last ones, run on high-capacity
	// machines. The others have the lowest capacity.
	HighCapacityPerZone int
	// Servers and Traffic multiply the servers and the load of each zone; 0 means 1.
	Servers, Traffic float64
	// FlowCloseShare is the share of requests after which a stream's client closes the flow and
	// sends the next request over a new one; 0 means never.
	FlowCloseShare float64
	// VariedPauses multiplies the pauses of each stream by a random factor between 1/maxPauseFactor
	// and maxPauseFactor.
	VariedPauses bool
}

// Without selects the mechanisms to turn off. The field names are the words of gaugeyard-sim's
// --without.
type Without struct {
	// ServerNames delivers packets to whichever server has the address.
	ServerNames bool
	// Departed forgets back ends as soon as their entries are removed.
	Departed bool
	// CopyMemory places each copy of an opening packet anew.
	CopyMemory bool
	// CopyWait places copies of opening packets at once, even if another balancer may have placed
	// the flow.
	CopyWait bool
	// Pins follows the tag of each packet even if the flow's back end is known.
	Pins bool
	// Suspicion keeps sending new flows to unresponsive back ends.
	Suspicion bool
	// Outliers does not detect responses that look like failures.
	Outliers bool
	// Faults ignores unanswered requests in placement.
	Faults bool
	// Resets does not end flows at back ends that are down.
	Resets bool
	// Pacing does not correct loads for flows placed in the last moments.
	Pacing bool
	// Pace assumes that back ends that are warming up or slow are as fast as others.
	Pace bool
	// Load places by hash alone.
	Load bool
	// Standstill forwards opening packets that were queued while the process was paused.
	Standstill bool
	// Peers disables all exchange between balancers; each uses the store alone.
	Peers bool
	// Release ends a process as soon as a planned stop begins.
	Release bool
	// Deadlines lets calls to the store block until hangTimeout.
	Deadlines bool
	// ListingsAnew also abandons a listing when the balancer already had state before it began.
	ListingsAnew bool
	// Inquiries does not ask other balancers for a flow's back end.
	Inquiries bool
	// WarmUpLimit does not limit new flows to servers that are warming up.
	WarmUpLimit bool
	// WarmUpPlacers lets each balancer of a zone use an even share of the warm-up rate.
	WarmUpPlacers bool
	// Evacuations ignores evacuations of zones.
	Evacuations bool
	// Snapshot neither writes nor reads the snapshot in the store.
	Snapshot bool
	// Lapsed does not use servers whose entries expired in an outage of the store.
	Lapsed bool
	// Differences applies a listing without removing what it lacks.
	Differences bool
}

// Bounds of the platform that the observer enforces.
const (
	contactBound  = 4 * time.Second
	applyBound    = 3 * time.Second
	drainBound    = 3 * time.Second
	evacuateBound = 3 * time.Second
	graceBound    = 6 * time.Second
	flowLife      = 60 * time.Second
	// A server that is warming up receives at most rate*warmUpOvershoot + warmUpSlack new flows in
	// any second.
	warmUpOvershoot = 1.5
	warmUpSlack     = 5.0
	backSlack       = 250 * time.Millisecond
	reorderBound    = 2 * time.Second
	recoverBound    = 12 * time.Second
)

// One-way network delays, and the default share of lost datagrams.
const (
	zoneDelay   = 200 * time.Microsecond
	crossDelay  = 1400 * time.Microsecond
	clientDelay = time.Millisecond
	defaultLoss = 0.0005
)

// world is the state of one run.
type world struct {
	virtual.Clock
	options Options
	zones   []string
	store   *store
	routers map[string]*router
	nodes   []*node
	servers map[netip.AddrPort]*server
	// clockSetBack is how far the servers' clocks are set back.
	clockSetBack time.Duration
	// incarnations lists every start of a server, in order.
	incarnations []*server
	clients      map[flow.Key]*clientFlow
	operator     operator
	observer     *observer
	nextServer   uint32
	nextCaller   uint32
	nextRequest  uint64
	hellos       int
	// helloBytes is the approximate total size of the hellos sent.
	helloBytes int
	// loss is the share of datagrams that are lost.
	loss float64
	// connectionEpoch counts how often all open connections were blackholed.
	connectionEpoch int
	// variedAnswers makes a share of all servers' answers short and fast.
	variedAnswers bool
	// speeds are assigned to feed servers in rotation; empty means that all have speed 1.
	speeds []float64
	// warmUpTime is how long servers warm up.
	warmUpTime time.Duration
	// sharesMeasuredFrom is when measuring the shares of a split route begins.
	sharesMeasuredFrom time.Duration
	// busiestDuringReturn is Result.BusiestDuringReturn; 0 if no entries returned after an outage.
	busiestDuringReturn float64
	// openAnswerLoss is the share of servers' first answers to opening packets that are lost.
	openAnswerLoss float64
	// portsReused makes clients use the ports of closed flows again. closedPorts holds these.
	portsReused bool
	closedPorts map[routeZone][]closedPort
}

func newWorld(options Options) *world {
	if options.BalancersPerZone == 0 {
		options.BalancersPerZone = 3
	}
	if options.Zones == 0 {
		options.Zones = 3
	}
	if options.Servers == 0 {
		options.Servers = 1
	}
	if options.Traffic == 0 {
		options.Traffic = 1
	}
	w := &world{
		Clock:   virtual.New(options.Seed),
		options: options,
		routers: map[string]*router{},
		servers: map[netip.AddrPort]*server{},
		clients: map[flow.Key]*clientFlow{}, closedPorts: map[routeZone][]closedPort{},
		loss:       defaultLoss,
		warmUpTime: defaultWarmUpTime, sharesMeasuredFrom: defaultSharesMeasuredFrom,
	}
	w.observer = newObserver(w)
	w.store = newStore(w)
	for i := range options.Zones {
		zone := fmt.Sprintf("zone-%c", 'a'+i)
		w.zones = append(w.zones, zone)
		w.routers[zone] = &router{world: w, zone: zone}
	}
	return w
}

// build creates the balancers and servers and publishes the first configuration.
func (w *world) build() {
	w.operator = newOperator(w)
	w.operator.publish()
	for i, zone := range w.zones {
		for j := range w.options.BalancersPerZone {
			w.addNode(zone, netip.AddrFrom4([4]byte{10, byte(i + 1), 0, byte(10 + j)}))
		}
		for range int(feedServers * w.options.Servers) {
			w.addServer(serviceFeed, zone)
		}
		for range int(uploadServers * w.options.Servers) {
			w.addServer(serviceUpload, zone)
		}
	}
}

func (w *world) addNode(zone string, ip netip.Addr) *node {
	n := &node{world: w, zone: zone, control: netip.AddrPortFrom(ip, controlPort)}
	if w.isHighCapacity(zone) {
		n.capacity = peers.CapacityHigh
	}
	w.nodes = append(w.nodes, n)
	w.routers[zone].add(n)
	n.start()
	return n
}

// isHighCapacity reports whether the next machine of a zone has high capacity.
func (w *world) isHighCapacity(zone string) bool {
	index := 0
	for _, n := range w.nodes {
		if n.zone == zone {
			index++
		}
	}
	return index < w.options.BalancersPerZone && index >= w.options.BalancersPerZone-w.options.HighCapacityPerZone
}

func (w *world) nextSpeed(service string) float64 {
	if service != serviceFeed || len(w.speeds) == 0 {
		return 1
	}
	return w.speeds[int(w.nextServer)%len(w.speeds)]
}

// delay returns the one-way delay between two zones; an empty zone is a client's.
func (w *world) delay(from, to string) time.Duration {
	base := crossDelay
	switch {
	case from == "" || to == "":
		base = clientDelay
	case from == to:
		base = zoneDelay
	}
	return base + time.Duration(float64(base)*0.1*w.Random.Float64())
}

// send delivers a datagram after the network's delay unless it is lost.
func (w *world) send(from, to string, deliver func()) {
	if w.Chance(w.loss) {
		return
	}
	w.After(w.delay(from, to), deliver)
}

func (w *world) nodeAt(control netip.AddrPort) *node {
	for _, n := range w.nodes {
		if n.control == control {
			return n
		}
	}
	return nil
}

// trace reports an event of a flow if it is the traced one.
func (w *world) trace(c *clientFlow, format string, arguments ...any) {
	if w.options.Trace != nil && c.key.Caller == w.options.Traced {
		w.options.Trace(w.Now, fmt.Sprintf(format, arguments...))
	}
}

func idText(id settings.BackendID) string {
	return fmt.Sprintf("%08x", uint64(id))
}
