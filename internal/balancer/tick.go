package balancer

import (
	"net/netip"
	"slices"
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
	viewStable = 2 * time.Second
	// quorumSettle is how long a majority must be heard before this node decides.
	quorumSettle = 1 * time.Second
	// joinPatience is how long a node waits to join while its peers still copy
	// flows after an earlier change.
	joinPatience = 30 * time.Second
	// settledWalkShards is how many shards of the flow table one tick looks
	// through while everything is held twice; a full walk takes ShardCount
	// divided by it ticks.
	settledWalkShards = 1
	// unsettledWalkShards is the same while flows must be copied.
	unsettledWalkShards = 4
	// leavingWalkShards is the same while this node leaves.
	leavingWalkShards = 16
	// copiedBeforeRest is how many walks a leaving node makes at least.
	copiedBeforeRest = 2
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
	c.deadlines.take(now, func(due deadline) { c.giveUp(now, due, effects) })
	if now/retryDecayInterval != (now-TickInterval)/retryDecayInterval {
		c.registry.decayRetries()
	}
	c.walk(now, effects)
	c.sendCopy(now, effects)
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
	patient := now >= c.config.BootstrapUntil && now < c.joinAt+joinPatience
	if patient && !c.othersSettled(now) {
		return
	}
	c.detector.Join()
	effects.add(Effect{Kind: StateChanged, Subject: "self", State: "joined"})
	c.sendHeartbeats(now, effects)
}

// othersSettled tells whether the view has stood for so long that every peer has
// said since then whether it is settled, and all are.
func (c *Core) othersSettled(now time.Duration) bool {
	return now-c.viewChanged >= viewStable && c.detector.AllSettled(now)
}

// notePause notices that this node stood still for so long that its peers have
// gone on without it. Nothing that it holds may be vouched for then, and it
// joins anew. It runs before every event, because queued datagrams may be
// handled before the first tick.
func (c *Core) notePause(now time.Duration, effects *Effects) {
	if now-time.Duration(c.lastTick.Load()) <= membership.DeadAfter || c.config.Mechanisms.NoContinuity {
		return
	}
	c.control.Lock()
	defer c.control.Unlock()
	last := time.Duration(c.lastTick.Load())
	if !c.ticked || now-last <= membership.DeadAfter {
		return
	}
	c.lastTick.Store(int64(now))
	c.detector.Resume(last, now)
	c.detector.Withdraw()
	c.joinAt = now + membership.DeadAfter
	c.stopVouching(now)
	effects.add(Effect{Kind: StateChanged, Subject: "self", State: "resumed after a pause"})
	c.refreshView(now, effects)
}

// stopVouching forgets since when this node holds every record, because others
// may have decided without it.
func (c *Core) stopVouching(now time.Duration) {
	c.breaks++
	c.lastBreak = now
	c.continuity.Break(now, c.view)
	c.distrust()
}

// recopy forgets what a peer was known to hold, for one that no longer vouches
// for it.
func (c *Core) recopy(peer membership.ID) {
	c.copier.forget(peer)
	c.eachFlow(func(f *flow.Flow) {
		if f.Replica == peer {
			f.Replica = 0
		}
	})
}

// distrust marks every flow as not vouched for.
func (c *Core) distrust() {
	c.eachFlow(func(f *flow.Flow) {
		f.Verified = false
		f.Complete = false
	})
}

// eachFlow calls visit for every flow, under the lock of its shard.
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

// stableQuorum tells whether this node has heard a majority for so long that it
// has heard all who can be heard, so that none of them is taken for gone.
func (c *Core) stableQuorum(now time.Duration) bool {
	if !c.detector.Quorum(now) {
		c.quorumSince = 0
		return false
	}
	if c.quorumSince == 0 {
		c.quorumSince = now
	}
	return now-c.quorumSince >= quorumSettle
}

