package sim

import (
	"time"

	"gaugeyard/internal/edit"
	"gaugeyard/internal/settings"
)

// OperatorMechanisms disables parts of the edit protocol.
type OperatorMechanisms struct {
	// NoCompare commits without comparing revisions, which overwrites concurrent edits.
	NoCompare bool
	// NoReadBack repeats an edit whose reply was lost instead of reading back whether it exists.
	NoReadBack bool
	// NoPush sends no accepted edit to balancers directly; only the store's watches deliver it.
	NoPush bool
}

const (
	// minStoreDelay and maxStoreDelay bound the one-way delay between an operator and the store.
	minStoreDelay = 2 * time.Millisecond
	maxStoreDelay = 20 * time.Millisecond
	// minWatchDelay and maxWatchDelay bound the delay of a watch or a read by a balancer.
	minWatchDelay = 20 * time.Millisecond
	maxWatchDelay = 400 * time.Millisecond
	// storeRetryDelay is the wait after a failed call.
	storeRetryDelay = 500 * time.Millisecond
	// pushTargets is the maximum number of balancers that receive an accepted edit directly.
	pushTargets = 2
)

// storedRevision is one revision of the settings and the edit that made it; 0 is the initial one.
type storedRevision struct {
	snapshot *settings.Snapshot
	edit     int
}

// store models the key-value store of the settings.
type store struct {
	world         *world
	history       []storedRevision
	down          bool
	repliesToLose int
	lastEditID    int
}

func newStore(w *world, tree settings.Tree) *store {
	return &store{world: w, history: []storedRevision{{snapshot: settings.Resolve(tree, 1)}}}
}

func (s *store) head() storedRevision {
	return s.history[len(s.history)-1]
}

// scheduleRead makes a balancer read the settings, with retries while the store is unreachable.
func (s *store) scheduleRead(n *node) {
	incarnation := n.incarnation
	s.world.After(s.world.Between(minWatchDelay, maxWatchDelay), func() {
		switch {
		case !n.up || incarnation != n.incarnation:
		case s.unreachable(n):
			s.world.After(storeRetryDelay, func() { s.scheduleRead(n) })
		default:
			n.applySettings(s.head().snapshot)
		}
	})
}

func (s *store) unreachable(n *node) bool {
	return s.down || n.zone == s.world.network.isolatedZone && n.zone != ""
}

// recover ends an outage; every running balancer reads the settings again.
func (s *store) recover() {
	s.down = false
	for _, n := range s.world.nodes {
		if n.up {
			s.scheduleRead(n)
		}
	}
}

// commit stores a tree derived from the base revision, if base is still the latest.
func (s *store) commit(base uint64, tree settings.Tree, id int) edit.Reply {
	if s.down {
		return edit.NoReply
	}
	allowed := base == s.head().snapshot.Revision || s.world.options.Operators.NoCompare
	if !allowed {
		return edit.No
	}
	if base != s.head().snapshot.Revision {
		s.world.observer.overwrittenEdits++
	}
	revision := s.head().snapshot.Revision + 1
	snapshot := settings.Resolve(tree, revision)
	s.history = append(s.history, storedRevision{snapshot, id})
	s.world.observer.recordEdit(snapshot, id)
	s.notifyWatches(snapshot)
	if s.repliesToLose > 0 {
		s.repliesToLose--
		return edit.NoReply
	}
	return edit.Yes
}

// notifyWatches sends a revision to every balancer that can reach the store on delivery.
func (s *store) notifyWatches(snapshot *settings.Snapshot) {
	for _, n := range s.world.nodes {
		s.world.After(s.world.Between(minWatchDelay, maxWatchDelay), func() {
			if !s.unreachable(n) {
				n.applySettings(snapshot)
			}
		})
	}
}

// restore removes the latest revisions, as a restore from a backup does.
func (s *store) restore(revisions int) {
	s.history = s.history[:max(1, len(s.history)-revisions)]
	s.notifyWatches(s.head().snapshot)
}

// hasEdit answers a read-back: Yes if the history contains the edit, Lost during an outage.
func (s *store) hasEdit(id int) edit.Reply {
	if s.down {
		return edit.NoReply
	}
	for _, revision := range s.history {
		if revision.edit == id {
			return edit.Yes
		}
	}
	return edit.No
}

// operatorEdit drives the edit protocol for one operator's edit.
type operatorEdit struct {
	world   *world
	machine edit.Machine
	id      int
	base    *settings.Snapshot
	mutate  func(settings.Tree)
	tree    settings.Tree
	// pause is the time between reading and writing.
	pause time.Duration
	done  func(edit.Result)
}

// edit makes an operator read the settings, wait for pause and commit a change; done may be nil.
func (w *world) edit(pause time.Duration, mutate func(settings.Tree), done func(edit.Result)) {
	w.store.lastEditID++
	e := &operatorEdit{world: w, id: w.store.lastEditID, mutate: mutate, pause: pause, done: done}
	w.observer.editsMade++
	e.read()
}

func (e *operatorEdit) read() {
	w := e.world
	w.After(w.Between(minStoreDelay, maxStoreDelay), func() {
		if w.store.down {
			w.After(storeRetryDelay, e.read)
			return
		}
		e.base = w.store.head().snapshot
		e.tree = e.base.Tree.Clone()
		e.mutate(e.tree)
		w.After(e.pause, func() { e.perform(e.machine.Start()) })
	})
}

func (e *operatorEdit) perform(call edit.Call) {
	w := e.world
	wait := time.Duration(0)
	if call == edit.PauseThenCommit || call == edit.PauseThenVerify {
		wait = storeRetryDelay
	}
	switch call {
	case edit.Done:
		e.complete()
	case edit.Commit, edit.PauseThenCommit:
		w.After(wait+w.Between(minStoreDelay, maxStoreDelay), func() { e.handleCommitReply(w.store.commit(e.base.Revision, e.tree, e.id)) })
	default:
		w.After(wait+w.Between(minStoreDelay, maxStoreDelay), func() { e.perform(e.machine.HandleVerify(w.store.hasEdit(e.id))) })
	}
}

func (e *operatorEdit) handleCommitReply(reply edit.Reply) {
	if reply == edit.NoReply && e.world.options.Operators.NoReadBack {
		// Without read-back the operator assumes that the edit failed and repeats it.
		e.read()
		return
	}
	e.perform(e.machine.HandleCommit(reply))
}

// complete pushes an accepted edit to some balancers and reports the result.
func (e *operatorEdit) complete() {
	w := e.world
	if e.machine.Result == edit.Accepted && !w.options.Operators.NoPush {
		remaining := pushTargets
		for _, n := range w.listedNodes {
			if remaining > 0 && n.up && !n.paused {
				remaining--
				w.After(w.Between(minStoreDelay, maxStoreDelay), func() { n.applySettings(settings.Resolve(e.tree, e.base.Revision+1)) })
			}
		}
	}
	if e.machine.Result == edit.Conflict {
		w.observer.conflicts++
	}
	if e.done != nil {
		e.done(e.machine.Result)
	}
}
