package emulator

import (
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/snapshot"
)

// storeFault selects how the platform's store misbehaves.
type storeFault uint8

const (
	storeHealthy storeFault = iota
	// storeUnresponsive answers nothing; pending watches get no answer either.
	storeUnresponsive
	// storeUnavailable answers at once with an error.
	storeUnavailable
	// storeReset breaks connections.
	storeReset
	// storeSlow multiplies the latency by storeSlowFactor.
	storeSlow
)

const (
	// storeLatency is how long the healthy store takes to answer.
	storeLatency    = 4 * time.Millisecond
	storeSlowFactor = 60
	// heartbeatInterval is how often servers write their entries; entryTTL is how long an entry
	// lives without a write.
	heartbeatInterval = 1200 * time.Millisecond
	entryTTL          = 3 * heartbeatInterval
	// hangTimeout is how long a call without a deadline blocks.
	hangTimeout = 25 * time.Second
)

// change is one write to the store; one of the pointers, removed or snapshotWrite is set.
type change struct {
	revision   uint64
	settings   *directory.Settings
	record     *directory.Record
	removed    settings.BackendID
	evacuation *directory.Evacuation
	// snapshotWrite marks the balancers' own writes.
	snapshotWrite bool
	at            time.Duration
}

// watcher is a pending watch of a node.
type watcher struct {
	node  *node
	conn  *connection
	after uint64
	reply func(*directory.Changes, error)
	done  bool
}

// store models the part of the platform's store that holds the desired state.
type store struct {
	world       *world
	fault       storeFault
	revision    uint64
	settings    *directory.Settings
	entries     map[settings.BackendID]directory.Record
	lastWritten map[settings.BackendID]time.Duration
	// warmUpEnds is when each server's warm-up ends according to its entry, plus a heartbeat's
	// leeway.
	warmUpEnds map[settings.BackendID]time.Duration
	// evacuated maps each evacuated zone to the revision of its evacuation.
	evacuated map[string]uint64
	// snapshotParts are the stored parts of the snapshot by number.
	snapshotParts map[int]snapshot.Stored
	// unansweredWrites is the share of transactions that are applied but not answered.
	unansweredWrites float64
	history          []change
	// compactedTo is the revision up to which the history was dropped.
	compactedTo uint64
	// watchesBlocked suppresses the answers of all watches.
	watchesBlocked bool
	watchers       []*watcher
	calls          int
	// disturbedAt is when the store was last disturbed.
	disturbedAt time.Duration
}

func newStore(w *world) *store {
	return &store{
		world:         w,
		entries:       map[settings.BackendID]directory.Record{},
		lastWritten:   map[settings.BackendID]time.Duration{},
		warmUpEnds:    map[settings.BackendID]time.Duration{},
		evacuated:     map[string]uint64{},
		snapshotParts: map[int]snapshot.Stored{},
		disturbedAt:   -contactBound,
	}
}

// isStable reports whether the store has been healthy for the contact bound.
func (s *store) isStable() bool {
	return s.fault == storeHealthy && s.world.Now-s.disturbedAt >= contactBound
}

// setFault changes the fault and records the disturbance.
func (s *store) setFault(fault storeFault) {
	s.disturbedAt = s.world.Now
	s.fault = fault
	if fault == storeReset || fault == storeUnavailable {
		for _, watcher := range s.watchers {
			s.completeWatch(watcher, nil, errStore)
		}
	}
	if fault == storeUnresponsive {
		s.watchers = nil
	}
}

// publish stores a configuration and returns its revision.
func (s *store) publish(version uint64, tree settings.Tree) uint64 {
	s.revision++
	s.settings = &directory.Settings{Version: version, Revision: s.revision, Tree: tree}
	s.record(change{revision: s.revision, settings: s.settings})
	return s.revision
}

// setEvacuated begins or ends the evacuation of a zone.
func (s *store) setEvacuated(zone string, active bool) {
	s.revision++
	delete(s.evacuated, zone)
	if active {
		s.evacuated[zone] = s.revision
	}
	s.record(change{revision: s.revision, evacuation: &directory.Evacuation{Zone: zone, Active: active, Revision: s.revision}})
	s.world.observer.evacuationChanged(zone, active)
}

// write stores a server's entry and reports whether it was accepted. A write that changes only the
// heartbeat makes no new revision.
func (s *store) write(backend directory.Backend) (accepted bool) {
	if s.fault == storeUnresponsive || s.fault == storeUnavailable || s.fault == storeReset {
		return false
	}
	s.lastWritten[backend.ID] = s.world.Now
	known, live := s.entries[backend.ID]
	if live && known.Backend.StartTime == backend.StartTime && known.Backend.Draining == backend.Draining && s.world.Now+backend.WarmUp <= s.warmUpEnds[backend.ID] {
		return true
	}
	s.revision++
	s.warmUpEnds[backend.ID] = s.world.Now + backend.WarmUp + heartbeatInterval
	record := directory.Record{Backend: backend, Revision: s.revision}
	s.entries[backend.ID] = record
	s.record(change{revision: s.revision, record: &record})
	if backend.Draining {
		s.world.observer.serverLeft(backend.ID)
	} else {
		s.world.observer.serverReturned(backend.ID)
	}
	return true
}

