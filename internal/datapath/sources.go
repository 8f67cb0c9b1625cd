package datapath

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/discovery"
	"gaugeyard/internal/store"
)

const (
	// storeRetry is the wait after a failed call to the store.
	storeRetryDelay = 500 * time.Millisecond
	// machineInterval is the time between two reads of the machine list.
	machineInterval = time.Second
	// loadInterval is the time between two reads of the load endpoints.
	loadInterval = time.Second
	// loadReaders bounds concurrent reads of load endpoints.
	maxLoadRequests = 8
)

// pause waits, or returns false when ctx ends first.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// watchSettings keeps the core at the store's newest revision. While the store
// is down the core gets settings from its peers.
func (n *Node) watchSettings(ctx context.Context) error {
	reachable := true
	for ctx.Err() == nil {
		err := n.followStore(ctx, &reachable)
		if err != nil && reachable && ctx.Err() == nil {
			reachable = false
			n.log.Warn("state", "subject", "store", "state", "unreachable", "error", err)
		}
		pause(ctx, storeRetryDelay)
	}
	return ctx.Err()
}

func (n *Node) followStore(ctx context.Context, reachable *bool) error {
	state, err := n.store.Load(ctx)
	if err != nil {
		return err
	}
	if !*reachable {
		*reachable = true
		n.log.Info("state", "subject", "store", "state", "reachable")
	}
	n.applyState(state)
	return n.store.Watch(ctx, state, n.applyState)
}

func (n *Node) applyState(state *store.State) {
	if state.Head.Revision == 0 {
		return
	}
	if err := n.apply(state.Head.Revision, state.Tree); err != nil {
		n.log.Error("state", "subject", "settings", "state", "refused", "error", err)
	}
}

// pollMachines keeps the core's list of balancers up to date. Without the
// machine list the last one stays.
func (n *Node) pollMachines(ctx context.Context) error {
	var effects balancer.Effects
	addresses := n.config.Peers
	for {
		if machines, err := discovery.Machines(ctx, n.config.Machines); err == nil {
			addresses = append([]netip.AddrPort{}, n.config.Peers...)
			for _, machine := range machines {
				if machine.Cell == n.config.Cell {
					addresses = append(addresses, machine.Peer)
				}
			}
		}
		n.step(&balancer.MachineList{Addresses: addresses}, &effects)
		if !pause(ctx, machineInterval) {
			return ctx.Err()
		}
	}
}

// pollLoad reads the load that back ends report.
func (n *Node) pollLoad(ctx context.Context) error {
	for pause(ctx, loadInterval) {
		group := errgroup.Group{}
		group.SetLimit(maxLoadRequests)
		for _, backend := range n.core.Snapshot().Backends {
			if !backend.LoadAddress.IsValid() {
				continue
			}
			group.Go(func() error {
				utilization, err := discovery.Utilization(ctx, backend.LoadAddress)
				if err == nil {
					report := &balancer.LoadReport{Backend: backend.Address, Utilization: utilization}
					n.step(report, &balancer.Effects{})
				}
				return nil
			})
		}
		_ = group.Wait()
	}
	return ctx.Err()
}
