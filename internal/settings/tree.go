package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"gopkg.in/yaml.v3"
)

// Path locates a node: "" is the root, then service, service/zone,
// service/zone/group and service/zone/group/backend.
type Path string

const maxNameLength = 64

// validName reports whether the name consists of lower-case letters, digits, '.' and '-',
// starts and ends with a letter or digit, and has at most maxNameLength bytes.
func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for i := range len(name) {
		if !isAlphanumeric(name[i]) && name[i] != '.' && name[i] != '-' {
			return false
		}
	}
	return isAlphanumeric(name[0]) && isAlphanumeric(name[len(name)-1])
}

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
}

// Level returns the depth of the path. Paths below the back-end level are invalid.
func (p Path) Level() Level {
	if p == "" {
		return LevelRoot
	}
	return Level(strings.Count(string(p), "/") + 1)
}

// Parent returns the path one level up; the root's parent is the root.
func (p Path) Parent() Path {
	at := strings.LastIndexByte(string(p), '/')
	if at < 0 {
		return ""
	}
	return p[:at]
}

// Child returns the path of a child.
func (p Path) Child(name string) Path {
	if p == "" {
		return Path(name)
	}
	return p + "/" + Path(name)
}

// Service returns the path of the service that the node belongs to; for the root, the root.
func (p Path) Service() Path {
	if at := strings.IndexByte(string(p), '/'); at >= 0 {
		return p[:at]
	}
	return p
}

// Name returns the last part of the path.
func (p Path) Name() string {
	return string(p[strings.LastIndexByte(string(p), '/')+1:])
}

// String returns the path as operators write it; the root is "/".
func (p Path) String() string {
	if p == "" {
		return "/"
	}
	return string(p)
}

// ParsePath parses a path as operators write it; slashes at its ends are ignored.
func ParsePath(text string) (Path, error) {
	trimmed := strings.Trim(text, "/")
	if trimmed == "" {
		return "", nil
	}
	for name := range strings.SplitSeq(trimmed, "/") {
		if !validName(name) {
			return "", fmt.Errorf("path %q: %q is not a name (lower-case letters, digits, '.', '-', at most %d)", text, name, maxNameLength)
		}
	}
	path := Path(trimmed)
	if path.Level() >= levelCount {
		return "", fmt.Errorf("path %q: at most service/zone/group/backend", text)
	}
	return path, nil
}

// Values holds the settings that a node itself sets, in canonical form.
type Values map[Key]string

// Tree holds the operators' settings: the values of each node by path.
type Tree map[Path]Values

// Clone returns a deep copy.
func (t Tree) Clone() Tree {
	copied := make(Tree, len(t))
	for path, values := range t {
		copied[path] = maps.Clone(values)
	}
	return copied
}

// Paths returns every path in order, parents before children.
func (t Tree) Paths() []Path {
	return slices.Sorted(maps.Keys(t))
}

// Set sets a value on the node at path and creates the node if it is missing. The error
// names path, key, value and the allowed values.
func (t Tree) Set(path Path, key Key, text string) error {
	canonical, err := canonicalAt(path.Level(), key, text)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	t.setCanonical(path, key, canonical)
	return nil
}

// SetNearest is like Set, but sets the nearest allowed value for one that is out of range, and then returns
// the difference, which is nil otherwise. It is for settings whose author cannot be asked for another value.
func (t Tree) SetNearest(path Path, key Key, text string) (*Adjustment, error) {
	field, err := fieldAt(path.Level(), key)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	used, err := field.format.nearest(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, field.invalid(text, err))
	}
	t.setCanonical(path, key, used)
	if _, err := field.format.canonical(text); err == nil {
		return nil, nil
	}
	return &Adjustment{Path: path, Key: key, Given: text, Used: used}, nil
}

// Adjustment states that a value was out of range and the nearest allowed one was set.
type Adjustment struct {
	Path Path
	Key  Key
	// Given is the value as written, Used the canonical one that was set.
	Given, Used string
}

// Error implements error. It leaves out the path, which may be one of the caller's own making.
func (a *Adjustment) Error() string {
	return fmt.Sprintf("%s=%q is out of range, %s is used; allowed: %s", a.Key, a.Given, a.Used, fieldsByKey[a.Key].Allowed)
}

// setCanonical sets a canonical value.
func (t Tree) setCanonical(path Path, key Key, canonical string) {
	// Nodes may share their values, so they are copied.
	values := maps.Clone(t[path])
	if values == nil {
		values = Values{}
	}
	values[key] = canonical
	t[path] = values
}

// canonicalAt returns the canonical form of a value for a node of the level, or an error if the
// value is not allowed there.
func canonicalAt(level Level, key Key, text string) (string, error) {
	field, err := fieldAt(level, key)
	if err != nil {
		return "", err
	}
	canonical, err := field.format.canonical(text)
	if err != nil {
		return "", field.invalid(text, err)
	}
	return canonical, nil
}

// fieldAt returns the description of the key, or an error if nodes of the level have no such setting.
func fieldAt(level Level, key Key) (*Field, error) {
	field := fieldsByKey[key]
	if field == nil {
		return nil, fmt.Errorf("unknown setting %q", key)
	}
	if level >= levelCount {
		return nil, fmt.Errorf("at most service/zone/group/backend")
	}
	if level < field.MinLevel || level > field.MaxLevel || (key == KeyAddress && level != LevelService && level != LevelBackend) {
		return nil, fmt.Errorf("%s cannot be set on a %s", key, level)
	}
	return field, nil
}

