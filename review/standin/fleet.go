package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, alike on all machines.
const (
	dataPort    = 8172
	readyPort   = 8167
	controlPort = 8166
	peerPort    = 7720
	storePort   = 8169
	serverPort  = 8080
)

// zones and the numbers of balancers in them.
var zones = []string{"hall-a", "hall-b", "hall-c"}

// balancer is a machine of the system and its process.
type balancer struct {
	number int
	zone   string
	ip     netip.Addr
	// seeds replaces the seeds of the fleet if it is not nil.
	seeds   []string
	started int
	process *exec.Cmd
	done    chan struct{}
	log     string
}

func (b *balancer) data() netip.AddrPort { return netip.AddrPortFrom(b.ip, dataPort) }

// fleet is the balancers of the deployment.
type fleet struct {
	root, folder string
	network      byte
	bounds       map[string]any
	record       *record
	balancers    []*balancer
	mutex        sync.Mutex
}

func (f *fleet) address(third, fourth byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network, third, fourth})
}

// storeAddress is the address of the store for one balancer. All of them lead to the same store.
func (f *fleet) storeAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(f.address(0, byte(10+number)), storePort)
}

// serveStore serves the store at an address for each balancer, in a part of 127/8 that is free.
func (f *fleet) serveStore(s *store, count int) error {
	for f.network = 40; f.network < 200; f.network++ {
		var listeners []net.Listener
		for i := range count {
			listener, err := net.Listen("tcp4", f.storeAddress(i).String())
			if err != nil {
				break
			}
			listeners = append(listeners, listener)
		}
		if len(listeners) == count {
			for i, listener := range listeners {
				go func() { _ = http.Serve(listener, s.handler(i)) }()
			}
			return nil
		}
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}
	return errors.New("no free loopback addresses")
}

// fields returns what the platform fills into the template, named as in DEPLOY.md.
func (f *fleet) fields(b *balancer) map[string]any {
	seeds := b.seeds
	if seeds == nil {
		for _, other := range f.balancers[:min(3, len(f.balancers))] {
			seeds = append(seeds, fmt.Sprintf("%s:%d", other.ip, controlPort))
		}
	}
	return map[string]any{
		"nodeName":      fmt.Sprintf("front-%s-%d", b.zone, b.number),
		"zone":          b.zone,
		"bindAddresses": map[string]any{"datagramAddr": fmt.Sprintf("%s:%d", b.ip, dataPort), "ready": fmt.Sprintf("%s:%d", b.ip, readyPort), "control": fmt.Sprintf("%s:%d", b.ip, controlPort)},
		"internalPorts": []any{peerPort, peerPort + 15},
		"seeds":         seeds,
		"platform":      map[string]any{"address": f.storeAddress(b.number).String()},
		"limits":        map[string]any{"cores": 1, "linkMbps": 1000.0, "cpuShare": 0.4},
		"bootstrap":     b.started == 0,
		"heartbeatMs":   1100,
		"bounds":        f.bounds,
	}
}

var gap = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)

// fill fills the deploy template with the fields: values, and the list of seeds.
func fill(template string, fields map[string]any) string {
	seeds, _ := json.Marshal(fields["seeds"])
	text := regexp.MustCompile(`(?m)^seeds: .*$`).ReplaceAllString(template, "seeds: "+string(seeds))
	return gap.ReplaceAllStringFunc(text, func(match string) string {
		parts := gap.FindStringSubmatch(match)
		var value any = fields
		for _, name := range strings.Split(parts[1], ".") {
			switch table := value.(type) {
			case map[string]any:
				value = table[name]
			case []any:
				value = table[0]
			}
		}
		if value == nil {
			return ""
		}
		if text, isText := value.(string); isText && parts[2] == "" {
			return text
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	})
}

// start starts the process of a balancer with the command of deploy/system.toml.
func (f *fleet) start(b *balancer) error {
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", "balancer.yaml"))
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, fmt.Sprintf("balancer-%d.yaml", b.number))
	if err := os.WriteFile(path, []byte(fill(string(template), f.fields(b))), 0o600); err != nil {
		return err
	}
	b.log = filepath.Join(f.folder, fmt.Sprintf("balancer-%d.log", b.number))
	log, err := os.OpenFile(b.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(filepath.Join(f.root, "target", "gaugeyard-platform"))
	process.Dir, process.Stdout, process.Stderr = f.root, log, log
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GAUGEYARD_SETTINGS=" + path}
	if err := process.Start(); err != nil {
		return err
	}
	b.started++
	done := make(chan struct{})
	f.mutex.Lock()
	b.process, b.done = process, done
	f.mutex.Unlock()
	go func() {
		err := process.Wait()
		f.record.add("the process of balancer %d has ended: %v", b.number, err)
		close(done)
	}()
	return nil
}

func (f *fleet) signal(b *balancer, signal syscall.Signal) { _ = b.process.Process.Signal(signal) }

// kill kills the process of a balancer and waits for its end.
func (f *fleet) kill(b *balancer) {
	f.signal(b, syscall.SIGKILL)
	<-b.done
}

// stopAll ends all processes.
func (f *fleet) stopAll() {
	for _, b := range f.balancers {
		if b.process != nil {
			f.signal(b, syscall.SIGCONT)
			f.kill(b)
		}
	}
}

// awaitReady waits until the routers have taken in all balancers.
func (f *fleet) awaitReady(ctx context.Context, r *router) error {
	for begun := time.Now(); r.countIn() < len(f.balancers); sleep(ctx, 50*time.Millisecond) {
		if time.Since(begun) > 15*time.Second || ctx.Err() != nil {
			return fmt.Errorf("%d of %d balancers are ready", r.countIn(), len(f.balancers))
		}
	}
	return nil
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
