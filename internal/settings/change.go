package settings

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Change is one difference between two trees. An empty Before or After means
// that the node did not give the value.
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

// Diff returns the changes that lead from before to after, in path order. Its cost
// beyond one look at each node grows with the differences alone.
func Diff(before, after Tree) []Change {
	paths := differing(before, after)
	changes := make([]Change, 0, 2*len(paths))
	for _, path := range paths {
		changes = appendDifferences(changes, path, before[path], after[path])
	}
	return changes
}

// appendDifferences adds the changes of one node, in the order of Fields.
func appendDifferences(changes []Change, path Path, before, after Values) []Change {
	first := len(changes)
	for key, now := range after {
		if old := before[key]; old != now {
			changes = append(changes, Change{Path: path, Key: key, Before: old, After: now})
		}
	}
	for key, old := range before {
		if _, kept := after[key]; !kept && old != "" {
			changes = append(changes, Change{Path: path, Key: key, Before: old})
		}
	}
	slices.SortFunc(changes[first:], func(a, b Change) int { return cmp.Compare(fieldOrder[a.Key], fieldOrder[b.Key]) })
	return changes
}

// fieldOrder is where a key stands in Fields.
var fieldOrder = func() map[Key]int {
	order := make(map[Key]int, len(Fields))
	for i := range Fields {
		order[Fields[i].Key] = i
	}
	return order
}()

// differing returns the paths of nodes whose own values differ, in order.
func differing(before, after Tree) []Path {
	var paths []Path
	for path, values := range after {
		if !maps.Equal(values, before[path]) {
			paths = append(paths, path)
		}
	}
	for path, values := range before {
		if _, kept := after[path]; !kept && len(values) > 0 {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return paths
}

// With returns the tree with the changes made, and leaves t as it is: the two share
// the nodes that do not differ. Missing parents are added, and a node whose last value
// went is removed unless it has children. A change that is not allowed is an error.
func (t Tree) With(changes []Change) (Tree, error) {
	next := make(Tree, len(t)+len(changes))
	maps.Copy(next, t)
	var shared sharedValues
	var emptied []Path
	for len(changes) > 0 {
		var node []Change
		node, changes = cutNode(changes)
		path := node[0].Path
		empty, err := next.change(path, node, &shared)
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

// cutNode splits off the changes of the first node.
func cutNode(changes []Change) (first, rest []Change) {
	count := 1
	for count < len(changes) && changes[count].Path == changes[0].Path {
		count++
	}
	return changes[:count], changes[count:]
}

// change makes the changes of one node in a tree that does not share it; it tells whether the
// node has no values any more.
func (t Tree) change(path Path, changes []Change, shared *sharedValues) (empty bool, err error) {
	if parsed, err := ParsePath(string(path)); err != nil || parsed != path {
		return false, fmt.Errorf("%q is not a path", path)
	}
	values, err := withChanges(t[path], changes, shared)
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

// withChanges returns the values of a node with the changes made, and leaves values as they
// are. New nodes with the same values share them.
func withChanges(values Values, changes []Change, shared *sharedValues) (Values, error) {
	path := changes[0].Path
	if len(values) == 0 {
		given, removes := shared.buffer[:0], false
		for _, change := range changes {
			given = append(given, setting{change.Key, change.After})
			removes = removes || change.After == ""
		}
		shared.buffer = given
		if !removes {
			made, err := shared.of(path.Level(), given)
			if err != nil {
				err = fmt.Errorf("%s: %w", path, err)
			}
			return made, err
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

// noValues are those of nodes that are there for what is below them; they are shared.
var noValues = Values{}

// addParents adds the nodes above path that are missing.
func (t Tree) addParents(path Path) {
	for at := path.Parent(); t[at] == nil; at = at.Parent() {
		t[at] = noValues
	}
}

// prune removes those of the emptied nodes that have neither values nor children, and
// the nodes above them that have none left.
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
