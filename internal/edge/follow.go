package edge

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"gaugeyard/internal/directory"
)

const (
	// listTimeout bounds one listing.
	listTimeout = time.Second
	// changesSlack is how much later than asked for the store's answer may come.
	changesSlack = 500 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call; it doubles.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
	// gatherTime is the pause after changes, so that those that come together are
	// read together.
	gatherTime = 150 * time.Millisecond
	// storeWaitPart and peerAgePart divide the contact bound: how long the store
	// is waited for, and how old what another balancer tells may be. Together with
	// one more call they stay below the bounds of configuration and draining.
	storeWaitPart = 4
	peerAgePart   = 2.5
)

// follow keeps the directory up to date until ctx ends: from another balancer
// where there is one to follow, else from the store. Whatever a call returns, what
// is believed already stays in force.
func (n *Node) follow(ctx context.Context) error {
	retry := firstRetry
	for ctx.Err() == nil {
		if upstream, found := n.upstream(); found && n.followPeer(ctx, upstream) {
			continue
		}
		err := n.followStore(ctx)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			retry = firstRetry
			n.contact.regained(n)
			continue
		}
		if errors.Is(err, ErrHistoryLost) {
			n.log.Info("store history lost", "revision", n.revision())
			n.historyLost = true
			continue
		}
		n.contact.lost(n, err)
		n.adapter.Source.Reconnect()
		n.catchUp(ctx)
		pause(ctx, retry)
		retry = min(2*retry, lastRetry)
	}
	return ctx.Err()
}

// upstream returns the balancer to follow, which there is not before anything is known.
func (n *Node) upstream() (netip.AddrPort, bool) {
	n.beliefs.Lock()
	defer n.beliefs.Unlock()
	if n.directory.Revision() == 0 {
		return netip.AddrPort{}, false
	}
	peer, found := n.peers.Upstream(n.now(), n.maxPeerAge())
	if !found {
		return netip.AddrPort{}, false
	}
	return peer.Control, true
}

func (n *Node) maxPeerAge() time.Duration {
	return time.Duration(float64(n.config().Bounds.Contact) / peerAgePart)
}

// followPeer waits once for changes from another balancer. It returns false when
// the store should be asked instead.
func (n *Node) followPeer(ctx context.Context, control netip.AddrPort) bool {
	n.noteUpstream(control.String())
	call, cancel := context.WithTimeout(ctx, peerWait+peerSlack)
	defer cancel()
	answer, err := (&peerSource{n, control}).changes(call, n.revision(), peerWait)
	if ctx.Err() != nil {
		return true
	}
	if err != nil {
		n.log.Warn("peer lost", "peer", control, "revision", n.revision(), "error", err)
		return false
	}
	switch {
	case answer.Listing != nil:
		n.replace(answer.Listing, control.String(), answer.Age)
	case answer.Changes != nil:
		n.apply(answer.Changes, control.String(), answer.Age)
	}
	return answer.Age <= n.maxPeerAge()
}

// followStore lists everything, if that has not been done, or else waits once for
// changes.
func (n *Node) followStore(ctx context.Context) error {
	n.noteUpstream("store")
	if n.historyLost || n.revision() == 0 {
		return n.list(ctx)
	}
	wait := n.config().Bounds.Contact / storeWaitPart
	call, cancel := context.WithTimeout(ctx, wait+changesSlack)
	defer cancel()
	n.metrics.storeCalls.Inc()
	changes, err := n.adapter.Source.Changes(call, n.revision(), wait)
	if err != nil {
		return err
	}
	if n.apply(changes, "store", 0) > 0 {
		pause(ctx, gatherTime)
	}
	return nil
}

func (n *Node) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	n.metrics.storeCalls.Inc()
	listing, err := n.adapter.Source.List(ctx)
	if err != nil {
		return err
	}
	n.historyLost = false
	n.replace(listing, "store", 0)
	return nil
}

