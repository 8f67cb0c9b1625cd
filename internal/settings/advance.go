package settings

import (
	"cmp"
	"fmt"
	"slices"
)

// What parts of the work of Advance cost, in units of some 50 ns of a whole core; after
// pieceWork of them it pauses. A process that has a twentieth of a core then takes 5 to 20 ms for
// a piece, during which packets wait.
const (
	copyWork    = 1
	nodeWork    = 8
	serviceWork = 16
	pieceWork   = 4000
)

// Advance returns what the changes lead to from previous, which stays as it is, or why they
// are not allowed. It calls pause between pieces of its work, so that other work is done
// meanwhile; what is in force changes in none of them. Equal to Tree.With, Tree.ValidateFrom
// and ResolveFrom in this order.
func Advance(previous *Snapshot, revision uint64, changes []Change, pause func()) (*Snapshot, error) {
	a := &advance{previous: previous, pause: pause}
	flat, ordered := a.lookAt(changes)
	if !flat {
		return advanceWhole(previous, revision, changes)
	}
	if !ordered {
		changes = slices.Clone(changes)
		slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Path.Service(), b.Path.Service()) })
	}
	if err := a.makeChanges(changes); err != nil {
		return nil, err
	}
	// Its tables are allocated in one go.
	a.work(copyWork * len(a.services))
	a.next = newSnapshot(a.tree, revision, len(previous.Services)+len(a.services))
	if err := a.resolve(); err != nil {
		return nil, err
	}
	return a.next, nil
}

// lookAt tells whether services have nothing to do with each other, before the changes and after,
// and whether the changes are in order of services.
func (a *advance) lookAt(changes []Change) (flat, ordered bool) {
	if len(a.previous.Backends) > 0 || a.previous.references {
		return false, false
	}
	ordered = true
	last := Path("")
	for _, change := range changes {
		if change.Path == "" || change.Key == KeyBackendsFrom || change.Path.Level() >= LevelBackend {
			return false, false
		}
		service := change.Path.Service()
		ordered = ordered && service >= last
		last = service
		a.work(copyWork)
	}
	return true, ordered
}

func advanceWhole(previous *Snapshot, revision uint64, changes []Change) (*Snapshot, error) {
	tree, err := previous.Tree.With(changes)
	if err != nil {
		return nil, err
	}
	if faults := tree.ValidateFrom(previous, changes); len(faults) > 0 {
		return nil, faults[0]
	}
	return ResolveFrom(previous, tree, revision, changes), nil
}

// advance is the work of Advance.
type advance struct {
	previous *Snapshot
	pause    func()
	// done counts the work since the last pause.
	done int
	tree Tree
	// touched are the services that the changes touch, and services the same in order.
	touched  map[Path]bool
	services []Path
	// added has the groups that were changed; of a service that previous does not have these are all.
	added index
	next  *Snapshot
}

// work counts work and pauses after a piece of it.
func (a *advance) work(units int) {
	if a.done += units; a.done >= pieceWork {
		a.done = 0
		a.pause()
	}
}

// makeChanges makes the tree; changes are in order of services.
func (a *advance) makeChanges(changes []Change) error {
	a.tree = make(Tree, len(a.previous.Tree)+len(changes))
	for path, values := range a.previous.Tree {
		a.tree[path] = values
		a.work(copyWork)
	}
	a.touched = make(map[Path]bool, len(changes)/nodesPerService)
	a.added.groups = make(map[Path][]Path, len(changes)/nodesPerService)
	var shared sharedValues
	var emptied []Path
	for len(changes) > 0 {
		var node []Change
		node, changes = cutNode(changes)
		path := node[0].Path
		empty, err := a.tree.change(path, node, &shared)
		if err != nil {
			return err
		}
		if empty {
			emptied = append(emptied, path)
		}
		a.note(path)
		a.work(nodeWork)
	}
	a.tree.prune(emptied)
	return nil
}

// note enters a node that was changed.
func (a *advance) note(path Path) {
	service := path.Service()
	if len(a.services) == 0 || a.services[len(a.services)-1] != service {
		a.services = append(a.services, service)
		a.touched[service] = true
	}
	if path.Level() == LevelGroup && !slices.Contains(a.added.groups[service], path) {
		a.added.addGroup(path)
	}
}

// resolve computes the services that were touched and takes over the others.
func (a *advance) resolve() error {
	groups := groupReader{tree: a.tree}
	inherited := resolveService(a.tree, "", &Service{})
	changed := a.indexOfChanged()
	for _, service := range a.previous.Services {
		if !a.touched[Path(service.Name)] {
			a.next.addService(service)
		}
		a.work(copyWork)
	}
	kept := len(a.next.Services)
	for _, path := range a.services {
		if a.tree[path] == nil {
			continue
		}
		from := &changed
		if a.previous.Tree[path] == nil {
			from = &a.added
			from.groups[path] = a.present(from.groups[path])
		}
		service := a.next.resolve(from, &groups, path, inherited)
		if err := a.next.mayAdd(service); err != nil {
			return err
		}
		a.next.addService(service)
		a.work(serviceWork)
	}
	a.next.Services = merged(a.next.Services[:kept], a.next.Services[kept:])
	return nil
}

// indexOfChanged indexes the touched services that previous has; it walks through the whole
// tree for them alone.
func (a *advance) indexOfChanged() index {
	known := map[Path]bool{}
	for _, path := range a.services {
		if a.previous.Tree[path] != nil {
			known[path] = true
		}
		a.work(copyWork)
	}
	if len(known) == 0 {
		return index{}
	}
	return a.tree.index(known, a.work)
}

// present returns those of the groups that are left, in order.
func (a *advance) present(groups []Path) []Path {
	groups = slices.DeleteFunc(groups, func(path Path) bool { return a.tree[path] == nil })
	slices.SortFunc(groups, compareNodes)
	return groups
}

// mayAdd returns what is wrong with a service that is to be added.
func (s *Snapshot) mayAdd(service *Service) error {
	if !service.Address.IsValid() {
		return fmt.Errorf("%s: address is missing", service.Name)
	}
	if other := s.byAddress[service.Address]; other != nil {
		return fmt.Errorf("%s: address=%q is also the address of %s", service.Name, service.Address, other.Name)
	}
	return nil
}

// merged returns two lists of services in order of name as one.
func merged(a, b []*Service) []*Service {
	all := make([]*Service, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].Name < b[0].Name {
			all, a = append(all, a[0]), a[1:]
		} else {
			all, b = append(all, b[0]), b[1:]
		}
	}
	return append(append(all, a...), b...)
}
