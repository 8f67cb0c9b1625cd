package settings

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
)

// nodeError is an error at one node.
type nodeError struct {
	path Path
	err  error
}

// Validate returns every error of the tree as a whole, in path order: missing parents and
// addresses, duplicate addresses, dangling and circular references. It does not check values.
func (t Tree) Validate() []error {
	var nodeErrs []nodeError
	add := func(path Path, err error) {
		if err != nil {
			nodeErrs = append(nodeErrs, nodeError{path, err})
		}
	}
	services := &addresses{first: make(map[string]Path, len(t)/minNodesPerService)}
	backends := &addresses{first: map[string]Path{}}
	for path := range t {
		if path != "" && t[path.Parent()] == nil {
			add(path, fmt.Errorf("%s: parent %s does not exist", path, path.Parent()))
		}
		switch path.Level() {
		case LevelService:
			add(path, t.recordAddress(path, services))
			add(path, t.validateReference(path))
		case LevelBackend:
			add(path, t.recordAddress(path, backends))
		}
	}
	for _, seen := range []*addresses{services, backends} {
		nodeErrs = append(nodeErrs, seen.duplicates()...)
	}
	slices.SortStableFunc(nodeErrs, func(a, b nodeError) int { return cmp.Compare(a.path, b.path) })
	var errs []error
	for _, nodeErr := range nodeErrs {
		errs = append(errs, nodeErr.err)
	}
	return errs
}

// ValidateFrom returns the errors of a tree that With made from the valid tree of previous by
// applying the changes. It checks only the services that the changes affect, except that a tree
// with back ends or references is validated as a whole.
func (t Tree) ValidateFrom(previous *Snapshot, changes []Change) []error {
	touched := touchedServices(changes)
	if len(previous.Backends) > 0 || changesBackend(changes) || t.hasReferences(previous.Services, touched) {
		return t.Validate()
	}
	var errs []error
	seen := map[netip.AddrPort]Path{}
	for _, path := range slices.Sorted(maps.Keys(touched)) {
		if path == "" || t[path] == nil {
			continue
		}
		address, err := netip.ParseAddrPort(t[path][KeyAddress])
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: address is missing", path))
			continue
		}
		other := seen[address]
		if known := previous.byAddress[address]; known != nil && !touched[Path(known.Name)] {
			other = Path(known.Name)
		}
		if other != "" {
			errs = append(errs, fmt.Errorf("%s: address=%q is also the address of %s", path, address, other))
		}
		seen[address] = path
	}
	return errs
}

func changesBackend(changes []Change) bool {
	return slices.ContainsFunc(changes, func(change Change) bool { return change.Path.Level() >= LevelBackend })
}

// touchedServices returns the services with a change at or below them; "" stands for the root.
func touchedServices(changes []Change) map[Path]bool {
	touched := map[Path]bool{}
	for _, change := range changes {
		touched[change.Path.Service()] = true
	}
	return touched
}

// minNodesPerService is the minimum number of nodes of a service with a group.
const minNodesPerService = 3

// addresses maps each address to its first node in path order, and to all further nodes with
// the same address.
type addresses struct {
	first  map[string]Path
	others map[string][]Path
}

// recordAddress adds the node's address to seen. It returns an error if the node has none.
func (t Tree) recordAddress(path Path, seen *addresses) error {
	address, ok := t[path][KeyAddress]
	if !ok {
		return fmt.Errorf("%s: address is missing", path)
	}
	first, found := seen.first[address]
	if !found {
		seen.first[address] = path
		return nil
	}
	if seen.others == nil {
		seen.others = map[string][]Path{}
	}
	seen.first[address] = min(first, path)
	seen.others[address] = append(seen.others[address], max(first, path))
	return nil
}

// duplicates returns an error for each node whose address an earlier node has.
func (a *addresses) duplicates() []nodeError {
	var nodeErrs []nodeError
	for address, paths := range a.others {
		for _, path := range paths {
			err := fmt.Errorf("%s: address=%q is also the address of %s", path, address, a.first[address])
			nodeErrs = append(nodeErrs, nodeError{path, err})
		}
	}
	return nodeErrs
}

func (t Tree) validateReference(path Path) error {
	name, ok := t[path][KeyBackendsFrom]
	if !ok {
		return nil
	}
	if len(t.children(path)) > 0 {
		return fmt.Errorf("%s: backends_from and zones are mutually exclusive", path)
	}
	visited := []Path{path}
	for at := Path(name); ; {
		if t[at] == nil {
			return fmt.Errorf("%s: backends_from=%q: service %s does not exist", path, name, at)
		}
		if slices.Contains(visited, at) {
			return fmt.Errorf("%s: backends_from=%q: circular reference through %s", path, name, at)
		}
		visited = append(visited, at)
		next, ok := t[at][KeyBackendsFrom]
		if !ok {
			return nil
		}
		at = Path(next)
	}
}
