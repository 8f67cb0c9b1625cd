package edge

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"gopkg.in/yaml.v3"

	"gaugeyard/internal/settings"
)

// Config is what a process is started with: a YAML file. Unknown fields are ignored.
type Config struct {
	// Node names the process in logs.
	Node string `yaml:"node"`
	// Zone is where the machine is.
	Zone string `yaml:"zone"`
	// Data receives datagrams; Ready serves readiness and metrics.
	Data  netip.AddrPort `yaml:"data"`
	Ready netip.AddrPort `yaml:"ready"`
	// Control serves other balancers.
	Control netip.AddrPort `yaml:"control"`
	// PeerPort is the port for datagrams between balancers, the same on all machines.
	PeerPort uint16 `yaml:"peer_port"`
	// Seeds are control addresses of other balancers, perhaps stale.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `yaml:"store"`
	// Workers read the data socket.
	Workers int `yaml:"workers"`
	// ReadyPath is where readiness is asked for.
	ReadyPath string `yaml:"ready_path"`
	Bounds    Bounds `yaml:"bounds"`
	// Defaults are settings at the root of the tree, below what operators set.
	Defaults map[settings.Key]string `yaml:"defaults"`
	// FirstStart is set when no process of this system ran before.
	FirstStart bool `yaml:"first_start"`
}

// Bounds are the platform's promises to its users that the process must keep.
type Bounds struct {
	// Contact is how long a path must have stood for its ends to be in touch.
	Contact time.Duration `yaml:"contact"`
	// Apply is the time within which an accepted change is in force.
	Apply time.Duration `yaml:"apply"`
	// Drain is the time after which a leaving back end gets no new flow.
	Drain time.Duration `yaml:"drain"`
	// Grace is the time between the request to stop and the end by force.
	Grace time.Duration `yaml:"grace"`
	// FlowLife is how long a flow may live.
	FlowLife time.Duration `yaml:"flow_life"`
}

// defaultBounds stand where the file gives none.
var defaultBounds = Bounds{
	Contact:  4 * time.Second,
	Apply:    3 * time.Second,
	Drain:    3 * time.Second,
	Grace:    6 * time.Second,
	FlowLife: time.Minute,
}

const (
	// maxProcessWorkers bounds the workers of the data socket.
	maxProcessWorkers = 64
	// maxBound is the largest bound that is plausible.
	maxBound = 24 * time.Hour
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
	config := Config{Workers: 1, ReadyPath: "/ready", Bounds: defaultBounds}
	if err := yaml.Unmarshal(document, &config); err != nil {
		return Config{}, []error{fmt.Errorf("settings file: %w", err)}
	}
	return config, config.faults()
}

func (c *Config) faults() []error {
	var faults []error
	fault := func(field, format string, arguments ...any) {
		faults = append(faults, fmt.Errorf("settings file: %s: %s", field, fmt.Sprintf(format, arguments...)))
	}
	if c.Zone == "" {
		fault("zone", "is missing")
	}
	for _, address := range []struct {
		field string
		value netip.AddrPort
	}{{"data", c.Data}, {"ready", c.Ready}, {"store", c.Store}, {"control", c.Control}} {
		if !address.value.IsValid() {
			fault(address.field, "wants IP:port")
		}
	}
	if c.PeerPort == 0 {
		fault("peer_port", "wants a port")
	}
	if c.Workers < 1 || c.Workers > maxProcessWorkers {
		fault("workers", "%d is not within 1 to %d", c.Workers, maxProcessWorkers)
	}
	if c.ReadyPath == "" || c.ReadyPath[0] != '/' {
		fault("ready_path", "%q does not begin with /", c.ReadyPath)
	}
	for _, bound := range []struct {
		field string
		value time.Duration
	}{
		{"contact", c.Bounds.Contact}, {"apply", c.Bounds.Apply}, {"drain", c.Bounds.Drain},
		{"grace", c.Bounds.Grace}, {"flow_life", c.Bounds.FlowLife},
	} {
		if bound.value <= 0 || bound.value > maxBound {
			fault("bounds."+bound.field, "%v is not within 1ns to %v", bound.value, maxBound)
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
