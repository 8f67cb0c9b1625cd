package soak

import (
	"context"
	"syscall"
	"time"

	"gaugeyard/internal/standin/tagged"
)

// inject injects the fault of an event.
func (r *runner) inject(ctx context.Context, event Event) {
	storeFault, isStoreFault := storeFaults[event.Kind]
	if r.options.Sabotage == SabotageStale && event.Balancer == 0 && (isStoreFault || event.Kind == Cut) {
		// The store must stay stale to this balancer.
		return
	}
	if isStoreFault {
		r.world.InjectStoreFault(event.Balancer, storeFault, event.For)
		return
	}
	if fault, isLinkFault := linkFaults[event.Kind]; isLinkFault {
		r.world.InjectLinkFault(event.Balancer, fault, event.For)
		if event.Kind == Cut {
			r.world.InjectStoreFault(event.Balancer, tagged.SilentStore, event.For)
		}
		return
	}
	if r.injectSeries(ctx, event) {
		return
	}
	switch event.Kind {
	case Stop, Kill, KillAll, Pause, Reload:
		r.tasks.Go(func() { r.injectProcessFault(ctx, event) })
	case PeersCut, PeersDelayed, PeersReset:
		r.injectPeerFault(event)
	case ConnectionsSilent:
		r.silenceConnections()
	case StoreDown:
		r.world.SilenceStore(event.For)
	case EntriesExpired:
		r.world.ExpireEntries(r.rng, event.For)
	case StoreCompacted:
		r.world.CompactStore()
	case ServerReplaced, ServerQuiet:
		r.world.ReplaceServer(r.rng, event.Kind == ServerQuiet)
	case ServerCrashed:
		r.world.CrashServer(r.rng)
	case ServerRestarted:
		r.world.RestartServer(r.rng)
	case EntriesForeign:
		r.world.WriteForeignEntries()
	case ZoneEvacuated:
		r.world.EvacuateZone(r.rng, evacuationDuration)
	case RouteAdded:
		r.world.AddRoutes(1)
	case RouteDropped:
		r.world.DropRoute()
	case RoutesMany:
		r.world.AddRoutes(manyRoutes)
	case RoutesStorm:
		r.tasks.Go(func() { r.editStorm(ctx) })
	}
}

const (
	// manyRoutes is the number of routes that RoutesMany adds.
	manyRoutes = 300
	// RoutesStorm consists of stormEdits edits, stormGap apart.
	stormEdits = 10
	stormGap   = 200 * time.Millisecond
	// evacuationDuration extends into the quiet period after the phase, in which all balancers
	// must have applied the evacuation.
	evacuationDuration = 14 * time.Second
	// peersDelay is the delay of PeersDelayed.
	peersDelay = 300 * time.Millisecond
)

// editStorm alternately adds and drops a route.
func (r *runner) editStorm(ctx context.Context) {
	for i := range stormEdits {
		if i%2 == 0 {
			r.world.AddRoutes(1)
		} else {
			r.world.DropRoute()
		}
		if !sleepUntil(ctx, r.world, r.world.Elapsed()+stormGap) {
			return
		}
	}
}

// silenceConnections makes the open connections of all balancers unresponsive.
func (r *runner) silenceConnections() {
	if r.options.Sabotage == SabotageStale {
		// The balancer must keep receiving the stale state.
		return
	}
	r.world.SilenceConnections()
	for _, relay := range r.relays {
		relay.Silence()
	}
}

func (r *runner) injectPeerFault(event Event) {
	if r.options.Sabotage == SabotageStale {
		// The balancer must not learn the current state from its peers.
		return
	}
	relay := r.relays[event.Balancer]
	r.world.RecordDisturbance(event.Balancer, event.For, false)
	switch event.Kind {
	case PeersCut:
		relay.SetPartitioned(true)
		time.AfterFunc(event.For, func() { relay.SetPartitioned(false) })
	case PeersDelayed:
		relay.SetDelay(peersDelay)
		time.AfterFunc(event.For, func() { relay.SetDelay(0) })
	case PeersReset:
		relay.Reset()
	}
}

// injectProcessFault injects a fault into balancer processes and restarts those that ended.
// It returns once the fault is over.
func (r *runner) injectProcessFault(ctx context.Context, event Event) {
	m := r.fleet.members[event.Balancer]
	switch event.Kind {
	case Reload:
		m.reload()
	case Pause:
		r.world.RecordDisturbance(m.number, event.For, false)
		m.signal(syscall.SIGSTOP)
		sleepUntil(ctx, r.world, r.world.Elapsed()+event.For)
		m.signal(syscall.SIGCONT)
		r.world.RecordDisturbance(m.number, 0, false)
	case Stop:
		r.world.RecordDisturbance(m.number, event.For, false)
		r.world.SetLingering(m.number, r.options.Overlap)
		m.signal(syscall.SIGCONT)
		r.waitStopped(m, m.signal(syscall.SIGTERM))
		r.restart(ctx, event, m)
	case Kill:
		r.kill(m)
		r.restart(ctx, event, m)
	case KillAll:
		r.killAll(ctx, event)
	}
}

func (m *member) recordFailure(failure string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.failures = append(m.failures, failure)
}

func (r *runner) kill(m *member) {
	r.world.RecordDisturbance(m.number, 0, false)
	m.waitExit(m.signal(syscall.SIGKILL), stopTimeout)
}

func (r *runner) killAll(ctx context.Context, event Event) {
	if r.options.Sabotage == SabotageForget {
		r.world.AddRoutes(1)
	}
	for _, m := range r.fleet.members {
		r.kill(m)
	}
	if r.options.Sabotage == SabotageForget {
		r.world.LoseRoute()
	}
	if r.options.Sabotage == SabotageNoRestart {
		r.world.RecordAllKilled()
		return
	}
	for _, m := range r.fleet.members {
		r.restart(ctx, event, m)
		event.For = 0
	}
	r.world.RecordAllKilled()
}

// restart starts the member after the event's duration, unless ctx ends first.
func (r *runner) restart(ctx context.Context, event Event, m *member) {
	if event.For > 0 && !sleepUntil(ctx, r.world, r.world.Elapsed()+event.For) {
		return
	}
	r.world.RecordDisturbance(m.number, 0, true)
	if err := r.fleet.start(m); err != nil {
		m.recordFailure(err.Error())
	}
}
