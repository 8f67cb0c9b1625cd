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
	// storeRetryDelay is the delay after a failed call to the store.
	storeRetryDelay = 500 * time.Millisecond
	// machineInterval is the interval between requests for the machine list.
	machineInterval = time.Second
	// loadInterval is the interval between requests to the load endpoints.
	loadInterval = time.Second
	// maxLoadRequests is the maximum number of concurrent requests to load endpoints.
	maxLoadRequests = 8
)

// pause waits and reports whether the wait elapsed before ctx ended.
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

// watchSettings passes each new revision from the store to the core until ctx ends.
// While the store is down, the core receives settings from its peers.
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

// followStore loads the tree and watches it until the store fails or ctx ends.
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

// applyState applies the tree of the store, unless the store is empty.
func (n *Node) applyState(state *store.State) {
	if state.Head.Revision == 0 {
		return
	}
	if err := n.apply(state.Head.Revision, state.Tree); err != nil {
		n.log.Error("state", "subject", "settings", "state", "refused", "error", err)
	}
}

// pollMachines updates the core's list of balancers. While the machine list is
// unavailable, the last one remains in use.
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

// pollLoad requests the load of the back ends and passes it to the core. A failed
// request is ignored until the next interval.
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