func (s *store) remove(id settings.BackendID) {
	if _, live := s.entries[id]; !live {
		return
	}
	delete(s.entries, id)
	s.revision++
	s.record(change{revision: s.revision, removed: id})
	s.world.observer.serverLeft(id)
}

// expireOverdue removes entries that were not written for entryTTL.
func (s *store) expireOverdue() {
	if s.fault != storeHealthy {
		return
	}
	for _, server := range s.world.incarnations {
		if _, live := s.entries[server.id]; live && s.world.Now-s.lastWritten[server.id] > entryTTL {
			s.remove(server.id)
		}
	}
}

// expireAll removes all entries, as when their leases run out during an outage.
func (s *store) expireAll() {
	for _, server := range s.world.incarnations {
		s.remove(server.id)
	}
}

// compact drops the history and fails all watches.
func (s *store) compact() {
	s.disturbedAt = s.world.Now
	s.watchesBlocked = false
	s.compactedTo = s.revision
	s.history = nil
	for _, watcher := range s.watchers {
		s.completeWatch(watcher, nil, errStore)
	}
}

func (s *store) record(c change) {
	c.at = s.world.Now
	s.history = append(s.history, c)
	if s.watchesBlocked {
		return
	}
	for _, watcher := range s.watchers {
		s.completeIfChanged(watcher)
	}
}

// reachable reports whether a node's calls reach the store.
func (s *store) reachable(n *node) bool {
	return s.fault != storeUnresponsive && !n.partitionedFromStore
}

// rejects reports whether a node's calls fail at once.
func (s *store) rejects(n *node) bool {
	return s.fault == storeUnavailable || s.fault == storeReset || n.rejectedByStore
}

// setRejected makes the store reject the calls of some nodes, pending watches included, or accept
// them again.
func (s *store) setRejected(nodes []*node, rejected bool) {
	for _, n := range nodes {
		n.rejectedByStore = rejected
	}
	for _, watcher := range s.watchers {
		if watcher.node.rejectedByStore {
			s.completeWatch(watcher, nil, errStore)
		}
	}
}

func (s *store) latency() time.Duration {
	if s.fault == storeSlow {
		return storeSlowFactor * storeLatency
	}
	return storeLatency
}

// deliver carries an answer to a node unless the node is partitioned or the connection is
// blackholed meanwhile.
func (s *store) deliver(n *node, conn *connection, run func()) {
	s.world.After(clientDelay, func() {
		if s.reachable(n) && !conn.isBlackholed() {
			run()
		}
	})
}

// watch replies with the changes after a revision as soon as there are any, or with none after the
// wait.
func (s *store) watch(n *node, conn *connection, after uint64, wait time.Duration, reply func(*directory.Changes, error)) {
	s.calls++
	n.countStoreCall()
	s.world.After(clientDelay, func() {
		if !s.reachable(n) || conn.isBlackholed() {
			return
		}
		watcher := &watcher{node: n, conn: conn, after: after, reply: reply}
		switch {
		case s.rejects(n):
			s.completeWatch(watcher, nil, errStore)
			return
		case after < s.compactedTo:
			s.completeWatch(watcher, nil, errHistory)
			return
		}
		s.watchers = append(s.watchers, watcher)
		if !s.watchesBlocked {
			s.completeIfChanged(watcher)
		}
		s.world.After(wait, func() {
			if s.watchesBlocked {
				return
			}
			s.completeWatch(watcher, s.changesSince(watcher.after), nil)
		})
	})
}

func (s *store) completeIfChanged(w *watcher) {
	if !w.done && s.revision > w.after {
		s.completeWatch(w, s.changesSince(w.after), nil)
	}
}

// completeWatch answers a watch once; a partitioned node does not receive the answer.
func (s *store) completeWatch(w *watcher, changes *directory.Changes, err error) {
	if w.done {
		return
	}
	w.done = true
	for i, other := range s.watchers {
		if other == w {
			s.watchers = append(s.watchers[:i:i], s.watchers[i+1:]...)
			break
		}
	}
	s.world.After(s.latency(), func() { s.deliver(w.node, w.conn, func() { w.reply(changes, err) }) })
}

// changesSince returns the changes after a revision.
func (s *store) changesSince(after uint64) *directory.Changes {
	changes := &directory.Changes{Revision: s.revision}
	for _, c := range s.history {
		switch {
		case c.revision <= after:
		case c.settings != nil:
			changes.Settings = c.settings
		case c.record != nil:
			changes.Records = append(changes.Records, *c.record)
		case c.snapshotWrite:
		case c.evacuation != nil:
			changes.Evacuations = append(changes.Evacuations, *c.evacuation)
		default:
			changes.Removed = append(changes.Removed, directory.Removal{ID: c.removed, Revision: c.revision})
		}
	}
	return changes
}
