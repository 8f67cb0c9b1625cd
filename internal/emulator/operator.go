package emulator

import (
	"net/netip"
	"strconv"
	"time"

	"gaugeyard/internal/settings"
)

// Services that servers announce.
const (
	serviceFeed   = "feed"
	serviceUpload = "ingest"
	// servicePart is the smaller part of a split route, and serves nothing else.
	servicePart = "canary"
)

// Sizes of each zone's load and servers.
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
	// routeProbe comes and goes; it shows which configuration is in force.
	routeProbe = route{"probe", netip.MustParseAddrPort("198.18.0.9:443")}
)

// group is one part of a route.
type group struct {
	service string
	share   float64
}

// operator writes configurations.
type operator struct {
	world   *world
	version uint64
	// probe is the service of the probe route, empty for no such route.
	probe string
	// lookups are the groups of the lookup route.
	lookups []group
	// idle is how many routes without traffic there are.
	idle int
	// warmUpRate limits the new flows of servers that warm up; 0 is no limit.
	warmUpRate float64
}

func newOperator(w *world) operator {
	return operator{world: w, lookups: []group{{serviceFeed, 1}}, idle: 5}
}

// publish writes the configuration to the store.
func (o *operator) publish() {
	o.version += 1 + uint64(o.world.Random.IntN(3))
	tree := settings.Tree{"": settings.Values{}}
	o.add(tree, routeFeed, group{serviceFeed, 1})
	o.add(tree, routeLookup, o.lookups...)
	o.add(tree, routeUpload, group{serviceUpload, 1})
	services := map[netip.AddrPort][]string{
		routeFeed.address:   {serviceFeed},
		routeUpload.address: {serviceUpload},
	}
	for _, part := range o.lookups {
		services[routeLookup.address] = append(services[routeLookup.address], part.service)
	}
	if o.probe != "" {
		o.add(tree, routeProbe, group{o.probe, 1})
		services[routeProbe.address] = []string{o.probe}
	}
	for i := range o.idle {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(1 + i/200), byte(10 + i%200)}), 80)
		o.add(tree, route{"idle-" + strconv.Itoa(i), address}, group{serviceFeed, 1})
	}
	revision := o.world.store.publish(o.version, tree)
	o.world.truth.published(o.version, revision, services)
}

func (o *operator) add(tree settings.Tree, r route, groups ...group) {
	path := settings.Path(r.name)
	mustSet(tree, path, settings.KeyAddress, r.address.String())
	if r == routeFeed {
		mustSet(tree, path, settings.KeyRepeatable, "true")
	}
	tree[path.Child("any")] = settings.Values{}
	for i, part := range groups {
		place := path.Child("any").Child(strconv.Itoa(i))
		mustSet(tree, place, settings.KeyDiscover, part.service)
		if o.warmUpRate > 0 {
			mustSet(tree, place, settings.KeyWarmUpRate, strconv.FormatFloat(o.warmUpRate, 'g', -1, 64))
		}
		mustSet(tree, place, settings.KeyShare, strconv.FormatFloat(part.share, 'g', -1, 64))
	}
}

// mustSet sets what the model itself makes up, which is always valid.
func mustSet(tree settings.Tree, path settings.Path, key settings.Key, value string) {
	if err := tree.Set(path, key, value); err != nil {
		panic(err)
	}
}

// probeClients ask for the probe route now and then, whether it is there or not.
func (w *world) probeClients() {
	w.Every(100*time.Millisecond, func() {
		if w.Now > w.options.Scenario.length()-quietEnd {
			return
		}
		zone := w.zones[w.Random.IntN(len(w.zones))]
		c := w.newFlow(zone, routeProbe.address)
		c.opening = true
		c.request = nil
		c.sendOpen(0)
		w.After(openLimit, func() {
			if !c.closed {
				c.finish()
			}
		})
	})
}
