package settings

import (
	"cmp"
	"fmt"
	"slices"
)

// Costs of the steps of Advance, in units of about 50 ns on a whole core. Advance pauses whenever
// the accumulated cost reaches maxBatchCost: packets wait during a batch, for 5 to 20 ms in a
// process limited to 5% of a core.
const (
	copyCost     = 1
	nodeCost     = 8
	serviceCost  = 16
	maxBatchCost = 4000
)

// Advance returns the snapshot that results from applying the changes to previous, or an error if
// they are not allowed. It does not modify previous, and calls pause between batches of work so
// that the caller can do other work. The result equals that of Tree.With, Tree.ValidateFrom and
// ResolveFrom in this order.
func Advance(previous *Snapshot, revision uint64, changes []Change, pause func()) (*Snapshot, error) {
	a := &advance{previous: previous, pause: pause}
	independent, ordered := a.classify(changes)
	if !independent {
		return advanceFull(previous, revision, changes)
	}
	if !ordered {
		changes = slices.Clone(changes)
		slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Path.Service(), b.Path.Service()) })
	}
	if err := a.applyChanges(changes); err != nil {
		return nil, err
	}
	// Sized up front, so that the tables do not grow while services are added.
	a.addCost(copyCost * len(a.services))
	a.next = newSnapshot(a.tree, revision, len(previous.Services)+len(a.services))
	if err := a.resolve(); err != nil {
		return nil, err
	}
	return a.next, nil
}

// classify reports whether services are independent of each other both before and after the
// changes, and whether the changes are ordered by service.
func (a *advance) classify(changes []Change) (independent, ordered bool) {
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
		a.addCost(copyCost)
	}
	return true, ordered
}

// advanceFull computes the result without pauses; it handles services that share back ends.
func advanceFull(previous *Snapshot, revision uint64, changes []Change) (*Snapshot, error) {
	tree, err := previous.Tree.With(changes)
	if err != nil {
		return nil, err
	}
	if errs := tree.ValidateFrom(previous, changes); len(errs) > 0 {
		return nil, errs[0]
	}
	return ResolveFrom(previous, tree, revision, changes), nil
}

// advance holds the state of one call of Advance.
type advance struct {
	previous *Snapshot
	pause    func()
	// batchCost is the cost accumulated since the last pause.
	batchCost int
	tree      Tree
	// touched is the set of services that the changes affect; services lists them in order.
	touched  map[Path]bool
	services []Path
	// changedGroups has the changed groups by service. For a service that previous lacks, these
	// are all its groups.
	changedGroups index
	next          *Snapshot
}

// addCost adds to the cost of the batch and pauses when the batch is full.
func (a *advance) addCost(cost int) {
	if a.batchCost += cost; a.batchCost >= maxBatchCost {
		a.batchCost = 0
		a.pause()
	}
}

// applyChanges builds the new tree. The changes must be ordered by service.
func (a *advance) applyChanges(changes []Change) error {
	a.tree = make(Tree, len(a.previous.Tree)+len(changes))
	for path, values := range a.previous.Tree {
		a.tree[path] = values
		a.addCost(copyCost)
	}
	a.touched = make(map[Path]bool, len(changes)/minNodesPerService)
	a.changedGroups.groups = make(map[Path][]Path, len(changes)/minNodesPerService)
	var cache valuesCache
	var emptied []Path
	for len(changes) > 0 {
		var node []Change
		node, changes = splitFirstNode(changes)
		path := node[0].Path
		empty, err := a.tree.applyNode(path, node, &cache)
		if err != nil {
			return err
		}
		if empty {
			emptied = append(emptied, path)
		}
		a.recordNode(path)
		a.addCost(nodeCost)
	}
	a.tree.prune(emptied)
	return nil
}

// recordNode records a changed node.
func (a *advance) recordNode(path Path) {
	service := path.Service()
	if len(a.services) == 0 || a.services[len(a.services)-1] != service {
		a.services = append(a.services, service)
		a.touched[service] = true
	}
	if path.Level() == LevelGroup && !slices.Contains(a.changedGroups.groups[service], path) {
		a.changedGroups.addGroup(path)
	}
}

// resolve computes the touched services and reuses the others.
func (a *advance) resolve() error {
	groups := groupResolver{tree: a.tree}
	inherited := resolveService(a.tree, "", &Service{})
	index := a.indexOfChanged()
	for _, service := range a.previous.Services {
		if !a.touched[Path(service.Name)] {
			a.next.addService(service)
		}
		a.addCost(copyCost)
	}
	unchanged := len(a.next.Services)
	for _, path := range a.services {
		if a.tree[path] == nil {
			continue
		}
		groupIndex := &index
		if a.previous.Tree[path] == nil {
			groupIndex = &a.changedGroups
			groupIndex.groups[path] = a.existing(groupIndex.groups[path])
		}
		service := a.next.resolve(groupIndex, &groups, path, inherited)
		if err := a.next.checkService(service); err != nil {
			return err
		}
		a.next.addService(service)
		a.addCost(serviceCost)
	}
	a.next.Services = mergeServices(a.next.Services[:unchanged], a.next.Services[unchanged:])
	return nil
}

// indexOfChanged indexes the touched services that previous has. It scans the whole tree if there
// are any.
func (a *advance) indexOfChanged() index {
	known := map[Path]bool{}
	for _, path := range a.services {
		if a.previous.Tree[path] != nil {
			known[path] = true
		}
		a.addCost(copyCost)
	}
	if len(known) == 0 {
		return index{}
	}
	return a.tree.index(known, a.addCost)
}

// existing returns the groups that the new tree still has, in order. It modifies groups.
func (a *advance) existing(groups []Path) []Path {
	groups = slices.DeleteFunc(groups, func(path Path) bool { return a.tree[path] == nil })
	slices.SortFunc(groups, compareNodes)
	return groups
}

// checkService returns an error if the service has no address or another service has the same one.
func (s *Snapshot) checkService(service *Service) error {
	if !service.Address.IsValid() {
		return fmt.Errorf("%s: address is missing", service.Name)
	}
	if other := s.byAddress[service.Address]; other != nil {
		return fmt.Errorf("%s: address=%q is also the address of %s", service.Name, service.Address, other.Name)
	}
	return nil
}

// mergeServices merges two lists of services that are sorted by name.
func mergeServices(a, b []*Service) []*Service {
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
