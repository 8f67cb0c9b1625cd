package balancer

import (
	"slices"
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/membership"
)

// peersSettled reports whether the view has been unchanged for viewStableTime, so
// that peers have reported since, and all peers are settled.
func (c *Core) peersSettled(now time.Duration) bool {
	return now-c.viewChanged >= viewStableTime && c.detector.AllSettled(now)
}

// detectPause detects that this node was paused for so long that its peers may
// have decided without it. The node then invalidates its records and joins again.
// It runs before every event, because queued datagrams may precede the first tick
// after the pause.
func (c *Core) detectPause(now time.Duration, effects *Effects) {
	if now-time.Duration(c.lastTick.Load()) <= membership.DeadAfter || c.config.Mechanisms.NoContinuity {
		return
	}
	c.control.Lock()
	defer c.control.Unlock()
	lastTick := time.Duration(c.lastTick.Load())
	if !c.ticked || now-lastTick <= membership.DeadAfter {
		return
	}
	c.lastTick.Store(int64(now))
	c.detector.Resume(lastTick, now)
	c.detector.Withdraw()
	c.joinAt = now + membership.DeadAfter
	c.invalidateRecords(now)
	effects.add(Effect{Kind: StateChanged, Subject: "self", State: "resumed after a pause"})
	c.refreshView(now, effects)
}

// invalidateRecords marks this node's history as incomplete and its flows as
// unverified, because others may have decided without it.
func (c *Core) invalidateRecords(now time.Duration) {
	c.invalidations++
	c.lastInvalidation = now
	c.continuity.Invalidate(now, c.view)
	c.markUnverified()
}

// resetReplicas clears the replicas and grants of a peer that has invalidated its
// records.
func (c *Core) resetReplicas(peer membership.ID) {
	c.copier.resetPeer(peer)
	c.eachFlow(func(f *flow.Flow) {
		if f.Replica == peer {
			f.Replica = 0
		}
	})
}

// markUnverified marks every flow as unverified and incomplete.
func (c *Core) markUnverified() {
	c.eachFlow(func(f *flow.Flow) {
		f.Verified = false
		f.Complete = false
	})
}

// eachFlow calls visit for every flow, with the flow's shard locked.
func (c *Core) eachFlow(visit func(f *flow.Flow)) {
	for i := range c.flows.Shards {
		shard := &c.flows.Shards[i]
		shard.Lock()
		shard.Walk(func(f *flow.Flow) bool {
			visit(f)
			return true
		})
		shard.Unlock()
	}
}

// stableQuorum reports whether a majority has been reachable for quorumStableTime,
// so that this node has received from all reachable peers and takes none for down.
func (c *Core) stableQuorum(now time.Duration) bool {
	if !c.detector.HasQuorum(now) {
		c.quorumSince = 0
		return false
	}
	if c.quorumSince == 0 {
		c.quorumSince = now
	}
	return now-c.quorumSince >= quorumStableTime
}

// refreshView recomputes the quorum and the live members and, if they changed, the
// pairs.
func (c *Core) refreshView(now time.Duration, effects *Effects) {
	quorum := c.stableQuorum(now)
	if quorum != c.quorum {
		c.quorum = quorum
		state := "quorum reached"
		if !quorum {
			state = "quorum lost"
		}
		effects.add(Effect{Kind: StateChanged, Subject: "membership", State: state})
	}
	if quorum && c.detector.Joined() {
		c.detector.MarkDecidedWithout(now)
	}
	live := c.detector.Live(now)
	if slices.Equal(live, c.view.Members) {
		return
	}
	for _, former := range c.view.Members {
		if !slices.Contains(live, former) {
			effects.add(Effect{Kind: StateChanged, Subject: former.Address.String(), State: "left the view"})
		}
	}
	for _, member := range live {
		if !slices.Contains(c.view.Members, member) {
			effects.add(Effect{Kind: StateChanged, Subject: member.Address.String(), State: "joined the view"})
		}
	}
	previous := c.view
	c.view = membership.NewView(live, !c.config.Mechanisms.NoZoneAwareSuccessor)
	c.viewChanged = now
	c.continuity.Change(now, c.view)
	c.copier.viewChanged(previous, c.view)
	c.eachFlow(c.updateOwnership)
}

// updateOwnership updates a flow's ownership for a new view.
func (c *Core) updateOwnership(f *flow.Flow) {
	pair := c.view.PairOf(f.Hash)
	if pair.Owner != c.self {
		c.release(f)
		f.Complete = false
	}
	if !pair.Has(c.self) {
		// Other nodes may change the flow from now on.
		f.Verified = false
	}
	if pair.Owner == c.self && !f.Owner && f.Backend != 0 {
		f.Complete = false
		if target := c.registry.get(f.Backend); target != nil {
			c.pin(f, target)
		}
	}
}

func (c *Core) sendHeartbeats(now time.Duration, effects *Effects) {
	c.heartbeats++
	for _, target := range c.detector.Targets(c.heartbeats) {
		heartbeat := &Heartbeat{
			Revision:       c.snapshot.Revision,
			Absent:         !c.detector.Joined(),
			Leaving:        c.leave.announced,
			Settled:        c.copier.isSettled(1),
			DecidedWithout: target.DecidedWithout,
			Invalidations:  c.invalidations,
			Sequence:       c.heartbeats,
		}
		if target.Introduce {
			heartbeat.Introduction = &Introduction{Address: c.config.Self.Address, Zone: c.config.Self.Zone}
		}
		c.sendControl(now, target.Address, &Message{From: c.self, Heartbeat: heartbeat}, essential, effects)
	}
}

// senderOf returns the sender of a heartbeat, and false if it is unknown.
func (c *Core) senderOf(from membership.ID, heartbeat *Heartbeat) (membership.Member, bool) {
	if introduction := heartbeat.Introduction; introduction != nil {
		return membership.Member{ID: from, Zone: introduction.Zone, Address: introduction.Address}, true
	}
	return c.detector.Known(from)
}

func (c *Core) handleHeartbeat(now time.Duration, from membership.ID, heartbeat *Heartbeat, effects *Effects) {
	member, known := c.senderOf(from, heartbeat)
	if !known {
		return
	}
	report := membership.Report{
		Sequence:      heartbeat.Sequence,
		Absent:        heartbeat.Absent,
		Leaving:       heartbeat.Leaving,
		Settled:       heartbeat.Settled,
		Invalidations: heartbeat.Invalidations,
	}
	newer, invalidated := c.detector.Receive(now, member, report)
	if !newer {
		return
	}
	if invalidated {
		c.resetReplicas(from)
	}
	if heartbeat.DecidedWithout && !c.config.Mechanisms.NoContinuity && now-c.lastInvalidation > membership.HeartbeatInterval {
		c.invalidateRecords(now)
		effects.add(Effect{Kind: StateChanged, Subject: member.Address.String(), State: "decided without this node"})
	}
	c.refreshView(now, effects)
	behind := heartbeat.Revision > c.snapshot.Revision && !c.config.Mechanisms.NoSettingsGossip
	if behind && now-c.lastSettingsRequest >= settingsRequestInterval {
		c.lastSettingsRequest = now
		request := &SettingsRequest{Have: c.snapshot.Revision}
		c.sendControl(now, member.Address, &Message{From: c.self, SettingsRequest: request}, essential, effects)
	}
}
