package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"gaugeyard/internal/standin/tagged"
)

// Options configures a run.
type Options struct {
	Seed     uint64
	Schedule []Event
	Length   time.Duration
	// Program is the path of gaugeyard-platform.
	Program string
	// Folder is the directory for settings files and logs.
	Folder string
	// Network is the second byte of all addresses, 127.Network.x.y.
	Network   byte
	Balancers int
	// Sabotage is a deliberate violation of a rule, empty for none; see Sabotages.
	Sabotage string
	// Untimed skips the rules that have a time bound.
	Untimed bool
	// Overlap makes balancers store snapshots of the back ends, and routes packets of open
	// flows to a stopping balancer until its process has exited.
	Overlap bool
	// Progress receives a line for each event.
	Progress io.Writer
}

// Sabotages that the soak itself implements, in addition to those of the stand-in.
const (
	// SabotageStale makes the store serve an old state to one balancer as the current one.
	SabotageStale = "stale-store"
	// SabotageNoRestart does not restart the balancers after KillAll.
	SabotageNoRestart = "no-start"
	// SabotageForget removes the newest routes from the operators' configuration while all
	// balancers are down.
	SabotageForget = "forgetful-store"
)

// Sabotages maps each deliberate violation to the rule that must detect it.
var Sabotages = map[string]tagged.Rule{
	string(tagged.WrongBody): tagged.Mixed, string(tagged.RunTwice): tagged.Unasked, string(tagged.WrongService): tagged.Route,
	string(tagged.WrongTag): tagged.Flow, string(tagged.ForgedReset): tagged.Flow, string(tagged.HiddenDrain): tagged.Drain,
	string(tagged.HiddenEvacuation): tagged.Evac,
	SabotageStale:                   tagged.Config, SabotageNoRestart: tagged.Recover, SabotageForget: tagged.Lost,
}

// runner is the state of one run.
type runner struct {
	options Options
	fleet   *fleet
	world   *tagged.World
	relays  []*tagged.Relay
	rng     *rand.Rand
	// tasks counts the faults in progress.
	tasks       sync.WaitGroup
	faultCounts map[Kind]int
	lateness    lateness
}

// Run runs a schedule and returns the result. Before it returns, it ends all processes that
// it started, also if ctx ends early.
func Run(ctx context.Context, options Options) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(options.Program, options.Folder, options.Network, options.Balancers, options.Overlap)
	if err != nil {
		return nil, err
	}
	if err := f.checkAddressesFree(); err != nil {
		return nil, err
	}
	r := &runner{options: options, fleet: f, rng: rand.New(rand.NewPCG(options.Seed, 1)), faultCounts: map[Kind]int{}}
	if err := r.build(ctx); err != nil {
		return nil, err
	}
	defer f.killProcesses()
	for _, m := range f.members {
		if err := f.start(m); err != nil {
			return nil, err
		}
	}
	if err := r.world.AwaitReady(ctx); err != nil {
		return nil, err
	}
	serving, stop := context.WithTimeout(ctx, options.Length)
	defer stop()
	start := r.world.Elapsed()
	r.tasks.Go(func() { r.runSchedule(serving, start) })
	go r.lateness.run(serving)
	r.world.Serve(serving)
	r.tasks.Wait()
	return r.result(start), nil
}

// checkAddressesFree returns an error if an address of the run is in use.
func (f *fleet) checkAddressesFree() error {
	for number := range f.members {
		for _, address := range []netip.AddrPort{
			netip.AddrPortFrom(f.balancerAddress(number), readyPort), netip.AddrPortFrom(f.balancerAddress(number), controlPort),
			netip.AddrPortFrom(f.relayAddress(number), controlPort), f.storeProxyAddress(number),
		} {
			listener, err := net.Listen("tcp4", address.String())
			if err != nil {
				return fmt.Errorf("loopback network 127.%d is in use: %w", f.network, err)
			}
			listener.Close()
		}
	}
	return nil
}

func (r *runner) build(ctx context.Context) error {
	config := tagged.WorldConfig{
		Store: netip.AddrPortFrom(r.fleet.loopbackAddress(3, 1), storePort), Balancers: r.fleet.balancers(), ReadyPath: "/readiness",
		Network: r.options.Network, WithoutTimeBounds: r.options.Untimed,
		// The world ignores the sabotages that the soak implements.
		Sabotage: tagged.Sabotage(r.options.Sabotage),
	}
	for number := range r.fleet.members {
		config.StoreEndpoints = append(config.StoreEndpoints, r.fleet.storeProxyAddress(number))
		relay, err := tagged.NewRelay(ctx, r.fleet.relayAddress(number), r.fleet.balancerAddress(number), controlPort, peerPort)
		if err != nil {
			return err
		}
		r.relays = append(r.relays, relay)
	}
	world, err := tagged.NewWorld(ctx, config, r.options.Progress)
	r.world = world
	return err
}

// runSchedule injects the events of the schedule at their times, relative to start.
func (r *runner) runSchedule(ctx context.Context, start time.Duration) {
	if r.options.Sabotage == SabotageStale {
		r.world.InjectStoreFault(0, tagged.StaleStore, r.options.Length)
		for _, relay := range r.relays {
			relay.SetPartitioned(true)
		}
	}
	for _, event := range r.options.Schedule {
		if !sleepUntil(ctx, r.world, start+event.At) {
			return
		}
		r.faultCounts[event.Kind]++
		r.inject(ctx, event)
	}
}

// sleepUntil waits until the world's clock reaches at. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, world *tagged.World, at time.Duration) bool {
	timer := time.NewTimer(at - world.Elapsed())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