// catchUp asks the balancer that knows most, while the store does not answer.
func (n *Node) catchUp(ctx context.Context) {
	n.beliefs.Lock()
	peer, found := n.peers.Freshest(n.now(), n.directory.Revision())
	n.beliefs.Unlock()
	if !found {
		return
	}
	n.followPeer(ctx, peer.Control)
}

// noteUpstream logs where changes come from when that changes.
func (n *Node) noteUpstream(name string) {
	if n.following == name {
		return
	}
	n.log.Info("following", "from", name, "before", n.following, "revision", n.revision())
	n.following = name
}

// replace takes over a listing that the store confirmed age ago, and logs what changed.
func (n *Node) replace(listing *directory.Listing, from string, age time.Duration) {
	n.withDefaults(listing.Settings)
	n.beliefs.Lock()
	n.steerBy(n.directory.Replace(n.now(), listing), from, age)
	n.beliefs.Unlock()
	if n.settingsKnown() {
		n.handleHeld()
	}
}

// apply takes over changes that the store confirmed age ago, logs them and returns
// how many there were.
func (n *Node) apply(changes *directory.Changes, from string, age time.Duration) int {
	n.withDefaults(changes.Settings)
	n.beliefs.Lock()
	defer n.beliefs.Unlock()
	events := n.directory.Apply(n.now(), changes)
	n.steerBy(events, from, age)
	return len(events)
}

// steerBy lets packets be steered by what is believed now and tells those who
// follow. The beliefs lock is held.
func (n *Node) steerBy(events []directory.Event, from string, age time.Duration) {
	n.confirmedAt = max(n.confirmedAt, n.now()-age)
	if n.viewRevision.Swap(n.directory.Revision()) == n.directory.Revision() && len(events) == 0 {
		return
	}
	n.setView()
	n.changed.wake()
	n.logEvents(events, from, age)
}

// setView hands the steerer a view of what is believed now. The beliefs lock is held.
func (n *Node) setView() {
	view := n.directory.View()
	n.steering.Lock()
	n.steerer.SetView(view)
	n.steering.Unlock()
}

// beliefAge is how long ago the store confirmed what is believed. The beliefs lock is held.
func (n *Node) beliefAge() time.Duration {
	return n.now() - n.confirmedAt
}

// withDefaults gives the root of the operators' tree the process's own defaults.
func (n *Node) withDefaults(next *directory.Settings) {
	if next == nil {
		return
	}
	root := next.Tree[""]
	for key, value := range n.config().Defaults {
		if _, given := root[key]; !given {
			root[key] = value
		}
	}
}

func (n *Node) revision() uint64 {
	n.beliefs.Lock()
	defer n.beliefs.Unlock()
	return n.directory.Revision()
}

func (n *Node) logEvents(events []directory.Event, from string, age time.Duration) {
	for _, event := range events {
		switch event.Transition {
		case directory.SettingsApplied:
			n.log.Info(string(event.Transition), "version", event.Version, "revision", event.Revision, "from", from, "age", age)
		case directory.SettingsRefused:
			n.log.Error(string(event.Transition), "version", event.Version, "revision", event.Revision, "from", from, "error", event.Err)
		default:
			n.log.Info(string(event.Transition), "backend", backendName(event.Backend.ID), "group", event.Backend.Group,
				"address", event.Backend.Address, "zone", event.Backend.Zone, "revision", event.Revision, "from", from, "age", age)
		}
	}
}

// contact is whether the store answers.
type contact struct {
	broken  bool
	since   time.Duration
	retries int
}

func (c *contact) lost(n *Node, err error) {
	c.retries++
	n.metrics.storeFailures.Inc()
	if c.broken {
		return
	}
	c.broken, c.since, c.retries = true, n.now(), 1
	n.changed.wake()
	n.log.Warn("store lost", "revision", n.revision(), "error", err)
}

func (c *contact) regained(n *Node) {
	if !c.broken {
		return
	}
	c.broken = false
	n.log.Info("store regained", "revision", n.revision(), "after", (n.now() - c.since).Round(time.Millisecond), "retries", c.retries)
}

// pause waits or until ctx ends.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
