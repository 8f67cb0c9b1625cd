package settings

import (
	"cmp"
	"slices"
)

// index lists the services of a tree, and per service its groups and back ends, ordered by
// zone, group and back end.
type index struct {
	services         []Path
	groups, backends map[Path][]Path
}

// index indexes the given services, or all if services is nil. It calls addCost for each node.
func (t Tree) index(services map[Path]bool, addCost func(units int)) index {
	expected := len(services)
	if services == nil {
		expected = len(t) / minNodesPerService
	}
	found := index{groups: make(map[Path][]Path, expected), backends: map[Path][]Path{}}
	for path := range t {
		addCost(copyCost)
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

func (i *index) sort() {
	for _, groups := range i.groups {
		slices.SortFunc(groups, compareNodes)
	}
	for _, backends := range i.backends {
		slices.SortFunc(backends, compareNodes)
	}
}

// compareNodes orders nodes of one level by their ancestors first, from the root down.
func compareNodes(a, b Path) int {
	if a == "" || b == "" {
		return cmp.Compare(a, b)
	}
	return cmp.Or(compareNodes(a.Parent(), b.Parent()), cmp.Compare(a, b))
}