// invalid returns an error for a value that is not allowed.
func (f *Field) invalid(text string, reason error) error {
	return fmt.Errorf("%s=%q: %w; allowed: %s", f.Key, text, reason, f.Allowed)
}

// Parse parses a tree from YAML and validates it. It returns every error found. Errors in names and
// values carry their line; those that Validate finds do not.
func Parse(document []byte) (Tree, []error) {
	var root yaml.Node
	if err := yaml.Unmarshal(document, &root); err != nil {
		return nil, []error{err}
	}
	tree := Tree{"": Values{}}
	if len(root.Content) == 0 {
		return tree, nil
	}
	errs := parseNode(tree, "", root.Content[0])
	if len(errs) == 0 {
		errs = tree.Validate()
	}
	return tree, errs
}

func parseNode(tree Tree, path Path, node *yaml.Node) []error {
	if node.Kind == yaml.ScalarNode && node.Tag == "!!null" {
		tree[path] = Values{}
		return nil
	}
	if node.Kind != yaml.MappingNode {
		return []error{fmt.Errorf("line %d: %s: must be a mapping of settings", node.Line, path)}
	}
	if tree[path] == nil {
		tree[path] = Values{}
	}
	var errs []error
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		if name.Value == path.Level().childrenKey() && name.Value != "" {
			errs = append(errs, parseChildren(tree, path, value)...)
			continue
		}
		if value.Kind != yaml.ScalarNode {
			errs = append(errs, fmt.Errorf("line %d: %s: %s: unknown setting, or not a single value", name.Line, path, name.Value))
			continue
		}
		if _, duplicate := tree[path][Key(name.Value)]; duplicate {
			errs = append(errs, fmt.Errorf("line %d: %s: %s: given twice", name.Line, path, name.Value))
			continue
		}
		if err := tree.Set(path, Key(name.Value), value.Value); err != nil {
			errs = append(errs, fmt.Errorf("line %d: %w", name.Line, err))
		}
	}
	return errs
}

func parseChildren(tree Tree, path Path, node *yaml.Node) []error {
	if node.Kind != yaml.MappingNode {
		return []error{fmt.Errorf("line %d: %s: %s must be a mapping from names", node.Line, path, path.Level().childrenKey())}
	}
	var errs []error
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, child := node.Content[i], node.Content[i+1]
		if !validName(name.Value) {
			errs = append(errs, fmt.Errorf("line %d: %s: %q is not a name", name.Line, path, name.Value))
			continue
		}
		childPath := path.Child(name.Value)
		if tree[childPath] != nil {
			errs = append(errs, fmt.Errorf("line %d: %s: given twice", name.Line, childPath))
			continue
		}
		errs = append(errs, parseNode(tree, childPath, child)...)
	}
	return errs
}

// Format writes the tree as YAML in canonical order; Parse reads it back.
func (t Tree) Format() ([]byte, error) {
	return yaml.Marshal(t.yamlNode(""))
}

func (t Tree) yamlNode(path Path) *yaml.Node {
	node := &yaml.Node{Kind: yaml.MappingNode}
	for _, field := range Fields {
		if value, ok := t[path][field.Key]; ok {
			node.Content = append(node.Content, scalarNode(string(field.Key)), scalarNode(value))
		}
	}
	children := t.children(path)
	if len(children) == 0 {
		return node
	}
	list := &yaml.Node{Kind: yaml.MappingNode}
	for _, child := range children {
		list.Content = append(list.Content, scalarNode(child.Name()), t.yamlNode(child))
	}
	node.Content = append(node.Content, scalarNode(path.Level().childrenKey()), list)
	return node
}

func scalarNode(value string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Value: value}
}

// children returns the paths directly below path, in order.
func (t Tree) children(path Path) []Path {
	var children []Path
	for candidate := range t {
		if candidate != "" && candidate.Parent() == path {
			children = append(children, candidate)
		}
	}
	slices.Sort(children)
	return children
}

// Effective returns the effective value at path and the path of the node that sets it.
// The source is "default" if no node sets the value; the value is empty if there is no
// default either.
func (t Tree) Effective(path Path, key Key) (value, source string) {
	field, _ := FieldOf(key)
	inheritable := field.MinLevel < field.MaxLevel && key != KeyAddress
	for at := path; ; at = at.Parent() {
		if value, ok := t[at][key]; ok {
			return value, at.String()
		}
		if at == "" || !inheritable {
			return field.Default, "default"
		}
	}
}

// Remove deletes the node at path and everything below it.
func (t Tree) Remove(path Path) {
	for candidate := range t {
		if candidate == path || strings.HasPrefix(string(candidate), string(path)+"/") {
			delete(t, candidate)
		}
	}
}

// Normalize returns the tree in canonical form, or the first error found. It is for
// trees from external sources, such as the store.
func Normalize(tree Tree) (Tree, error) {
	normalized := Tree{"": Values{}}
	for _, path := range tree.Paths() {
		if parsed, err := ParsePath(string(path)); err != nil || parsed != path {
			return nil, fmt.Errorf("invalid path %q", path)
		}
		normalized[path] = Values{}
		for _, key := range slices.Sorted(maps.Keys(tree[path])) {
			if err := normalized.Set(path, key, tree[path][key]); err != nil {
				return nil, err
			}
		}
	}
	if errs := normalized.Validate(); len(errs) > 0 {
		return nil, errs[0]
	}
	return normalized, nil
}