// refreshView computes the live members and, when they changed, the new pairs.
func (c *Core) refreshView(now time.Duration, effects *Effects) {
	quorum := c.stableQuorum(now)
	if quorum != c.quorum {
		c.quorum = quorum
		state := "hears a majority"
		if !quorum {
			state = "hears no majority"
		}
		effects.add(Effect{Kind: StateChanged, Subject: "membership", State: state})
	}
	if quorum && c.detector.Joined() {
		c.detector.GoOn(now)
	}
	live := c.detector.Live(now)
	if slices.Equal(live, c.view.Members) {
		return
	}
	for _, old := range c.view.Members {
		if !slices.Contains(live, old) {
			effects.add(Effect{Kind: StateChanged, Subject: old.Address.String(), State: "left the view"})
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
	c.eachFlow(c.recountFlow)
}

// recountFlow brings a flow's ownership in line with a new view.
func (c *Core) recountFlow(f *flow.Flow) {
	pair := c.view.PairOf(f.Hash)
	if pair.Owner != c.self {
		c.release(f)
		f.Complete = false
	}
	if !pair.Has(c.self) {
		// Others may change the flow from here on.
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
			Revision: c.snapshot.Revision,
			Absent:   !c.detector.Joined(),
			Leaving:  c.leave.announced,
			Settled:  c.copier.settled(1),
			GoneOn:   target.GoneOn,
			Breaks:   c.breaks,
			Sequence: c.heartbeats,
		}
		if target.Introduce {
			heartbeat.Introduction = &Introduction{Address: c.config.Self.Address, Zone: c.config.Self.Zone}
		}
		c.sendControl(now, target.Address, &Message{From: c.self, Heartbeat: heartbeat}, essential, effects)
	}
}

// senderOf returns who sent a heartbeat, unless that is not known yet.
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
		Sequence: heartbeat.Sequence,
		Absent:   heartbeat.Absent,
		Leaving:  heartbeat.Leaving,
		Settled:  heartbeat.Settled,
		Breaks:   heartbeat.Breaks,
	}
	fresh, broke := c.detector.Heard(now, member, report)
	if !fresh {
		return
	}
	if broke {
		c.recopy(from)
	}
	if heartbeat.GoneOn && !c.config.Mechanisms.NoContinuity && now-c.lastBreak > membership.HeartbeatInterval {
		c.stopVouching(now)
		effects.add(Effect{Kind: StateChanged, Subject: member.Address.String(), State: "went on without this node"})
	}
	c.refreshView(now, effects)
	behind := heartbeat.Revision > c.snapshot.Revision && !c.config.Mechanisms.NoSettingsGossip
	if behind && now-c.lastRequest >= settingsRequestInterval {
		c.lastRequest = now
		request := &SettingsRequest{Have: c.snapshot.Revision}
		c.sendControl(now, member.Address, &Message{From: c.self, SettingsRequest: request}, essential, effects)
	}
}

// walk looks through a part of the flow table: forgets what is over and
// collects flows that the successor lacks.
func (c *Core) walk(now time.Duration, effects *Effects) {
	shards := unsettledWalkShards
	switch {
	case c.leave.started:
		shards = leavingWalkShards
	case c.copier.settled(1):
		shards = settledWalkShards
	}
	for range shards {
		shard := &c.flows.Shards[c.copier.cursor]
		shard.Lock()
		shard.Walk(func(f *flow.Flow) bool { return c.visit(now, f) })
		shard.Unlock()
		c.copier.cursor = (c.copier.cursor + 1) % flow.ShardCount
		if c.copier.cursor == 0 {
			c.finishWalk(now, effects)
		}
	}
}

// visit looks at one flow and tells whether to keep it.
func (c *Core) visit(now time.Duration, f *flow.Flow) bool {
	f.Expire(now)
	service := c.snapshot.ServiceAt(f.Key.Service)
	idle := now - f.LastSeen
	if service == nil || idle > max(service.FlowIdle, service.RequestLifetime) && len(f.Exchanges) == 0 && f.AmbiguousUntil <= now {
		c.release(f)
		c.Counters.ExpiredFlows.Add(1)
		return false
	}
	partner := c.view.PairOf(f.Hash).Partner(c.self)
	if c.vouches(now, f) && !f.ProposedTo(partner) && partner != 0 && f.Replica != partner && c.config.Strategy == Replicated {
		c.copier.want(partner, f)
	}
	return true
}

// vouches tells whether this node's record of a flow is right: a peer confirmed
// it, or nobody can have decided without this node.
func (c *Core) vouches(now time.Duration, f *flow.Flow) bool {
	partition := membership.PartitionOf(f.Hash)
	return f.Verified || c.quorum && c.continuity.Covers(partition, now, c.longestLifetime())
}

// budgetClass says which control messages go first.
type budgetClass int

const (
	// essential messages may use the whole budget.
	essential budgetClass = iota
	// bulk messages leave a reserve for essential ones.
	bulk
)

// byteBudget bounds the control bytes of any window of one second: it never
// sends more than perSecond in the last ten tenths.
type byteBudget struct {
	perSecond int
	unlimited bool
	slots     [11]int
	slot      time.Duration
}

const (
	budgetSlot    = 100 * time.Millisecond
	bulkPart      = 0.8
	essentialPart = 1.0
)

// spend takes size bytes at now, or returns false.
func (b *byteBudget) spend(now time.Duration, size int, class budgetClass) bool {
	current := now / budgetSlot
	for ; b.slot < current; b.slot++ {
		if current-b.slot > time.Duration(len(b.slots)) {
			b.slot = current - time.Duration(len(b.slots))
		}
		b.slots[(b.slot+1)%time.Duration(len(b.slots))] = 0
	}
	used := 0
	for _, bytes := range b.slots {
		used += bytes
	}
	part := essentialPart
	if class == bulk {
		part = bulkPart
	}
	if !b.unlimited && float64(used+size) > part*float64(b.perSecond) {
		return false
	}
	b.slots[current%time.Duration(len(b.slots))] += size
	return true
}

// sendControl sends a control message within the byte budget and tells whether
// it was sent.
func (c *Core) sendControl(now time.Duration, to netip.AddrPort, message *Message, class budgetClass, effects *Effects) bool {
	size := c.config.Measure(message) + DatagramOverhead
	if !c.budget.spend(now, size, class) {
		c.Counters.ControlDeferred.Add(1)
		return false
	}
	c.Counters.ControlBytes.Add(uint64(size))
	effects.add(Effect{Kind: SendPeer, To: to, Message: message})
	return true
}
