package balancer

import (
	"net/netip"
	"slices"
	"time"

	"gaugeyard/internal/flow"
	"gaugeyard/internal/membership"
)

const (
	// copyBatchSize is the maximum number of flows in one Copy.
	copyBatchSize = 48
	// copyAckTimeout is how long to wait for the acknowledgement of a Copy.
	copyAckTimeout = 500 * time.Millisecond
	// maxCopyQueue bounds the flows queued for copying. A later walk finds the rest.
	maxCopyQueue = 4096
)

// copyTarget is a flow and the node that lacks its record.
type copyTarget struct {
	key  flow.Key
	hash uint64
	to   membership.ID
}

// copier replicates idle flows, which no datagram replicates, to the other node of
// their pair. It sends one batch at a time and waits for its acknowledgement.
type copier struct {
	cursor   int
	queue    []copyTarget
	sent     []copyTarget
	sequence uint32
	sentAt   time.Duration
	// missing marks partitions in which the current walk found a flow to copy.
	missing [membership.PartitionCount]bool
	// granted is the partner that holds every record of a partition, 0 for none.
	granted [membership.PartitionCount]membership.ID
	// draining is set during a walk that began with a non-empty queue. It queues no
	// flow, so that none is queued twice.
	draining bool
	// interrupted is set if the view changed or a peer lost its records during the
	// current walk.
	interrupted bool
	// walks counts uninterrupted walks since the last interruption.
	walks int
	// ungranted is set if the last walk could not grant every partition that it should.
	ungranted bool
}

// enqueue records that a node lacks the flow and queues the flow if there is room.
func (p *copier) enqueue(to membership.ID, f *flow.Flow) {
	p.missing[membership.PartitionOf(f.Hash)] = true
	if !p.draining && len(p.queue) < maxCopyQueue {
		p.queue = append(p.queue, copyTarget{f.Key, f.Hash, to})
	}
}

// viewChanged clears the queue and the grants of pairs that changed.
func (p *copier) viewChanged(previous, next *membership.View) {
	p.queue = p.queue[:0]
	p.draining = false
	p.sent = nil
	p.interrupted = true
	p.walks = 0
	for partition := range p.granted {
		if previous.PairAt(partition) != next.PairAt(partition) {
			p.granted[partition] = 0
		}
	}
}

// resetPeer clears the grants to a peer and restarts the count of walks.
func (p *copier) resetPeer(peer membership.ID) {
	p.interrupted = true
	p.walks = 0
	for partition := range p.granted {
		if p.granted[partition] == peer {
			p.granted[partition] = 0
		}
	}
}

// sendCopy sends the next batch once the last one is acknowledged or timed out.
func (c *Core) sendCopy(now time.Duration, effects *Effects) {
	p := &c.copier
	if len(p.sent) > 0 && now-p.sentAt < copyAckTimeout || c.config.Mechanisms.NoBackgroundCopy {
		return
	}
	// The next walk finds unacknowledged flows again.
	p.sent = nil
	if len(p.queue) == 0 {
		return
	}
	to := p.queue[0].to
	member, live := c.view.Member(to)
	var records []Record
	var sent, remaining []copyTarget
	for _, target := range p.queue {
		if target.to != to || len(sent) >= copyBatchSize {
			remaining = append(remaining, target)
			continue
		}
		if c.addRecord(now, target, &records) {
			sent = append(sent, target)
		}
	}
	if !live || len(sent) == 0 {
		p.queue = remaining
		return
	}
	message := &Message{From: c.self, Copy: &Copy{Sequence: p.sequence + 1, Records: records}}
	if !c.sendControl(now, member.Address, message, bulk, effects) {
		p.queue = append(sent, remaining...)
		return
	}
	p.sequence++
	p.queue = remaining
	p.sent = sent
	p.sentAt = now
}

