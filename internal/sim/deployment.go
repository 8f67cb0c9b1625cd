package sim

import (
	"fmt"
	"net/netip"
	"time"

	"gaugeyard/examples"
	"gaugeyard/internal/settings"
)

// Deployment describes a simulated fleet and its traffic, at the size of a user's installation.
type Deployment struct {
	Name        string
	Tree        settings.Tree
	Zones       []string
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	// Feed, Lookup and Upload are the names of the services.
	Feed, Lookup, Upload string
	// MainServers is the number of back ends that serve feeds and lookups.
	MainServers int
	// BalancersPerZone is the number of balancers in each zone.
	BalancersPerZone int
	// Feeds is the number of open feeds; LookupRate and UploadRate are new flows per second.
	Feeds                  int
	LookupRate, UploadRate float64
}

// DeploymentNames lists the names that NewDeployment accepts.
var DeploymentNames = []string{"litera", "forecast"}

// NewDeployment returns the named deployment with the settings of its example file.
func NewDeployment(name string) (Deployment, error) {
	deployment := Deployment{
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
		deployment.Zones = []string{"hala-pipera", "hala-militari", "hala-vitan"}
		deployment.ZoneDelay = 500 * time.Microsecond
		deployment.Feed, deployment.Lookup, deployment.Upload = "glyphs", "licences", "subsets"
	case "forecast":
		deployment.Zones = []string{"kushiro-a", "obihiro-b", "nemuro-c"}
		deployment.ZoneDelay = 1500 * time.Microsecond
		deployment.Feed, deployment.Lookup, deployment.Upload = "feeds", "lookups", "observations"
	default:
		return Deployment{}, fmt.Errorf("unknown deployment %q: want one of %v", name, DeploymentNames)
	}
	document, err := examples.Files.ReadFile(name + ".yaml")
	if err != nil {
		return Deployment{}, err
	}
	tree, errs := settings.Parse(document)
	if len(errs) > 0 {
		return Deployment{}, errs[0]
	}
	deployment.Tree = tree
	return deployment, nil
}

// build creates the balancers and back ends of the deployment.
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

// backendPath returns the path of a back end in the settings tree.
func (w *world) backendPath(b *backend) settings.Path {
	return w.snapshot.Backends[settings.BackendIDOf(b.address)].Path
}
