// Package emulator runs a fleet on the users' platform on a virtual clock, in one
// goroutine: the real beliefs, decisions, peers and follower of each balancer,
// between models of callers, routers, servers, the platform's store and operators.
// An observer that sees what really happened judges the rules from outside. Equal
// options give equal runs.
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

// Options select one run.
type Options struct {
	Scenario Scenario
	Seed     uint64
	// Without turns mechanisms off, to show what each is for.
	Without Without
	// Steady routers move only the flows of a balancer that comes or goes; others
	// hash by modulo, which moves nearly all.
	Steady bool
	// Trace, if set, hears what happens to the flow of the caller Traced.
	Trace  func(at time.Duration, line string)
	Traced netip.AddrPort
	// BalancersPerZone and Zones size the fleet; 0 stands for 3.
	BalancersPerZone, Zones int
	// AblePerZone of these have an able machine, the last ones; the others have the least.
	AblePerZone int
	// Servers and Traffic multiply the servers and the load of each zone; 0 stands for 1.
	Servers, Traffic float64
	// Leave is the part of its requests after which a stream's client ends the flow and asks
	// for the next one over a new flow; 0 is never.
	Leave float64
	// Varied draws for each stream how often it asks, up to variedMost times more or less often.
	Varied bool
}

// Without names mechanisms that are turned off.
type Without struct {
	// ServerNames sends packets to whichever server has the address.
	ServerNames bool
	// Departed forgets back ends as soon as their entries vanish.
	Departed bool
	// CopyMemory places each copy of an opening packet anew.
	CopyMemory bool
	// CopyWait places copies of opening packets at once that another balancer may have placed.
	CopyWait bool
	// Pins follow the tag of each packet, also on flows whose back end is known.
	Pins bool
	// Suspicion keeps sending new flows to silent back ends.
	Suspicion bool
	// Outliers takes all answers for what callers asked for.
	Outliers bool
	// Faults places new flows as if no request had been left unanswered.
	Faults bool
	// Resets leaves flows at back ends that are lost.
	Resets bool
	// Pacing counts new flows as the recent requests that they are, however many come at once.
	Pacing bool
	// Pace takes back ends that warm up or are slow for as quick as others.
	Pace bool
	// Load places by hash alone.
	Load bool
	// Standstill forwards opening packets that waited while a balancer stood still.
	Standstill bool
	// Peers leaves a balancer alone with the store.
	Peers bool
	// Release ends a process at once when it is asked to stop.
	Release bool
	// Deadlines lets calls to the store wait for as long as they may hang.
	Deadlines bool
	// ListingsAnew leaves a listing for what was known before it began, too.
	ListingsAnew bool
	// Inquiries asks no other balancer where a flow rests.
	Inquiries bool
	// WarmUpLimit sends servers that warm up as many new flows as others.
	WarmUpLimit bool
	// WarmUpPlacers lets each balancer of a zone send its even share to servers that warm up.
	WarmUpPlacers bool
	// Evacuations leaves the operators' word on zones unheard.
	Evacuations bool
	// Snapshot keeps none in the store.
	Snapshot bool
	// Lapsed leaves servers alone whose entries vanished in an outage of the store.
	Lapsed bool
	// Differences applies a listing without what vanished since the last one.
	Differences bool
}

// Bounds of the platform that the emulator judges by.
const (
	contactBound  = 4 * time.Second
	applyBound    = 3 * time.Second
	drainBound    = 3 * time.Second
	evacuateBound = 3 * time.Second
	graceBound    = 6 * time.Second
	flowLife      = 60 * time.Second
	// A server that warms up gets in any second at most the rate times the overshoot, plus the slack.
	warmUpOvershoot = 1.5
	warmUpSlack     = 5.0
	backSlack       = 250 * time.Millisecond
	reorderBound    = 2 * time.Second
	recoverBound    = 12 * time.Second
)

// Delays of the network, one way.
const (
	zoneDelay   = 200 * time.Microsecond
	crossDelay  = 1400 * time.Microsecond
	clientDelay = time.Millisecond
	lossShare   = 0.0005
)

// world is one run.
type world struct {
	virtual.Clock
	options Options
	zones   []string
	store   *store
	routers map[string]*router
	nodes   []*node
	servers map[netip.AddrPort]*server
	// clockBack is by how much the servers' time of day is set back.
	clockBack time.Duration
	// incarnations lists every start of a server.
	incarnations []*server
	clients      map[flow.Key]*clientFlow
	operator     operator
	truth        *observer
	nextServer   uint32
	nextCaller   uint32
	nextRequest  uint64
	// hellos counts those that balancers sent.
	hellos int
	// helloBytes is about what they had.
	helloBytes int
	// loss is the share of datagrams that are lost.
	loss float64
	// silences counts the times that all open connections fell silent.
	silences int
	// varied is set where a part of the answers of all servers is short and quick.
	varied bool
	// speeds are those of feed servers, in turn; none stands for servers that are all alike.
	speeds []float64
	// coldTime is how long servers warm up.
	coldTime time.Duration
	// sharesFrom is when the shares of a split route are judged from.
	sharesFrom time.Duration
	// busiestBack is the evenness while entries came back after an outage, 0 where none did.
	busiestBack float64
	// lostAnswers is the part of servers' first answers to opening packets that are lost.
	lostAnswers float64
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
		Clock:    virtual.New(options.Seed),
		options:  options,
		routers:  map[string]*router{},
		servers:  map[netip.AddrPort]*server{},
		clients:  map[flow.Key]*clientFlow{},
		loss:     lossShare,
		coldTime: usualColdTime, sharesFrom: weightsSettled,
	}
	w.truth = newObserver(w)
	w.store = newStore(w)
	for i := range options.Zones {
		zone := fmt.Sprintf("zone-%c", 'a'+i)
		w.zones = append(w.zones, zone)
		w.routers[zone] = &router{world: w, zone: zone}
	}
	return w
}

// build puts balancers and servers in place, and the first configuration.
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
	if w.able(zone) {
		n.capacity = peers.CapacityHigh
	}
	w.nodes = append(w.nodes, n)
	w.routers[zone].add(n)
	n.start()
	return n
}

// able tells whether the next machine of a zone is an able one.
func (w *world) able(zone string) bool {
	number := 0
	for _, n := range w.nodes {
		if n.zone == zone {
			number++
		}
	}
	return number < w.options.BalancersPerZone && number >= w.options.BalancersPerZone-w.options.AblePerZone
}

// nextSpeed returns the speed of the next server of a service.
func (w *world) nextSpeed(service string) float64 {
	if service != serviceFeed || len(w.speeds) == 0 {
		return 1
	}
	return w.speeds[int(w.nextServer)%len(w.speeds)]
}

// delay is one way between two zones; an empty one is a client's.
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

// send carries a datagram, or loses it now and then.
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

// trace tells what happens to the traced flow.
func (w *world) trace(c *clientFlow, format string, arguments ...any) {
	if w.options.Trace != nil && c.key.Caller == w.options.Traced {
		w.options.Trace(w.Now, fmt.Sprintf(format, arguments...))
	}
}

// idText is how a server's identifier is shown.
func idText(id settings.BackendID) string {
	return fmt.Sprintf("%08x", uint64(id))
}
