package emulator

import (
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/snapshot"
)

// storeFault is how the platform's store misbehaves.
type storeFault uint8

const (
	storeSound storeFault = iota
	// storeSilent says nothing, and what waited for an answer hears none.
	storeSilent
	// storeBusy answers at once that it is not available.
	storeBusy
	// storeReset breaks connections.
	storeReset
	// storeSlow takes slowFactor times as long.
	storeSlow
)

const (
	// storeAnswer is how long the sound store takes.
	storeAnswer = 4 * time.Millisecond
	slowFactor  = 60
	// heartbeat is how often servers write; entryLife is how long without.
	heartbeat = 1200 * time.Millisecond
	entryLife = 3 * heartbeat
	// hangTime is how long a call without a deadline hangs.
	hangTime = 25 * time.Second
)

// change is one write to the store.
type change struct {
	revision uint64
	settings *directory.Settings
	record   *directory.Record
	gone     settings.BackendID
	zone     *directory.Evacuation
	// kept is set for writes of the balancers' own.
	kept bool
	at   time.Duration
}

// watcher waits for changes.
type watcher struct {
	node  *node
	over  *connection
	after uint64
	reply func(*directory.Changes, error)
	done  bool
}

// store models the platform's store as far as the desired state goes.
type store struct {
	world    *world
	fault    storeFault
	revision uint64
	settings *directory.Settings
	entries  map[settings.BackendID]directory.Record
	written  map[settings.BackendID]time.Duration
	// warmAt is when each server has warmed up by its entry, with a heartbeat of leeway.
	warmAt map[settings.BackendID]time.Duration
	// evacuated has the revision of each zone's evacuation that is in force.
	evacuated map[string]uint64
	// kept are the parts of the snapshot.
	kept map[int]snapshot.Stored
	// lostWrites is the part of transactions that are done and not answered.
	lostWrites float64
	history    []change
	// forgotten is up to where history is dropped.
	forgotten uint64
	// stalled watches hear nothing.
	stalled  bool
	watchers []*watcher
	calls    int
	// unstable is when the store was last disturbed.
	unstable time.Duration
}

func newStore(w *world) *store {
	return &store{
		world:     w,
		entries:   map[settings.BackendID]directory.Record{},
		written:   map[settings.BackendID]time.Duration{},
		warmAt:    map[settings.BackendID]time.Duration{},
		evacuated: map[string]uint64{},
		kept:      map[int]snapshot.Stored{},
		unstable:  -contactBound,
	}
}

// stable tells whether the store has been sound for the contact bound.
func (s *store) stable() bool {
	return s.fault == storeSound && s.world.Now-s.unstable >= contactBound
}

// setFault changes the fault and notes the disturbance.
func (s *store) setFault(fault storeFault) {
	s.unstable = s.world.Now
	s.fault = fault
	if fault == storeReset || fault == storeBusy {
		for _, watcher := range s.watchers {
			s.answer(watcher, nil, errStore)
		}
	}
	if fault == storeSilent {
		s.watchers = nil
	}
}

// publish accepts a configuration.
func (s *store) publish(version uint64, tree settings.Tree) uint64 {
	s.revision++
	s.settings = &directory.Settings{Version: version, Revision: s.revision, Tree: tree}
	s.note(change{revision: s.revision, settings: s.settings})
	return s.revision
}

// evacuate accepts that a zone takes no new flow, or does again.
func (s *store) evacuate(zone string, active bool) {
	s.revision++
	delete(s.evacuated, zone)
	if active {
		s.evacuated[zone] = s.revision
	}
	s.note(change{revision: s.revision, zone: &directory.Evacuation{Zone: zone, Active: active, Revision: s.revision}})
	s.world.truth.evacuated(zone, active)
}

// write takes a server's entry. It changes only when more than the heartbeat does.
func (s *store) write(backend directory.Backend) (taken bool) {
	if s.fault == storeSilent || s.fault == storeBusy || s.fault == storeReset {
		return false
	}
	s.written[backend.ID] = s.world.Now
	known, live := s.entries[backend.ID]
	if live && known.Backend.StartTime == backend.StartTime && known.Backend.Draining == backend.Draining && s.world.Now+backend.WarmUp <= s.warmAt[backend.ID] {
		return true
	}
	s.revision++
	s.warmAt[backend.ID] = s.world.Now + backend.WarmUp + heartbeat
	record := directory.Record{Backend: backend, Revision: s.revision}
	s.entries[backend.ID] = record
	s.note(change{revision: s.revision, record: &record})
	if backend.Draining {
		s.world.truth.drained(backend.ID)
	} else {
		s.world.truth.returned(backend.ID)
	}
	return true
}

