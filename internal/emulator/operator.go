package emulator

import (
	"net/netip"
	"strconv"
	"time"

	"gaugeyard/internal/settings"
)

// Services that servers register for.
const (
	serviceFeed   = "feed"
	serviceUpload = "ingest"
	// serviceCanary is the smaller group of a split route and serves no other route.
	serviceCanary = "canary"
)

// Numbers of servers and streams, and rates of requests per second, in each zone.
const (
	feedServers    = 5
	uploadServers  = 2
	streamsPerZone = 30
	lookupRate     = 15.0
	uploadRate     = 4.0
)

// route is an address that clients use.
type route struct {
	name    string
	address netip.AddrPort
}

var (
	routeFeed   = route{"feed", netip.MustParseAddrPort("198.18.0.1:443")}
	routeLookup = route{"lookup", netip.MustParseAddrPort("198.18.0.1:8443")}
	routeUpload = route{"upload", netip.MustParseAddrPort("198.18.0.2:443")}
	// routeProbe is added and removed; it shows which configuration is in force.
	routeProbe = route{"probe", netip.MustParseAddrPort("198.18.0.9:443")}
)

// weightedService is one group of a route.
type weightedService struct {
	service string
	share   float64
}

// operator publishes configurations.
type operator struct {
	world   *world
	version uint64
	// probeService is the service of the probe route; empty means that there is no such route.
	probeService string
	// lookupServices are the groups of the lookup route.
	lookupServices []weightedService
	// idleRoutes is the number of routes without traffic.
	idleRoutes int
	// warmUpRate limits the new flows per second of servers that are warming up; 0 means no limit.
	warmUpRate float64
}

func newOperator(w *world) operator {
	return operator{world: w, lookupServices: []weightedService{{serviceFeed, 1}}, idleRoutes: 5}
}

func (o *operator) publish() {
	o.version += 1 + uint64(o.world.Random.IntN(3))
	tree := settings.Tree{"": settings.Values{}}
	o.add(tree, routeFeed, weightedService{serviceFeed, 1})
	o.add(tree, routeLookup, o.lookupServices...)
	o.add(tree, routeUpload, weightedService{serviceUpload, 1})
	services := map[netip.AddrPort][]string{
		routeFeed.address:   {serviceFeed},
		routeUpload.address: {serviceUpload},
	}
	for _, weighted := range o.lookupServices {
		services[routeLookup.address] = append(services[routeLookup.address], weighted.service)
	}
	if o.probeService != "" {
		o.add(tree, routeProbe, weightedService{o.probeService, 1})
		services[routeProbe.address] = []string{o.probeService}
	}
	for i := range o.idleRoutes {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(1 + i/200), byte(10 + i%200)}), 80)
		o.add(tree, route{"idle-" + strconv.Itoa(i), address}, weightedService{serviceFeed, 1})
	}
	revision := o.world.store.publish(o.version, tree)
	o.world.observer.recordPublished(o.version, revision, services)
}

func (o *operator) add(tree settings.Tree, r route, services ...weightedService) {
	path := settings.Path(r.name)
	mustSet(tree, path, settings.KeyAddress, r.address.String())
	if r == routeFeed {
		mustSet(tree, path, settings.KeyRepeatable, "true")
	}
	tree[path.Child("any")] = settings.Values{}
	for i, weighted := range services {
		servicePath := path.Child("any").Child(strconv.Itoa(i))
		mustSet(tree, servicePath, settings.KeyDiscover, weighted.service)
		if o.warmUpRate > 0 {
			mustSet(tree, servicePath, settings.KeyWarmUpRate, strconv.FormatFloat(o.warmUpRate, 'g', -1, 64))
		}
		mustSet(tree, servicePath, settings.KeyShare, strconv.FormatFloat(weighted.share, 'g', -1, 64))
	}
}

// mustSet sets a value and panics if it is invalid: the model sets only valid values.
func mustSet(tree settings.Tree, path settings.Path, key settings.Key, value string) {
	if err := tree.Set(path, key, value); err != nil {
		panic(err)
	}
}

// startProbeClient regularly sends opening packets to the probe route, whether the route exists or
// not.
func (w *world) startProbeClient() {
	w.Every(100*time.Millisecond, func() {
		if w.Now > w.options.Scenario.duration()-quietPeriod {
			return
		}
		zone := w.zones[w.Random.IntN(len(w.zones))]
		c := w.newFlow(zone, routeProbe.address)
		c.opening = true
		c.request = nil
		c.sendOpen(0)
		w.After(openTimeout, func() {
			if !c.closed {
				c.close()
			}
		})
	})
}
