package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"gaugeyard/internal/standin/tagged"
)

const (
	// maxSignalPause bounds the random pause between two signals of a series.
	maxSignalPause = 700 * time.Millisecond
	// stopsAfterStart is the number of stops of StopAfterStart.
	stopsAfterStart = 3
	// rollGap is the pause between two stops of a rolling restart.
	rollGap = 400 * time.Millisecond
	// ReloadSeries sends reloadCount signals within reloadSeriesDuration.
	reloadCount          = 10
	reloadSeriesDuration = time.Second
	// flapGap is the pause between two state changes of a flapping server.
	flapGap = 300 * time.Millisecond
)

// injectSeries injects the fault of an event whose kind is a series, and reports whether it
// is one.
func (r *runner) injectSeries(ctx context.Context, event Event) (injected bool) {
	m := r.fleet.members[event.Balancer]
	switch event.Kind {
	case StopTwice, StopKilled, StopPaused:
		r.tasks.Go(func() { r.interruptedStop(ctx, event, m) })
	case StopAfterStart:
		r.tasks.Go(func() { r.stopAfterStart(ctx, event, m) })
	case RollingRestart:
		r.tasks.Go(func() { r.rollingRestart(ctx, event) })
	case ReloadSeries:
		r.world.AddRoutes(1)
		r.tasks.Go(func() { r.reloadSeries(ctx, m) })
	case PeersDisordered:
		relay := r.relays[event.Balancer]
		relay.SetReordering(true)
		time.AfterFunc(event.For, func() { relay.SetReordering(false) })
	case ServerFlapped:
		r.world.FlapServer(r.rng, flapGap)
	case InputHostile:
		r.tasks.Go(func() { tagged.SendHostile(ctx, r.hostileTargets(event.Balancer)) })
	default:
		return false
	}
	return true
}

// hostileTargets returns the ports of a balancer that receive malformed input.
func (r *runner) hostileTargets(number int) tagged.HostileTargets {
	data, ready, control, peer := r.fleet.ports(number)
	return tagged.HostileTargets{Data: data, Peer: peer, HTTP: []string{ready.String(), control.String()}}
}

func randomPause() time.Duration { return rand.N(maxSignalPause) }

// interruptedStop stops a process and signals it again before it has exited.
func (r *runner) interruptedStop(ctx context.Context, event Event, m *member) {
	r.world.RecordDisturbance(m.number, event.For, false)
	if event.Kind == StopPaused {
		m.signal(syscall.SIGSTOP)
		defer r.world.RecordDisturbance(m.number, 0, false)
	}
	r.world.SetLingering(m.number, true)
	exited := m.signal(syscall.SIGTERM)
	if !sleepUntil(ctx, r.world, r.world.Elapsed()+randomPause()) && event.Kind != StopPaused {
		return
	}
	switch event.Kind {
	case StopTwice:
		m.signalIfRunning(exited, syscall.SIGTERM)
	case StopKilled:
		m.signalIfRunning(exited, syscall.SIGKILL)
	case StopPaused:
		m.signal(syscall.SIGCONT)
	}
	r.waitStopped(m, exited)
	r.restart(ctx, event, m)
}

// waitStopped waits for a process that is stopping and kills it after stopTimeout.
func (r *runner) waitStopped(m *member, exited <-chan struct{}) {
	if !m.waitExit(exited, stopTimeout) {
		m.recordFailure(fmt.Sprintf("balancer %d did not exit within %v of SIGTERM", m.number, stopTimeout))
		m.signalIfRunning(exited, syscall.SIGKILL)
		m.waitExit(exited, stopTimeout)
	}
	r.world.SetLingering(m.number, false)
}

// stopAfterStart repeatedly stops a process shortly after its start.
func (r *runner) stopAfterStart(ctx context.Context, event Event, m *member) {
	for range stopsAfterStart {
		r.world.RecordDisturbance(m.number, event.For, false)
		r.world.SetLingering(m.number, true)
		r.waitStopped(m, m.signal(syscall.SIGTERM))
		r.restart(ctx, Event{}, m)
		if !sleepUntil(ctx, r.world, r.world.Elapsed()+randomPause()) {
			return
		}
	}
}

// rollingRestart restarts all balancers one after another, several of them at a time.
func (r *runner) rollingRestart(ctx context.Context, event Event) {
	for _, m := range r.fleet.members {
		stop := event
		stop.Balancer, stop.Kind, stop.For = m.number, Stop, minFaultDuration
		r.tasks.Go(func() { r.injectProcessFault(ctx, stop) })
		if !sleepUntil(ctx, r.world, r.world.Elapsed()+rollGap) {
			return
		}
	}
}

// reloadSeries sends reloadCount reloads to a member.
func (r *runner) reloadSeries(ctx context.Context, m *member) {
	for range reloadCount {
		m.reload()
		if !sleepUntil(ctx, r.world, r.world.Elapsed()+reloadSeriesDuration/reloadCount) {
			return
		}
	}
}