// remove drops an entry.
func (s *store) remove(id settings.BackendID) {
	if _, live := s.entries[id]; !live {
		return
	}
	delete(s.entries, id)
	s.revision++
	s.note(change{revision: s.revision, gone: id})
	s.world.truth.drained(id)
}

// expire drops entries that were not written for long.
func (s *store) expire() {
	if s.fault != storeSound {
		return
	}
	for _, server := range s.world.incarnations {
		if _, live := s.entries[server.id]; live && s.world.Now-s.written[server.id] > entryLife {
			s.remove(server.id)
		}
	}
}

// lapse drops all entries, as when leases run out during an outage.
func (s *store) lapse() {
	for _, server := range s.world.incarnations {
		s.remove(server.id)
	}
}

// compact drops the history and cuts watches.
func (s *store) compact() {
	s.unstable = s.world.Now
	s.stalled = false
	s.forgotten = s.revision
	s.history = nil
	for _, watcher := range s.watchers {
		s.answer(watcher, nil, errStore)
	}
}

func (s *store) note(c change) {
	c.at = s.world.Now
	s.history = append(s.history, c)
	if s.stalled {
		return
	}
	for _, watcher := range s.watchers {
		s.answerIfChanged(watcher)
	}
}

// reachable tells whether a node's calls get to the store.
func (s *store) reachable(n *node) bool {
	return s.fault != storeSilent && !n.cutFromStore
}

// refuses tells whether a node's calls are refused at once.
func (s *store) refuses(n *node) bool {
	return s.fault == storeBusy || s.fault == storeReset || n.turnedAway
}

// turnAway refuses the calls of some nodes, those that wait too, and serves all others.
func (s *store) turnAway(nodes []*node, away bool) {
	for _, n := range nodes {
		n.turnedAway = away
	}
	for _, watcher := range s.watchers {
		if watcher.node.turnedAway {
			s.answer(watcher, nil, errStore)
		}
	}
}

// latency is how long the store takes to answer.
func (s *store) latency() time.Duration {
	if s.fault == storeSlow {
		return slowFactor * storeAnswer
	}
	return storeAnswer
}

// deliver carries an answer to a node, unless it is cut off or the connection falls silent
// meanwhile.
func (s *store) deliver(n *node, over *connection, run func()) {
	s.world.After(clientDelay, func() {
		if s.reachable(n) && !over.silent() {
			run()
		}
	})
}

// watch answers changes after a revision as soon as there are any, or none when
// the wait is over.
func (s *store) watch(n *node, over *connection, after uint64, wait time.Duration, reply func(*directory.Changes, error)) {
	s.calls++
	n.countCall()
	s.world.After(clientDelay, func() {
		if !s.reachable(n) || over.silent() {
			return
		}
		watcher := &watcher{node: n, over: over, after: after, reply: reply}
		switch {
		case s.refuses(n):
			s.answer(watcher, nil, errStore)
			return
		case after < s.forgotten:
			s.answer(watcher, nil, errHistory)
			return
		}
		s.watchers = append(s.watchers, watcher)
		if !s.stalled {
			s.answerIfChanged(watcher)
		}
		s.world.After(wait, func() {
			if s.stalled {
				return
			}
			s.answer(watcher, s.since(watcher.after), nil)
		})
	})
}

func (s *store) answerIfChanged(w *watcher) {
	if !w.done && s.revision > w.after {
		s.answer(w, s.since(w.after), nil)
	}
}

// answer ends a watch; a node that is cut off does not hear it.
func (s *store) answer(w *watcher, changes *directory.Changes, err error) {
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
	s.world.After(s.latency(), func() { s.deliver(w.node, w.over, func() { w.reply(changes, err) }) })
}

// since collects the changes after a revision.
func (s *store) since(after uint64) *directory.Changes {
	changes := &directory.Changes{Revision: s.revision}
	for _, c := range s.history {
		switch {
		case c.revision <= after:
		case c.settings != nil:
			changes.Settings = c.settings
		case c.record != nil:
			changes.Records = append(changes.Records, *c.record)
		case c.kept:
		case c.zone != nil:
			changes.Evacuations = append(changes.Evacuations, *c.zone)
		default:
			changes.Removed = append(changes.Removed, directory.Removal{ID: c.gone, Revision: c.revision})
		}
	}
	return changes
}
