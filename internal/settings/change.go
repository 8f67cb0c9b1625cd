package settings

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Change is one difference between two trees. An empty Before or After means
// that the node does not set the value.
type Change struct {
	Path   Path   `json:"path"`
	Key    Key    `json:"key"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	return fmt.Sprintf("%s %s: %q -> %q", c.Path, c.Key, c.Before, c.After)
}

// Diff returns the changes that lead from before to after, in path order. Beyond one
// comparison per node, its cost is proportional to the number of differences.
func Diff(before, after Tree) []Change {
	paths := changedPaths(before, after)
	changes := make([]Change, 0, 2*len(paths))
	for _, path := range paths {
		changes = appendDifferences(changes, path, before[path], after[path])
	}
	return changes
}

// appendDifferences adds the changes of one node, in the order of Fields.
func appendDifferences(changes []Change, path Path, before, after Values) []Change {
	first := len(changes)
	for key, value := range after {
		if old := before[key]; old != value {
			changes = append(changes, Change{Path: path, Key: key, Before: old, After: value})
		}
	}
	for key, old := range before {
		if _, present := after[key]; !present && old != "" {
			changes = append(changes, Change{Path: path, Key: key, Before: old})
		}
	}
	slices.SortFunc(changes[first:], func(a, b Change) int { return cmp.Compare(fieldOrder[a.Key], fieldOrder[b.Key]) })
	return changes
}

// fieldOrder maps a key to its index in Fields.
var fieldOrder = func() map[Key]int {
	order := make(map[Key]int, len(Fields))
	for i := range Fields {
		order[Fields[i].Key] = i
	}
	return order
}()

// changedPaths returns the paths of nodes whose own values differ, in order.
func changedPaths(before, after Tree) []Path {
	var paths []Path
	for path, values := range after {
		if !maps.Equal(values, before[path]) {
			paths = append(paths, path)
		}
	}
	for path, values := range before {
		if _, present := after[path]; !present && len(values) > 0 {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return paths
}

// With returns a copy of the tree with the changes applied; the two share the values of
// unchanged nodes, and t is not modified. Missing parents are added. A node that loses its last
// value is removed unless it has children. A change that is not allowed is an error.
func (t Tree) With(changes []Change) (Tree, error) {
	next := make(Tree, len(t)+len(changes))
	maps.Copy(next, t)
	var cache valuesCache
	var emptied []Path
	for len(changes) > 0 {
		var node []Change
		node, changes = splitFirstNode(changes)
		path := node[0].Path
		empty, err := next.applyNode(path, node, &cache)
		if err != nil {
			return nil, err
		}
		if empty {
			emptied = append(emptied, path)
		}
	}
	next.prune(emptied)
	return next, nil
}

// splitFirstNode splits the changes into those of the first node and the rest.
func splitFirstNode(changes []Change) (first, rest []Change) {
	count := 1
	for count < len(changes) && changes[count].Path == changes[0].Path {
		count++
	}
	return changes[:count], changes[count:]
}

// applyNode applies the changes of one node in place and reports whether the node has no values
// left. No other tree may share the map t itself.
func (t Tree) applyNode(path Path, changes []Change, cache *valuesCache) (empty bool, err error) {
	if parsed, err := ParsePath(string(path)); err != nil || parsed != path {
		return false, fmt.Errorf("invalid path %q", path)
	}
	values, err := changedValues(t[path], changes, cache)
	if err != nil {
		return false, err
	}
	t[path] = values
	if len(values) == 0 {
		return true, nil
	}
	t.addParents(path)
	return false, nil
}

// changedValues returns a copy of a node's values with the changes applied. New nodes with equal
// values share them.
func changedValues(values Values, changes []Change, cache *valuesCache) (Values, error) {
	path := changes[0].Path
	if len(values) == 0 {
		list, hasRemoval := cache.buffer[:0], false
		for _, change := range changes {
			list = append(list, setting{change.Key, change.After})
			hasRemoval = hasRemoval || change.After == ""
		}
		cache.buffer = list
		if !hasRemoval {
			created, err := cache.get(path.Level(), list)
			if err != nil {
				err = fmt.Errorf("%s: %w", path, err)
			}
			return created, err
		}
	}
	changed := make(Values, len(values)+len(changes))
	maps.Copy(changed, values)
	for _, change := range changes {
		if change.After == "" {
			delete(changed, change.Key)
			continue
		}
		canonical, err := canonicalAt(path.Level(), change.Key, change.After)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		changed[change.Key] = canonical
	}
	return changed, nil
}

// emptyValues is shared by all nodes that exist only as parents. It must not be modified.
var emptyValues = Values{}

// addParents adds the nodes above path that are missing.
func (t Tree) addParents(path Path) {
	for at := path.Parent(); t[at] == nil; at = at.Parent() {
		t[at] = emptyValues
	}
}

// prune removes the emptied nodes that have neither values nor children, and the ancestors
// that this leaves without either.
func (t Tree) prune(emptied []Path) {
	if len(emptied) == 0 {
		return
	}
	children := make(map[Path]int, len(t))
	for path := range t {
		if path != "" {
			children[path.Parent()]++
		}
	}
	for _, path := range emptied {
		for at := path; at != "" && t[at] != nil && len(t[at]) == 0 && children[at] == 0; at = at.Parent() {
			delete(t, at)
			children[at.Parent()]--
		}
	}
}
