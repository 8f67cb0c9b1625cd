package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// balancer is one machine with a balancer process.
type balancer struct {
	world   *world
	name    string
	zone    string
	ip      netip.Addr
	command *exec.Cmd
	ended   chan struct{}
	// started is when the current process was started.
	started time.Time
	first   bool
	// seeds replaces the seeds of the settings if it is set.
	seeds []any
}

func (b *balancer) data() netip.AddrPort    { return netip.AddrPortFrom(b.ip, dataPort) }
func (b *balancer) ready() netip.AddrPort   { return netip.AddrPortFrom(b.ip, readyPort) }
func (b *balancer) control() netip.AddrPort { return netip.AddrPortFrom(b.ip, controlPort) }

// store returns the address at which the balancer reaches the store.
func (b *balancer) store() netip.AddrPort {
	return netip.AddrPortFrom(b.world.ip(230, b.ip.As4()[3]), storePort)
}

// settingsPath is where the platform places the filled template.
func (b *balancer) settingsPath() string { return filepath.Join(b.world.folder, b.name+".yaml") }

// start starts the process with the command of the deploy file.
func (b *balancer) start() {
	b.writeSettings()
	b.first = false
	log, err := os.OpenFile(filepath.Join(b.world.folder, b.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fatal(err)
	}
	b.command = exec.Command("target/gaugeyard-platform")
	b.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GAUGEYARD_SETTINGS=" + b.settingsPath()}
	b.command.Stdout, b.command.Stderr = log, log
	if err := b.command.Start(); err != nil {
		fatal(err)
	}
	b.started, b.ended = time.Now(), make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		log.Close()
		close(ended)
	}(b.command, b.ended)
	b.world.recordf("%s starts", b.name)
}

func (b *balancer) signal(signal syscall.Signal) {
	if err := b.command.Process.Signal(signal); err != nil {
		b.world.recordf("%s: signal %v: %v", b.name, signal, err)
	}
}

// restart stops the process as planned, starts it again after a short delay and waits until it is in.
func (b *balancer) restart(whileOut func()) {
	b.world.recordf("%s gets SIGTERM", b.name)
	b.signal(syscall.SIGTERM)
	b.world.await(b.name+" is out", func() bool { return !b.world.router.isIn(b) })
	whileOut()
	<-b.ended
	b.world.recordf("%s has ended with status %d", b.name, b.command.ProcessState.ExitCode())
	time.Sleep(300 * time.Millisecond)
	b.start()
	b.world.await(b.name+" is in again", func() bool { return b.world.router.isIn(b) })
}

// fields are the settings of a machine, as the platform's pages name them.
func (b *balancer) fields() map[string]any {
	var seeds []any
	for _, other := range b.world.balancers[:min(3, len(b.world.balancers))] {
		seeds = append(seeds, other.control().String())
	}
	if b.seeds != nil {
		seeds = b.seeds
	}
	return map[string]any{
		"nodeName": b.name, "zone": b.zone, "bootstrap": b.first, "seeds": seeds, "heartbeatMs": 1100,
		"bindAddresses": map[string]any{"datagramAddr": b.data().String(), "ready": b.ready().String(), "control": b.control().String()},
		"internalPorts": []any{peerPort, peerPort + 15},
		"limits":        map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "linkMbps": 1000.0},
		"platform":      map[string]any{"address": b.store().String()},
		"bounds":        b.world.bounds,
	}
}

// writeSettings fills the template of the repository.
func (b *balancer) writeSettings() {
	template, err := os.ReadFile("deploy/balancer.yaml")
	if err != nil {
		fatal(err)
	}
	if err := os.WriteFile(b.settingsPath(), []byte(fill(string(template), b.fields())), 0o644); err != nil {
		fatal(err)
	}
}

var (
	section = regexp.MustCompile(`(?s)\{\{#(\w+)\}\}(.*?)\{\{/\w+\}\}`)
	gap     = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// fill fills the gaps of a template that the project's template has: values, values as JSON, and sections over
// lists of texts.
func fill(template string, fields map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		list, _ := fields[parts[1]].([]any)
		filled := ""
		for i, entry := range list {
			encoded, _ := json.Marshal(entry)
			comma := ","
			if i == len(list)-1 {
				comma = ""
			}
			filled += strings.NewReplacer("{{.|json}}", string(encoded), "{{,}}", comma).Replace(parts[2])
		}
		return filled
	})
	return gap.ReplaceAllStringFunc(template, func(text string) string {
		parts := gap.FindStringSubmatch(text)
		value := lookUp(fields, parts[1])
		switch {
		case value == nil:
			return ""
		case parts[2] != "":
			encoded, _ := json.Marshal(value)
			return string(encoded)
		}
		return fmt.Sprint(value)
	})
}

func lookUp(value any, path string) any {
	for name := range strings.SplitSeq(path, ".") {
		switch known := value.(type) {
		case map[string]any:
			value = known[name]
		case []any:
			value = known[0]
		default:
			return nil
		}
	}
	return value
}
