// Package datapath is the balancer process: sockets, workers, clients of the
// platform's services and the operators' HTTP port, around the core of package
// balancer.
package datapath

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"

	"gaugeyard/internal/discovery"
)

// Config is the configuration of a balancer process.
type Config struct {
	Zone string
	// Cell identifies the group of balancers that share flows with this one.
	Cell string
	// Data receives datagrams from the fabric, Peer those of other balancers.
	Data, Peer netip.AddrPort
	// Admin is the HTTP port for operators; it must be on loopback.
	Admin netip.AddrPort
	// Deliver is the fabric's address for answers to callers.
	Deliver netip.AddrPort
	// Store and Machines are the URLs of the platform's services.
	Store, Machines string
	// Peers are balancers to contact in addition to those in the machine list.
	Peers []netip.AddrPort
	// Workers is the number of workers on each socket.
	Workers int
	// LogFormat is "text" or "json".
	LogFormat string
	// Bootstrap states that no balancer of this fleet has run before.
	Bootstrap bool
}

// Option is a setting of the process, set by a flag or in the settings file.
type Option struct {
	// Allowed describes the allowed values.
	Name, Allowed string
	Required      bool
	set           func(*Config, string) error
}

// maxWorkers is the maximum number of workers on each socket.
const maxWorkers = 256

// Options lists the settings of the process.
var Options = []Option{
	{"zone", "a name of at most 64 characters", true, func(c *Config, text string) error {
		if text == "" || len(text) > 64 {
			return fmt.Errorf("empty or too long")
		}
		c.Zone = text
		return nil
	}},
	{"cell", "a name of at most 64 characters", false, func(c *Config, text string) error {
		if text == "" || len(text) > 64 {
			return fmt.Errorf("empty or too long")
		}
		c.Cell = text
		return nil
	}},
	{"data", "IP:port", true, func(c *Config, text string) error { return setAddress(&c.Data, text) }},
	{"peer", "IP:port", true, func(c *Config, text string) error { return setAddress(&c.Peer, text) }},
	{"admin", "IP:port on loopback", true, func(c *Config, text string) error {
		if err := setAddress(&c.Admin, text); err != nil {
			return err
		}
		if !c.Admin.Addr().IsLoopback() {
			return fmt.Errorf("not on loopback")
		}
		return nil
	}},
	{"deliver", "IP:port", true, func(c *Config, text string) error { return setAddress(&c.Deliver, text) }},
	{"store", "http URL", true, func(c *Config, text string) error { return setURL(&c.Store, text) }},
	{"machines", "http URL", true, func(c *Config, text string) error { return setURL(&c.Machines, text) }},
	{"peers", "IP:port, separated by commas", false, func(c *Config, text string) error {
		c.Peers = nil
		for part := range strings.SplitSeq(text, ",") {
			var address netip.AddrPort
			if err := setAddress(&address, strings.TrimSpace(part)); err != nil {
				return err
			}
			c.Peers = append(c.Peers, address)
		}
		return nil
	}},
	{"workers", "1 to " + strconv.Itoa(maxWorkers), false, func(c *Config, text string) error {
		workers, err := strconv.Atoi(text)
		if err != nil || workers < 1 || workers > maxWorkers {
			return fmt.Errorf("not a whole number in range")
		}
		c.Workers = workers
		return nil
	}},
	{"log-format", "text or json", false, func(c *Config, text string) error {
		if text != "text" && text != "json" {
			return fmt.Errorf("not one of the allowed values")
		}
		c.LogFormat = text
		return nil
	}},
	{"bootstrap", "true or false", false, func(c *Config, text string) error {
		value, err := strconv.ParseBool(text)
		c.Bootstrap = value
		return err
	}},
}

func setAddress(target *netip.AddrPort, text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return err
	}
	if address.Port() == 0 {
		return fmt.Errorf("port 0")
	}
	*target = address
	return nil
}

func setURL(target *string, text string) error {
	parsed, err := url.Parse(text)
	if err != nil {
		return err
	}
	if parsed.Scheme != "http" || parsed.Host == "" {
		return fmt.Errorf("not an http URL")
	}
	*target = text
	return nil
}

// defaultWorkers is the default number of workers on each socket.
const defaultWorkers = 4

// Flag is a flag set on the command line.
type Flag struct{ Name, Value string }

// LoadConfig reads the settings file, unless file is empty, and then the flags,
// which take precedence. It returns all errors, each with file and line or with
// its flag, the value and the allowed values.
func LoadConfig(file string, flags []Flag) (Config, []error) {
	config := Config{Workers: defaultWorkers, LogFormat: "text", Cell: discovery.DefaultCell}
	present := map[string]bool{}
	var errs []error
	if file != "" {
		errs = config.readFile(file, present)
	}
	for _, flag := range flags {
		present[flag.Name] = true
		if err := config.set(flag.Name, flag.Value); err != nil {
			errs = append(errs, fmt.Errorf("--%w", err))
		}
	}
	for _, option := range Options {
		if option.Required && !present[option.Name] {
			errs = append(errs, fmt.Errorf("--%s: missing; allowed: %s", option.Name, option.Allowed))
		}
	}
	return config, errs
}

// set sets the option with the name.
func (c *Config) set(name, value string) error {
	index := slices.IndexFunc(Options, func(o Option) bool { return o.Name == name })
	if index < 0 {
		return fmt.Errorf("%s: unknown setting", name)
	}
	if err := Options[index].set(c, value); err != nil {
		return fmt.Errorf("%s=%q: %w; allowed: %s", name, value, err, Options[index].Allowed)
	}
	return nil
}

// readFile sets the options in a YAML file and marks their names as present.
func (c *Config) readFile(file string, present map[string]bool) []error {
	content, err := os.ReadFile(file)
	if err != nil {
		return []error{err}
	}
	var document yaml.Node
	if err := yaml.Unmarshal(content, &document); err != nil {
		return []error{fmt.Errorf("%s: %w", file, err)}
	}
	if len(document.Content) == 0 {
		return nil
	}
	root := document.Content[0]
	if root.Kind != yaml.MappingNode {
		return []error{fmt.Errorf("%s:%d: expected a mapping of settings", file, root.Line)}
	}
	var errs []error
	for i := 0; i+1 < len(root.Content); i += 2 {
		name, value := root.Content[i], root.Content[i+1]
		if err := c.set(name.Value, value.Value); err != nil {
			errs = append(errs, fmt.Errorf("%s:%d: %w", file, name.Line, err))
		}
		present[name.Value] = true
	}
	return errs
}
