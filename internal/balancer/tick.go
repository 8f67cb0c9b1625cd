package balancer

import (
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/membership"
)

const (
	// retryDecayInterval is the window of the retry budget.
	retryDecayInterval = time.Second
	// settingsRequestInterval bounds how often a peer is asked for settings.
	settingsRequestInterval = 500 * time.Millisecond
	// viewStable is how long the view must stand before a node that joins or
	// leaves as planned changes it again.
	viewStableTime = 2 * time.Second
	// quorumSettle is how long a majority must be heard before this node decides.
	quorumStableTime = 1 * time.Second
	// joinPatience is how long a node waits to join while its peers still copy
	// flows after an earlier change.
	maxJoinWait = 30 * time.Second
	// settledWalkShards is how many shards of the flow table one tick looks
	// through while everything is held twice; a full walk takes ShardCount
	// divided by it ticks.
	settledWalkShards = 1
	// unsettledWalkShards is the same while flows must be copied.
	unsettledWalkShards = 4
	// leavingWalkShards is the same while this node leaves.
	leavingWalkShards = 16
	// copiedBeforeRest is how many walks a leaving node makes at least.
	minLeaveWalks = 2
)

// tick does what time alone causes.
func (c *Core) tick(now time.Duration, effects *Effects) {
	c.control.Lock()
	c.startListening(now)
	c.lastTick.Store(int64(now))
	c.detector.Forget(now)
	c.join(now, effects)
	c.refreshView(now, effects)
	if now-c.lastHeartbeat >= membership.HeartbeatInterval {
		c.lastHeartbeat = now
		c.sendHeartbeats(now, effects)
	}
	c.drainSettings(now, effects)
	c.advanceLeave(now, effects)
	c.control.Unlock()

	c.control.RLock()
	defer c.control.RUnlock()
	c.deadlines.popDue(now, func(due deadline) { c.timeOutRequest(now, due, effects) })
	if now/retryDecayInterval != (now-TickInterval)/retryDecayInterval {
		c.registry.decayRetries()
	}
	c.walkFlows(now, effects)
	c.sendCopy(now, effects)
	c.settled.Store(c.copier.isSettled(1))
}

// startListening sets, at the first tick, when this node may join.
func (c *Core) startListening(now time.Duration) {
	if c.ticked {
		return
	}
	c.ticked = true
	c.joinAt = now + membership.DeadAfter
	c.lastHeartbeat = now - membership.HeartbeatInterval
}

// join puts this node into the view once it has listened for its peers and has
// settings. Until then peers do not count it, and it passes datagrams on.
func (c *Core) join(now time.Duration, effects *Effects) {
	if c.detector.Joined() || c.leave.announced || now < c.joinAt || c.snapshot.Revision == 0 {
		return
	}
	// At the first start of a fleet there is nothing to endanger.
	waitForPeers := now >= c.config.BootstrapUntil && now < c.joinAt+maxJoinWait
	if waitForPeers && !c.peersSettled(now) {
		return
	}
	c.detector.Join()
	effects.add(Effect{Kind: StateChanged, Subject: "self", State: "joined"})
	c.sendHeartbeats(now, effects)
}

// walk looks through a part of the flow table: forgets what is over and
// collects flows that the successor lacks.
func (c *Core) walkFlows(now time.Duration, effects *Effects) {
	shards := unsettledWalkShards
	switch {
	case c.leave.started:
		shards = leavingWalkShards
	case c.copier.isSettled(1):
		shards = settledWalkShards
	}
	for range shards {
		shard := &c.flows.Shards[c.copier.cursor]
		shard.Lock()
		shard.Walk(func(f *flow.Flow) bool { return c.visitFlow(now, f) })
		shard.Unlock()
		c.copier.cursor = (c.copier.cursor + 1) % flow.ShardCount
		if c.copier.cursor == 0 {
			c.finishWalk(now, effects)
		}
	}
}

// visit looks at one flow and tells whether to keep it.
func (c *Core) visitFlow(now time.Duration, f *flow.Flow) bool {
	f.Expire(now)
	service := c.snapshot.ServiceAt(f.Key.Service)
	idle := now - f.LastSeen
	if service == nil || idle > max(service.FlowIdle, service.RequestLifetime) && len(f.Exchanges) == 0 && f.AmbiguousUntil <= now {
		c.release(f)
		c.Counters.ExpiredFlows.Add(1)
		return false
	}
	partner := c.view.PairOf(f.Hash).Partner(c.self)
	if c.isAuthoritative(now, f) && !f.ProposedTo(partner) && partner != 0 && f.Replica != partner && c.config.Strategy == Replicated {
		c.copier.enqueue(partner, f)
	}
	return true
}

// vouches tells whether this node's record of a flow is right: a peer confirmed
// it, or nobody can have decided without this node.
func (c *Core) isAuthoritative(now time.Duration, f *flow.Flow) bool {
	partition := membership.PartitionOf(f.Hash)
	return f.Verified || c.quorum && c.continuity.Covers(partition, now, c.longestLifetime())
}
