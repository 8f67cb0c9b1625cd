package edge

import (
	"context"
	"errors"
	"time"

	"gaugeyard/internal/directory"
)

const (
	// listTimeout bounds one listing.
	listTimeout = time.Second
	// changesSlack is how much later than asked for an answer may come.
	changesSlack = 500 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call; it doubles.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
	// gatherTime is the pause after changes, so that those that come together are
	// read together.
	gatherTime = 150 * time.Millisecond
)

// follow keeps the directory up to date from the store until ctx ends. Whatever a
// call returns, what is believed already stays in force.
func (n *Node) follow(ctx context.Context) error {
	retry := firstRetry
	listed := false
	for ctx.Err() == nil {
		var err error
		if !listed {
			err = n.list(ctx)
			listed = err == nil
		} else {
			err = n.followChanges(ctx)
			listed = !errors.Is(err, ErrHistoryLost)
		}
		if err == nil {
			retry = firstRetry
			n.contact.regained(n)
			continue
		}
		if errors.Is(err, ErrHistoryLost) {
			n.log.Info("store history lost", "revision", n.revision())
			continue
		}
		n.contact.lost(n, err)
		n.adapter.Source.Reconnect()
		pause(ctx, retry)
		retry = min(2*retry, lastRetry)
	}
	return ctx.Err()
}

func (n *Node) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	n.metrics.storeCalls.Inc()
	listing, err := n.adapter.Source.List(ctx)
	if err != nil {
		return err
	}
	n.replace(listing, "store")
	n.synced.Store(true)
	return nil
}

// followChanges waits once for changes. The wait is half of the contact bound: a
// connection that died while a cut lasted is found out in time.
func (n *Node) followChanges(ctx context.Context) error {
	wait := n.config.Bounds.Contact / 2
	call, cancel := context.WithTimeout(ctx, wait+changesSlack)
	defer cancel()
	n.metrics.storeCalls.Inc()
	changes, err := n.adapter.Source.Changes(call, n.revision(), wait)
	if err != nil {
		return err
	}
	if n.apply(changes) > 0 {
		pause(ctx, gatherTime)
	}
	return nil
}

// replace takes over a listing and logs what changed.
func (n *Node) replace(listing *directory.Listing, from string) {
	n.withDefaults(listing.Settings)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	events := n.directory.Replace(n.now(), listing)
	n.steer()
	n.logEvents(events, from)
}

// steer lets packets be steered by what is believed now. The mutex is held.
func (n *Node) steer() {
	n.steerer.SetView(n.directory.View())
	n.viewRevision.Store(n.directory.Revision())
}

// apply takes over changes, logs them and returns how many there were.
func (n *Node) apply(changes *directory.Changes) int {
	n.withDefaults(changes.Settings)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	events := n.directory.Apply(n.now(), changes)
	if len(events) > 0 {
		n.steer()
		n.logEvents(events, "store")
	}
	return len(events)
}

// withDefaults gives the root of the operators' tree the process's own defaults.
func (n *Node) withDefaults(next *directory.Settings) {
	if next == nil {
		return
	}
	root := next.Tree[""]
	for key, value := range n.config.Defaults {
		if _, given := root[key]; !given {
			root[key] = value
		}
	}
}

func (n *Node) revision() uint64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.directory.Revision()
}

func (n *Node) logEvents(events []directory.Event, from string) {
	for _, event := range events {
		switch event.Transition {
		case directory.SettingsApplied:
			n.log.Info(string(event.Transition), "version", event.Version, "revision", event.Revision, "from", from)
		case directory.SettingsRefused:
			n.log.Error(string(event.Transition), "version", event.Version, "revision", event.Revision, "from", from, "error", event.Err)
		default:
			n.log.Info(string(event.Transition), "backend", backendName(event.Backend.ID), "group", event.Backend.Group,
				"address", event.Backend.Address, "zone", event.Backend.Zone, "revision", event.Revision, "from", from)
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
