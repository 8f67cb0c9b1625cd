package settings

import (
	"cmp"
	"slices"
)

// index lists the services of a tree, and by service the groups and back ends, in order of
// zone, group and back end.
type index struct {
	services         []Path
	groups, backends map[Path][]Path
}

// index indexes some services, and all where services is nil.
func (t Tree) index(services map[Path]bool) index {
	found := index{groups: make(map[Path][]Path, len(t)/nodesPerService), backends: map[Path][]Path{}}
	for path := range t {
		service := path.Service()
		if services != nil && !services[service] {
			continue
		}
		switch path.Level() {
		case LevelService:
			found.services = append(found.services, path)
		case LevelGroup:
			found.groups[service] = append(found.groups[service], path)
		case LevelBackend:
			found.backends[service] = append(found.backends[service], path)
		}
	}
	found.sort()
	return found
}

func (i *index) addGroup(path Path) {
	service := path.Service()
	i.groups[service] = append(i.groups[service], path)
}

// keep leaves out the groups that are not to be kept.
func (i *index) keep(kept func(Path) bool) {
	for service, groups := range i.groups {
		i.groups[service] = slices.DeleteFunc(groups, func(path Path) bool { return !kept(path) })
	}
}

func (i *index) sort() {
	for _, groups := range i.groups {
		slices.SortFunc(groups, compareNodes)
	}
	for _, backends := range i.backends {
		slices.SortFunc(backends, compareNodes)
	}
}

// compareNodes orders nodes of one level by the nodes above them first.
func compareNodes(a, b Path) int {
	if a == "" || b == "" {
		return cmp.Compare(a, b)
	}
	return cmp.Or(compareNodes(a.Parent(), b.Parent()), cmp.Compare(a, b))
}
