package balancer

import (
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/membership"
)

const (
	// copyBatch is how many flows one Copy carries.
	copyBatch = 16
	// copyWait is how long an acknowledgement is waited for.
	copyWait = 500 * time.Millisecond
	// copyQueue bounds the flows remembered for copying; a walk finds the rest again.
	copyQueue = 4096
)

// copyTarget is one flow and the node that lacks it.
type copyTarget struct {
	key  flow.Key
	hash uint64
	to   membership.ID
}

// copier takes flows to the other node of their pair that no datagram has taken
// there: the flows at rest. It sends one batch at a time and waits for its
// acknowledgement.
type copier struct {
	cursor   int
	queue    []copyTarget
	sent     []copyTarget
	sequence uint32
	sentAt   time.Duration
	// missing marks partitions in which the present walk found a flow to copy.
	missing [membership.PartitionCount]bool
	// granted names the partner that holds everything of a partition.
	granted [membership.PartitionCount]membership.ID
	// interrupted is set when the view changed during the present walk.
	interrupted bool
	// walks counts uninterrupted walks since the last change of view.
	walks int
	// ungranted is set when the last walk found a partition to grant.
	ungranted bool
}

// want notes that a node lacks the flow.
func (p *copier) want(to membership.ID, f *flow.Flow) {
	p.missing[membership.PartitionOf(f.Hash)] = true
	if len(p.queue) < copyQueue {
		p.queue = append(p.queue, copyTarget{f.Key, f.Hash, to})
	}
}

// viewChanged forgets what was planned and granted for pairs that changed.
func (p *copier) viewChanged(previous, next *membership.View) {
	p.queue = nil
	p.sent = nil
	p.interrupted = true
	p.walks = 0
	for partition := range p.granted {
		if previous.PairAt(partition) != next.PairAt(partition) {
			p.granted[partition] = 0
		}
	}
}

// sendCopy sends the next batch when the last one is settled.
func (c *Core) sendCopy(now time.Duration, effects *Effects) {
	p := &c.copier
	if len(p.sent) > 0 && now-p.sentAt < copyWait || c.config.Mechanisms.NoBackgroundCopy {
		return
	}
	if len(p.sent) > 0 {
		p.queue = append(p.sent, p.queue...)
		p.sent = nil
	}
	if len(p.queue) == 0 {
		return
	}
	to := p.queue[0].to
	member, live := c.view.Member(to)
	var records []Record
	var sent, rest []copyTarget
	for _, target := range p.queue {
		if target.to != to || len(records) >= copyBatch {
			rest = append(rest, target)
			continue
		}
		if record, needed := c.recordOf(now, target); needed {
			records = append(records, record)
			sent = append(sent, target)
		}
	}
	if !live || len(records) == 0 {
		p.queue = rest
		return
	}
	message := &Message{From: c.self, Copy: &Copy{Sequence: p.sequence + 1, Records: records}}
	if !c.sendControl(now, member.Address, message, bulk, effects) {
		return
	}
	p.sequence++
	p.queue = rest
	p.sent = sent
	p.sentAt = now
}

// recordOf returns a flow as the other node must hold it, unless it has it by now.
func (c *Core) recordOf(now time.Duration, target copyTarget) (Record, bool) {
	shard := c.flows.ShardOf(target.hash)
	shard.Lock()
	defer shard.Unlock()
	f := shard.Flows[target.key]
	if f == nil || !f.Verified || f.Replica == target.to {
		return Record{}, false
	}
	return Record{
		Caller:   f.Key.Caller,
		Service:  f.Key.Service,
		Backend:  c.addressOf(f),
		Refusals: refusalsOf(f, now),
	}, true
}

// copyDone notes that the other node holds the last batch.
func (c *Core) copyDone(now time.Duration, sequence uint32) {
	p := &c.copier
	if sequence != p.sequence {
		return
	}
	for _, target := range p.sent {
		shard := c.flows.ShardOf(target.hash)
		shard.Lock()
		if f := shard.Flows[target.key]; f != nil {
			f.Replica = target.to
			f.ReplicatedAt = now
		}
		shard.Unlock()
	}
	p.sent = nil
}

