package sim

import (
	"time"

	"gaugeyard/internal/edit"
	"gaugeyard/internal/settings"
)

// OperatorMechanisms are the parts of the edit protocol that an experiment can
// turn off.
type OperatorMechanisms struct {
	// NoCompare writes without comparing, as if no other operator were there.
	NoCompare bool
	// NoReadBack makes a lost edit anew instead of reading back.
	NoReadBack bool
	// NoPush leaves an accepted edit to the store's watches alone.
	NoPush bool
}

const (
	// storeLow and storeHigh bound one way to the store or back.
	storeLow  = 2 * time.Millisecond
	storeHigh = 20 * time.Millisecond
	// watchLow and watchHigh bound how late a watch tells a balancer.
	watchLow  = 20 * time.Millisecond
	watchHigh = 400 * time.Millisecond
	// storeRetry is the wait after a failed call.
	storeRetry = 500 * time.Millisecond
	// pushTargets is how many balancers an accepted edit is handed to.
	pushTargets = 2
)

// accepted is one revision of the tree.
type accepted struct {
	snapshot *settings.Snapshot
	edit     int
}

// store models the key-value service as far as the settings go.
type store struct {
	world    *world
	history  []accepted
	down     bool
	lose     int
	nextEdit int
}

func newStore(w *world, tree settings.Tree) *store {
	return &store{world: w, history: []accepted{{snapshot: settings.Resolve(tree, 1)}}}
}

func (s *store) head() accepted {
	return s.history[len(s.history)-1]
}

// attach lets a balancer that has just started read the tree, and again when
// the store is down.
func (s *store) attach(n *node) {
	run := n.incarnation
	s.world.After(s.world.Between(watchLow, watchHigh), func() {
		switch {
		case !n.up || run != n.incarnation:
		case s.unreachable(n):
			s.world.After(storeRetry, func() { s.attach(n) })
		default:
			n.apply(s.head().snapshot)
		}
	})
}

func (s *store) unreachable(n *node) bool {
	return s.down || n.zone == s.world.network.cutZone && n.zone != ""
}

// recover ends an outage; every balancer reads the tree again.
func (s *store) recover() {
	s.down = false
	for _, n := range s.world.nodes {
		if n.up {
			s.attach(n)
		}
	}
}

// commit writes a tree made from the base revision.
func (s *store) commit(base uint64, tree settings.Tree, id int) edit.Reply {
	if s.down {
		return edit.Lost
	}
	compared := base == s.head().snapshot.Revision || s.world.options.Operators.NoCompare
	if !compared {
		return edit.No
	}
	if base != s.head().snapshot.Revision {
		s.world.truth.overwrittenEdits++
	}
	revision := s.head().snapshot.Revision + 1
	snapshot := settings.Resolve(tree, revision)
	s.history = append(s.history, accepted{snapshot, id})
	s.world.truth.editAccepted(snapshot, id)
	s.announce(snapshot)
	if s.lose > 0 {
		s.lose--
		return edit.Lost
	}
	return edit.Yes
}

// announce tells every balancer's watch, unless the store fails before.
func (s *store) announce(snapshot *settings.Snapshot) {
	for _, n := range s.world.nodes {
		s.world.After(s.world.Between(watchLow, watchHigh), func() {
			if !s.unreachable(n) {
				n.apply(snapshot)
			}
		})
	}
}

// restore puts the store back to an older state, as from a backup.
func (s *store) restore(back int) {
	s.history = s.history[:max(1, len(s.history)-back)]
	s.announce(s.head().snapshot)
}

func (s *store) settle(id int) edit.Reply {
	if s.down {
		return edit.Lost
	}
	for _, revision := range s.history {
		if revision.edit == id {
			return edit.Yes
		}
	}
	return edit.No
}

// operatorEdit is one operator's edit on its way through the protocol.
type operatorEdit struct {
	world   *world
	machine edit.Machine
	id      int
	base    *settings.Snapshot
	mutate  func(settings.Tree)
	tree    settings.Tree
	// pause is how long the operator thinks between reading and writing.
	pause time.Duration
	done  func(edit.Result)
}

// edit lets an operator read the tree, think for a while and change it.
func (w *world) edit(pause time.Duration, mutate func(settings.Tree), done func(edit.Result)) {
	w.store.nextEdit++
	e := &operatorEdit{world: w, id: w.store.nextEdit, mutate: mutate, pause: pause, done: done}
	w.truth.editsMade++
	e.load()
}

func (e *operatorEdit) load() {
	w := e.world
	w.After(w.Between(storeLow, storeHigh), func() {
		if w.store.down {
			w.After(storeRetry, e.load)
			return
		}
		e.base = w.store.head().snapshot
		e.tree = e.base.Tree.Clone()
		e.mutate(e.tree)
		w.After(e.pause, func() { e.do(e.machine.Start()) })
	})
}

func (e *operatorEdit) do(call edit.Call) {
	w := e.world
	wait := time.Duration(0)
	if call == edit.PauseThenCommit || call == edit.PauseThenSettle {
		wait = storeRetry
	}
	switch call {
	case edit.Done:
		e.finish()
	case edit.Commit, edit.PauseThenCommit:
		w.After(wait+w.Between(storeLow, storeHigh), func() { e.committed(w.store.commit(e.base.Revision, e.tree, e.id)) })
	default:
		w.After(wait+w.Between(storeLow, storeHigh), func() { e.do(e.machine.Settled(w.store.settle(e.id))) })
	}
}

func (e *operatorEdit) committed(reply edit.Reply) {
	if reply == edit.Lost && e.world.options.Operators.NoReadBack {
		// The operator takes the edit for failed and makes it once more.
		e.load()
		return
	}
	e.do(e.machine.Committed(reply))
}

// finish hands an accepted tree to some balancers directly.
func (e *operatorEdit) finish() {
	w := e.world
	if e.machine.Result == edit.Accepted && !w.options.Operators.NoPush {
		left := pushTargets
		for _, n := range w.machines {
			if left > 0 && n.up && !n.frozen {
				left--
				w.After(w.Between(storeLow, storeHigh), func() { n.apply(settings.Resolve(e.tree, e.base.Revision+1)) })
			}
		}
	}
	if e.machine.Result == edit.Conflict {
		w.truth.conflicts++
	}
	if e.done != nil {
		e.done(e.machine.Result)
	}
}