// addRecord adds a flow to the records and reports whether it did. It skips flows
// that were removed, are not authoritative or have been replicated since.
func (c *Core) addRecord(now time.Duration, target copyTarget, records *[]Record) bool {
	shard := c.flows.ShardOf(target.hash)
	shard.Lock()
	defer shard.Unlock()
	f := shard.Flows[target.key]
	if f == nil {
		return false
	}
	if !c.isAuthoritative(now, f) || f.Replica == target.to {
		return false
	}
	backend := c.backendAddress(f)
	index := slices.IndexFunc(*records, func(r Record) bool { return r.Service == f.Key.Service && r.Backend == backend })
	if index < 0 {
		index = len(*records)
		*records = append(*records, Record{Service: f.Key.Service, Backend: backend})
	}
	record := &(*records)[index]
	if refusals := refusalsOf(f, now); len(refusals) > 0 {
		record.Refused = append(record.Refused, RefusedCaller{Index: len(record.Callers), Refusals: refusals})
	}
	record.Callers = append(record.Callers, f.Key.Caller)
	return true
}

// handleCopyDone records that the other node holds the last batch.
func (c *Core) handleCopyDone(now time.Duration, sequence uint32) {
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

// receiveCopy stores and acknowledges flows sent by a pair's other node.
func (c *Core) receiveCopy(now time.Duration, from membership.ID, message *Copy, effects *Effects) {
	for _, record := range message.Records {
		refusals := make([][]Refusal, len(record.Callers))
		for _, refused := range record.Refused {
			if refused.Index >= 0 && refused.Index < len(refusals) {
				refusals[refused.Index] = refused.Refusals
			}
		}
		for i, caller := range record.Callers {
			key := flow.Key{Caller: caller, Service: record.Service}
			c.storeRecord(now, from, key, record.Backend, refusals[i])
		}
	}
	if member, live := c.view.Member(from); live {
		done := &Message{From: c.self, CopyDone: &CopyDone{Sequence: message.Sequence}}
		c.sendControl(now, member.Address, done, essential, effects)
	}
}

func (c *Core) storeRecord(now time.Duration, from membership.ID, key flow.Key, backend netip.AddrPort, refusals []Refusal) {
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
	mergeRefusals(f, refusals, now)
	target := c.registry.getOrAdd(backend)
	switch {
	case pair.Owner == from && target != nil:
		// The owner's record takes precedence.
		f.Backend = target.id
	case f.Verified:
		return
	case target != nil:
		c.pin(f, target)
	}
	f.Verified = true
	f.Replica = from
	f.ReplicatedAt = now
}

// finishWalk ends one walk over the table. It grants each partition in which no
// record was missing, and whose history is complete here, to the pair's other node.
func (c *Core) finishWalk(now time.Duration, effects *Effects) {
	p := &c.copier
	if !p.interrupted {
		c.grantComplete(now, effects)
		p.walks++
	}
	p.interrupted = false
	p.draining = len(p.queue) > 0
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
		if !c.quorum || !c.continuity.HasCompleteHistory(partition, now, c.longestLifetime()) {
			continue
		}
		if p.missing[partition] {
			p.ungranted = true
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
	if !c.sendControl(now, member.Address, &Message{From: c.self, Grant: &Grant{Partitions: bits}}, essential, effects) {
		c.copier.ungranted = true
		return
	}
	for partition := range c.copier.granted {
		if bits[partition/8]&(1<<(partition%8)) != 0 {
			c.copier.granted[partition] = member.ID
		}
	}
}

// receiveGrant records that this node holds every record of the granted partitions.
func (c *Core) receiveGrant(from membership.ID, grant *Grant) {
	if len(grant.Partitions) != membership.PartitionCount/8 {
		return
	}
	for partition := range membership.PartitionCount {
		granted := grant.Partitions[partition/8]&(1<<(partition%8)) != 0
		if granted && c.view.PairAt(partition).Partner(c.self) == from {
			c.continuity.MarkComplete(partition, c.view)
			// The sender of a grant holds every record itself.
			c.copier.granted[partition] = from
		}
	}
}

// isSettled reports whether at least minWalks walks have completed, no flow waits
// to be copied or acknowledged, and no grant is outstanding.
func (p *copier) isSettled(minWalks int) bool {
	return p.walks >= minWalks && len(p.queue) == 0 && len(p.sent) == 0 && !p.ungranted
}

// longestLifetime returns the longest request lifetime of all services.
func (c *Core) longestLifetime() time.Duration {
	longest := time.Duration(0)
	for _, service := range c.snapshot.Services {
		longest = max(longest, service.RequestLifetime)
	}
	return longest
}