// receiveCopy stores flows of the pair's other node.
func (c *Core) receiveCopy(now time.Duration, from membership.ID, message *Copy, effects *Effects) {
	for _, record := range message.Records {
		c.storeRecord(now, from, record)
	}
	if member, live := c.view.Member(from); live {
		done := &Message{From: c.self, CopyDone: &CopyDone{Sequence: message.Sequence}}
		c.sendControl(now, member.Address, done, essential, effects)
	}
}

func (c *Core) storeRecord(now time.Duration, from membership.ID, record Record) {
	key := flow.Key{Caller: record.Caller, Service: record.Service}
	hash := key.Hash()
	pair := c.view.PairOf(hash)
	if pair.Partner(c.self) != from {
		return
	}
	shard := c.flows.ShardOf(hash)
	shard.Lock()
	defer shard.Unlock()
	f := shard.Flows[key]
	if f == nil {
		f = &flow.Flow{Key: key, Hash: hash, LastSeen: now}
		shard.Add(f)
	}
	mergeRefusals(f, record.Refusals, now)
	target := c.registry.at(record.Backend)
	switch {
	case pair.Owner == from:
		// The owner's word counts over what this node holds.
		f.Backend = 0
		if target != nil {
			f.Backend = target.id
		}
	case f.Verified:
		return
	case target != nil:
		c.pin(f, target)
	}
	f.Verified = true
	f.Replica = from
	f.ReplicatedAt = now
}

// finishWalk ends one walk through the table. A partition in which nothing was
// missing, while this node can vouch for it, is granted to the pair's other node.
func (c *Core) finishWalk(now time.Duration, effects *Effects) {
	p := &c.copier
	if !p.interrupted {
		c.grantComplete(now, effects)
		p.walks++
	}
	p.interrupted = false
	clear(p.missing[:])
}

func (c *Core) grantComplete(now time.Duration, effects *Effects) {
	p := &c.copier
	grants := map[membership.ID][]byte{}
	p.ungranted = false
	for partition := range p.missing {
		partner := c.view.PairAt(partition).Partner(c.self)
		if partner == 0 || p.granted[partition] == partner {
			continue
		}
		if !c.quorum || !c.continuity.Covers(partition, now, c.longestLifetime()) {
			continue
		}
		p.ungranted = true
		if p.missing[partition] {
			continue
		}
		if grants[partner] == nil {
			grants[partner] = make([]byte, membership.PartitionCount/8)
		}
		grants[partner][partition/8] |= 1 << (partition % 8)
	}
	for _, member := range c.view.Members {
		if bits := grants[member.ID]; bits != nil {
			c.sendGrant(now, member, bits, effects)
		}
	}
}

func (c *Core) sendGrant(now time.Duration, member membership.Member, bits []byte, effects *Effects) {
	if !c.sendControl(now, member.Address, &Message{From: c.self, Grant: &Grant{Partitions: bits}}, bulk, effects) {
		return
	}
	for partition := range c.copier.granted {
		if bits[partition/8]&(1<<(partition%8)) != 0 {
			c.copier.granted[partition] = member.ID
		}
	}
}

// receiveGrant notes that this node holds everything of the partitions.
func (c *Core) receiveGrant(from membership.ID, grant *Grant) {
	if len(grant.Partitions) != membership.PartitionCount/8 {
		return
	}
	for partition := range membership.PartitionCount {
		granted := grant.Partitions[partition/8]&(1<<(partition%8)) != 0
		if granted && c.view.PairAt(partition).Partner(c.self) == from {
			c.continuity.Grant(partition, c.view)
		}
	}
}

// longestLifetime returns the longest request lifetime of all services.
func (c *Core) longestLifetime() time.Duration {
	longest := time.Duration(0)
	for _, service := range c.snapshot.Services {
		longest = max(longest, service.RequestLifetime)
	}
	return longest
}
