package sim

import (
	"fmt"
	"net/netip"
	"time"

	"gaugeyard/examples"
	"gaugeyard/internal/settings"
)

// Deployment is one of the two users' fleets, at its real size.
type Deployment struct {
	Name        string
	Tree        settings.Tree
	Zones       []string
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	// Feed, Lookup and Upload name the services.
	Feed, Lookup, Upload string
	// MainServers is how many back ends serve feeds and lookups.
	MainServers int
	// BalancersPerZone is how many balancers stand in each zone.
	BalancersPerZone int
	// Feeds is how many feeds are open, and the rates are a second.
	Feeds                  int
	LookupRate, UploadRate float64
}

// DeploymentNames lists the deployments.
var DeploymentNames = []string{"litera", "forecast"}

// NewDeployment returns the deployment with the name.
func NewDeployment(name string) (Deployment, error) {
	common := Deployment{
		Name:             name,
		MainServers:      14,
		BalancersPerZone: 2,
		Feeds:            1400,
		LookupRate:       110,
		UploadRate:       6,
		ClientDelay:      time.Millisecond,
	}
	switch name {
	case "litera":
		common.Zones = []string{"hala-pipera", "hala-militari", "hala-vitan"}
		common.ZoneDelay = 500 * time.Microsecond
		common.Feed, common.Lookup, common.Upload = "glyphs", "licences", "subsets"
	case "forecast":
		common.Zones = []string{"kushiro-a", "obihiro-b", "nemuro-c"}
		common.ZoneDelay = 1500 * time.Microsecond
		common.Feed, common.Lookup, common.Upload = "feeds", "lookups", "observations"
	default:
		return Deployment{}, fmt.Errorf("deployment %q: allowed are %v", name, DeploymentNames)
	}
	document, err := examples.Files.ReadFile(name + ".yaml")
	if err != nil {
		return Deployment{}, err
	}
	tree, faults := settings.Parse(document)
	if len(faults) > 0 {
		return Deployment{}, faults[0]
	}
	common.Tree = tree
	return common, nil
}

// build puts balancers and back ends in place.
func (w *world) build() {
	deployment := w.options.Deployment
	for i, zone := range deployment.Zones {
		for j := range deployment.BalancersPerZone {
			port := uint16(7000 + i*deployment.BalancersPerZone + j)
			w.addNode(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port), zone)
		}
	}
	for _, name := range []string{deployment.Feed, deployment.Upload} {
		for _, configured := range w.service(name).Backends {
			b := &backend{world: w, address: configured.Address, zone: configured.Zone, slots: configured.Slots}
			for _, service := range w.snapshot.Services {
				if service.Backends[0].ID == w.service(name).Backends[0].ID {
					b.services = append(b.services, service.Address)
				}
			}
			b.start()
			w.backends = append(w.backends, b)
			w.byAddress[b.address] = b
		}
	}
}

func (w *world) service(name string) *settings.Service {
	for _, service := range w.snapshot.Services {
		if service.Name == name {
			return service
		}
	}
	return nil
}

// backendPath returns the place of a back end in the tree.
func (w *world) backendPath(b *backend) settings.Path {
	return w.snapshot.Backends[settings.BackendIDOf(b.address)].Path
}
