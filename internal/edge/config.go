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

// Config is the configuration of a process, read from a YAML file. Unknown fields are ignored.
type Config struct {
	// Node is the name of the process in logs.
	Node string `yaml:"node"`
	// Zone is the availability zone of the machine.
	Zone string `yaml:"zone"`
	// Data is the address that receives datagrams. Ready is the address that serves readiness and metrics.
	Data  netip.AddrPort `yaml:"-"`
	Ready netip.AddrPort `yaml:"-"`
	// Control is the address that serves other balancers.
	Control netip.AddrPort `yaml:"-"`
	// Advertise is the address at which other balancers reach Control and the peer port. The zero value
	// means Control; they differ behind network address translation.
	Advertise netip.AddrPort `yaml:"-"`
	// PeerPort is the port for datagrams between balancers, the same on all machines.
	PeerPort uint16 `yaml:"peer_port"`
	// Seeds are control addresses of other balancers. They may be stale.
	Seeds []netip.AddrPort `yaml:"-"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `yaml:"-"`
	// Workers is the number of goroutines that read the data socket.
	Workers int `yaml:"workers"`
	// LinkMbps is the bandwidth of the machine's link in Mbit/s, 0 if unknown.
	LinkMbps float64 `yaml:"link_mbps"`
	// CPUShare is the fraction of each core that is available to the process, 0 if unknown.
	CPUShare float64 `yaml:"cpu_share"`
	// ReadyPath is the URL path of the readiness check.
	ReadyPath string `yaml:"ready_path"`
	Bounds    Bounds `yaml:"bounds"`
	// Defaults are settings at the root of the tree. Operators' settings override them.
	Defaults map[settings.Key]string `yaml:"defaults"`
	// FirstStart is set when no process of this system has run before.
	FirstStart bool `yaml:"first_start"`
	// Snapshot enables the snapshot of the back ends in the store.
	Snapshot bool `yaml:"snapshot"`
}

// configFile is the YAML document. Addresses are strings in it, so that each error names its field.
type configFile struct {
	Config    `yaml:",inline"`
	Data      string   `yaml:"data"`
	Ready     string   `yaml:"ready"`
	Control   string   `yaml:"control"`
	Advertise string   `yaml:"advertise"`
	Store     string   `yaml:"store"`
	Seeds     []string `yaml:"seeds"`
}

// Bounds are the time and rate limits that the platform guarantees to its users.
type Bounds struct {
	// Contact is how long a network path must have been up before its ends are expected to be in contact.
	Contact time.Duration `yaml:"contact"`
	// Apply is the time within which an accepted change takes effect.
	Apply time.Duration `yaml:"apply"`
	// Drain is the time after which a draining back end gets no new flow.
	Drain time.Duration `yaml:"drain"`
	// Announce is the interval at which back ends write their entries.
	Announce time.Duration `yaml:"announce"`
	// Grace is the time between the request to stop and the forced termination.
	Grace time.Duration `yaml:"grace"`
	// FlowLife is the longest lifetime of a flow.
	FlowLife time.Duration `yaml:"flow_life"`
	// WarmUpOvershoot and WarmUpSlack bound the new flows per second of a back end that is warming up:
	// the service's rate times WarmUpOvershoot (at least 1), plus WarmUpSlack.
	WarmUpOvershoot float64 `yaml:"warm_up_overshoot"`
	WarmUpSlack     float64 `yaml:"warm_up_slack"`
}

// defaultBounds apply where the file sets none.
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
	// maxBound is the largest plausible duration in Bounds.
	maxBound = 24 * time.Hour
	// maxWarmUp is the largest plausible value of WarmUpOvershoot and WarmUpSlack.
	maxWarmUp = 1e6
)

// LoadConfig reads and validates the file. It returns all errors, each with the name of its field.
func LoadConfig(path string) (Config, []error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return Config{}, []error{fmt.Errorf("settings file: %w", err)}
	}
	return ParseConfig(document)
}

// ParseConfig parses and validates a document. It returns all errors, each with the name of its field.
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

// advertised returns the control address at which other balancers reach this one.
func (c *Config) advertised() netip.AddrPort {
	if c.Advertise.IsValid() {
		return c.Advertise
	}
	return c.Control
}

// capacity returns the capacity class of the machine for fleet tasks.
func (c *Config) capacity() peers.Capacity {
	return peers.CapacityOf(c.CPUShare*float64(c.Workers), c.LinkMbps)
}

// introduction returns the description of this balancer that others receive.
func (c *Config) introduction() peers.Introduction {
	return peers.Introduction{Control: c.advertised(), Zone: c.Zone, Capacity: c.capacity()}
}

// faults returns the errors in the values of a parsed configuration.
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
