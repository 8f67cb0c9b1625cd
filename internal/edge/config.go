package edge

import (
	"fmt"
	"math"
	"net/netip"
	"os"
	"time"

	"gopkg.in/yaml.v3"

	"gaugeyard/internal/peers"
	"gaugeyard/internal/settings"
)

// Config is what a process is started with: a YAML file. Unknown fields are ignored.
type Config struct {
	// Node names the process in logs.
	Node string `yaml:"node"`
	// Zone is where the machine is.
	Zone string `yaml:"zone"`
	// Data receives datagrams; Ready serves readiness and metrics.
	Data  netip.AddrPort `yaml:"-"`
	Ready netip.AddrPort `yaml:"-"`
	// Control serves other balancers.
	Control netip.AddrPort `yaml:"-"`
	// Advertise is where other balancers reach Control and the peer port; the zero value
	// is Control itself. They differ behind a translation of addresses.
	Advertise netip.AddrPort `yaml:"-"`
	// PeerPort is the port for datagrams between balancers, the same on all machines.
	PeerPort uint16 `yaml:"peer_port"`
	// Seeds are control addresses of other balancers, perhaps stale.
	Seeds []netip.AddrPort `yaml:"-"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `yaml:"-"`
	// Workers read the data socket.
	Workers int `yaml:"workers"`
	// LinkMbps is the bandwidth of the machine's link in Mbit/s, 0 for unknown.
	LinkMbps float64 `yaml:"link_mbps"`
	// CPUShare is the part of each core that the machine has for the process, 0 for unknown.
	CPUShare float64 `yaml:"cpu_share"`
	// ReadyPath is where readiness is asked for.
	ReadyPath string `yaml:"ready_path"`
	Bounds    Bounds `yaml:"bounds"`
	// Defaults are settings at the root of the tree, below what operators set.
	Defaults map[settings.Key]string `yaml:"defaults"`
	// FirstStart is set when no process of this system ran before.
	FirstStart bool `yaml:"first_start"`
	// Snapshot is set where a snapshot of the back ends is kept in the store.
	Snapshot bool `yaml:"snapshot"`
}

// file is the document; addresses are text there, so that each fault names its field.
type configFile struct {
	Config    `yaml:",inline"`
	Data      string   `yaml:"data"`
	Ready     string   `yaml:"ready"`
	Control   string   `yaml:"control"`
	Advertise string   `yaml:"advertise"`
	Store     string   `yaml:"store"`
	Seeds     []string `yaml:"seeds"`
}

// Bounds are the platform's promises to its users that the process must keep.
type Bounds struct {
	// Contact is how long a path must have stood for its ends to be in touch.
	Contact time.Duration `yaml:"contact"`
	// Apply is the time within which an accepted change is in force.
	Apply time.Duration `yaml:"apply"`
	// Drain is the time after which a leaving back end gets no new flow.
	Drain time.Duration `yaml:"drain"`
	// Announce is how often back ends write their entries.
	Announce time.Duration `yaml:"announce"`
	// Grace is the time between the request to stop and the end by force.
	Grace time.Duration `yaml:"grace"`
	// FlowLife is how long a flow may live.
	FlowLife time.Duration `yaml:"flow_life"`
	// WarmUpOvershoot and WarmUpSlack bound the new flows of a back end that warms up in any second:
	// the service's rate times the first (1 at the least), plus the second.
	WarmUpOvershoot float64 `yaml:"warm_up_overshoot"`
	WarmUpSlack     float64 `yaml:"warm_up_slack"`
}

// defaultBounds stand where the file gives none.
var defaultBounds = Bounds{
	Contact:  4 * time.Second,
	Apply:    3 * time.Second,
	Drain:    3 * time.Second,
	Announce: 2 * time.Second,
	Grace:    6 * time.Second,
	FlowLife: time.Minute,

	WarmUpOvershoot: 1,
}

const (
	// maxProcessWorkers bounds the workers of the data socket.
	maxProcessWorkers = 64
	// maxBound is the largest bound that is plausible.
	maxBound = 24 * time.Hour
	// maxWarmUp is the largest number in the bounds of back ends that warm up that is plausible.
	maxWarmUp = 1e6
)

// LoadConfig reads and checks the file. It returns every fault, each with its field.
func LoadConfig(path string) (Config, []error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return Config{}, []error{fmt.Errorf("settings file: %w", err)}
	}
	return ParseConfig(document)
}

// ParseConfig reads and checks a document.
func ParseConfig(document []byte) (Config, []error) {
	parsed := configFile{Config: Config{Workers: 1, ReadyPath: "/ready", Bounds: defaultBounds}}
	if err := yaml.Unmarshal(document, &parsed); err != nil {
		return Config{}, []error{fmt.Errorf("settings file: %w", err)}
	}
	config := parsed.Config
	var faults []error
	for _, address := range []struct {
		field, text string
		value       *netip.AddrPort
	}{
		{"data", parsed.Data, &config.Data}, {"ready", parsed.Ready, &config.Ready},
		{"control", parsed.Control, &config.Control}, {"store", parsed.Store, &config.Store},
		{"advertise", parsed.Advertise, &config.Advertise},
	} {
		if address.field == "advertise" && address.text == "" {
			continue
		}
		var err error
		if *address.value, err = netip.ParseAddrPort(address.text); err != nil {
			faults = append(faults, fmt.Errorf("settings file: %s: wants IP:port, has %q", address.field, address.text))
		}
	}
	for i, text := range parsed.Seeds {
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			faults = append(faults, fmt.Errorf("settings file: seeds[%d]: wants IP:port, has %q", i, text))
		}
		config.Seeds = append(config.Seeds, seed)
	}
	return config, append(faults, config.faults()...)
}

// advertised is where other balancers reach this one.
func (c *Config) advertised() netip.AddrPort {
	if c.Advertise.IsValid() {
		return c.Advertise
	}
	return c.Control
}

// capacity is the class of the machine for tasks of the fleet.
func (c *Config) capacity() peers.Capacity {
	return peers.CapacityOf(c.CPUShare*float64(c.Workers), c.LinkMbps)
}

// introduction is what other balancers are told of this one.
func (c *Config) introduction() peers.Introduction {
	return peers.Introduction{Control: c.advertised(), Zone: c.Zone, Capacity: c.capacity()}
}

// faults returns what is wrong beyond the form.
func (c *Config) faults() []error {
	var faults []error
	fault := func(field, format string, arguments ...any) {
		faults = append(faults, fmt.Errorf("settings file: %s: %s", field, fmt.Sprintf(format, arguments...)))
	}
	if c.Zone == "" {
		fault("zone", "is missing")
	}
	if c.PeerPort == 0 {
		fault("peer_port", "wants a port")
	}
	if c.Workers < 1 || c.Workers > maxProcessWorkers {
		fault("workers", "%d is not within 1 to %d", c.Workers, maxProcessWorkers)
	}
	if c.LinkMbps < 0 || math.IsNaN(c.LinkMbps) {
		fault("link_mbps", "%v is below 0", c.LinkMbps)
	}
	if !(c.CPUShare >= 0 && c.CPUShare <= 1) {
		fault("cpu_share", "%v is not within 0 to 1", c.CPUShare)
	}
	if c.ReadyPath == "" || c.ReadyPath[0] != '/' {
		fault("ready_path", "%q does not begin with /", c.ReadyPath)
	}
	for _, bound := range []struct {
		field string
		value time.Duration
	}{
		{"contact", c.Bounds.Contact}, {"apply", c.Bounds.Apply}, {"drain", c.Bounds.Drain},
		{"announce", c.Bounds.Announce}, {"grace", c.Bounds.Grace}, {"flow_life", c.Bounds.FlowLife},
	} {
		if bound.value <= 0 || bound.value > maxBound {
			fault("bounds."+bound.field, "%v is not within 1ns to %v", bound.value, maxBound)
		}
	}
	for _, bound := range []struct {
		field string
		value float64
	}{{"warm_up_overshoot", c.Bounds.WarmUpOvershoot}, {"warm_up_slack", c.Bounds.WarmUpSlack}} {
		if !(bound.value >= 0 && bound.value <= maxWarmUp) {
			fault("bounds."+bound.field, "%v is not within 0 to %v", bound.value, maxWarmUp)
		}
	}
	probe := settings.Tree{"": settings.Values{}}
	for key, value := range c.Defaults {
		if err := probe.Set("", key, value); err != nil {
			fault("defaults."+string(key), "%v", err)
		}
	}
	return faults
}
