package balancer

import (
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/membership"
)

const (
	// retryDecayInterval is the interval at which retry counts are halved.
	retryDecayInterval = time.Second
	// settingsRequestInterval is the minimum time between settings requests.
	settingsRequestInterval = 500 * time.Millisecond
	// viewStableTime is how long the view must be unchanged before a join or a
	// graceful shutdown changes it again.
	viewStableTime = 2 * time.Second
	// quorumStableTime is how long a majority must be reachable before this node
	// has a quorum.
	quorumStableTime = 1 * time.Second
	// maxJoinWait is how long a join is delayed at most while peers copy flows after
	// an earlier change.
	maxJoinWait = 30 * time.Second
	// settledWalkShards is the number of flow table shards walked per tick while
	// the copier is settled. A full walk takes ShardCount/settledWalkShards ticks.
	settledWalkShards = 1
	// unsettledWalkShards is the number while flows must be copied.
	unsettledWalkShards = 4
	// leavingWalkShards is the number during a graceful shutdown.
	leavingWalkShards = 16
	// minLeaveWalks is the minimum number of full walks of a leaving node.
	minLeaveWalks = 2
)

// tick runs the timers and the periodic work.
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

// startListening sets the earliest join time at the first tick.
func (c *Core) startListening(now time.Duration) {
	if c.ticked {
		return
	}
	c.ticked = true
	c.joinAt = now + membership.DeadAfter
	c.lastHeartbeat = now - membership.HeartbeatInterval
}

// join adds this node to the view once it has listened for its peers and has
// settings. Until then peers do not count it, and it only relays datagrams.
func (c *Core) join(now time.Duration, effects *Effects) {
	if c.detector.Joined() || c.leave.announced || now < c.joinAt || c.snapshot.Revision == 0 {
		return
	}
	// While the fleet bootstraps there are no flows to lose.
	waitForPeers := now >= c.config.BootstrapUntil && now < c.joinAt+maxJoinWait
	if waitForPeers && !c.peersSettled(now) {
		return
	}
	c.detector.Join()
	effects.add(Effect{Kind: StateChanged, Subject: "self", State: "joined"})
	c.sendHeartbeats(now, effects)
}

// walkFlows walks the next shards of the flow table. It removes expired flows and
// requests, and queues flows that the pair's other node lacks.
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

// visitFlow handles one flow of a walk and reports whether to retain it.
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

// isAuthoritative reports whether this node's record of a flow is authoritative: a
// peer confirmed it, or no node can have decided without this one.
func (c *Core) isAuthoritative(now time.Duration, f *flow.Flow) bool {
	partition := membership.PartitionOf(f.Hash)
	return f.Verified || c.quorum && c.continuity.HasCompleteHistory(partition, now, c.longestLifetime())
}
