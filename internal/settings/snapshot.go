package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

// BackendID identifies a back end by its address, the same on every node and
// in every revision.
type BackendID uint64

// BackendIDOf returns the identifier of the back end at the address.
func BackendIDOf(address netip.AddrPort) BackendID {
	return BackendID(xxh3.HashString(address.String()) | 1)
}

// Backend is one server with its effective settings.
type Backend struct {
	ID      BackendID
	Path    Path
	Zone    string
	Address netip.AddrPort
	// LoadAddress is where load is reported; the zero value is nowhere.
	LoadAddress netip.AddrPort
	Draining    bool
	Weight      float64
	Slots       int
	Connections int
	QueueFactor float64
	SlowStart   time.Duration
	DrainTime   time.Duration
}

// Service is one service with its effective settings and its back ends in
// order of identifier.
type Service struct {
	Name            string
	Address         netip.AddrPort
	RequestDeadline time.Duration
	RequestLifetime time.Duration
	Repeatable      bool
	RetryBudget     float64
	FlowIdle        time.Duration
	LoadFactor      float64
	RefusalRetry    time.Duration
	MaxDatagram     int
	Backends        []*Backend
	// Groups are the groups whose back ends announce themselves, in order of path.
	Groups []Group
}

// Group is one back-end group whose servers announce themselves.
type Group struct {
	Path Path
	// Discover is the name that the group's servers announce.
	Discover string
	// Share is the group's part of the service's new flows, relative to its siblings.
	Share float64
	// SlowStart is the time over which a new back end's share grows to full.
	SlowStart time.Duration
}

// Snapshot is a resolved tree at one revision. It is read-only.
type Snapshot struct {
	// Revision counts accepted edits; a higher one replaces a lower one, never the reverse.
	Revision uint64
	Tree     Tree
	Services []*Service
	// Backends lists each back end once, also when services share it.
	Backends  map[BackendID]*Backend
	byAddress map[netip.AddrPort]*Service
}

// ServiceAt returns the service of the address, or nil.
func (s *Snapshot) ServiceAt(address netip.AddrPort) *Service {
	return s.byAddress[address]
}

// Resolve computes the effective settings of a valid tree.
func Resolve(tree Tree, revision uint64) *Snapshot {
	snapshot := &Snapshot{
		Revision:  revision,
		Tree:      tree,
		Backends:  map[BackendID]*Backend{},
		byAddress: map[netip.AddrPort]*Service{},
	}
	children := tree.childIndex()
	for _, path := range children[""] {
		service := resolveService(tree, path)
		root := backendsRoot(tree, path)
		service.Backends = snapshot.resolveBackends(tree, children, root)
		service.Groups = resolveGroups(tree, children, root)
		snapshot.Services = append(snapshot.Services, service)
		snapshot.byAddress[service.Address] = service
	}
	return snapshot
}

// backendsRoot follows backends_from to the service that lists the back ends.
func backendsRoot(tree Tree, path Path) Path {
	for {
		next, given := tree[path][KeyBackendsFrom]
		if !given {
			return path
		}
		path = Path(next)
	}
}

func resolveService(tree Tree, path Path) *Service {
	reader := reader{tree, path}
	return &Service{
		Name:            path.Name(),
		Address:         reader.address(KeyAddress),
		RequestDeadline: reader.duration(KeyRequestDeadline),
		RequestLifetime: reader.duration(KeyRequestLifetime),
		Repeatable:      reader.text(KeyRepeatable) == "true",
		RetryBudget:     reader.float(KeyRetryBudget),
		FlowIdle:        reader.duration(KeyFlowIdle),
		LoadFactor:      reader.float(KeyLoadFactor),
		RefusalRetry:    reader.duration(KeyRefusalRetry),
		MaxDatagram:     reader.size(KeyMaxDatagram),
	}
}

// resolveGroups returns the groups below service whose back ends announce themselves.
func resolveGroups(tree Tree, children childIndex, service Path) []Group {
	var groups []Group
	for _, zone := range children[service] {
		for _, path := range children[zone] {
			reader := reader{tree, path}
			discover := reader.text(KeyDiscover)
			if discover == "" {
				continue
			}
			groups = append(groups, Group{
				Path:      path,
				Discover:  discover,
				Share:     reader.float(KeyShare),
				SlowStart: reader.duration(KeySlowStart),
			})
		}
	}
	return groups
}

func (s *Snapshot) resolveBackends(tree Tree, children childIndex, service Path) []*Backend {
	var backends []*Backend
	for _, zone := range children[service] {
		for _, group := range children[zone] {
			for _, path := range children[group] {
				backend := resolveBackend(tree, path, zone.Name())
				if known := s.Backends[backend.ID]; known != nil {
					backend = known
				}
				s.Backends[backend.ID] = backend
				backends = append(backends, backend)
			}
		}
	}
	slices.SortFunc(backends, func(a, b *Backend) int { return cmp.Compare(a.ID, b.ID) })
	return backends
}

func resolveBackend(tree Tree, path Path, zone string) *Backend {
	reader := reader{tree, path}
	address := reader.address(KeyAddress)
	return &Backend{
		LoadAddress: reader.address(KeyLoadAddress),
		ID:          BackendIDOf(address),
		Path:        path,
		Zone:        zone,
		Address:     address,
		Draining:    reader.text(KeyState) == "drain",
		Weight:      reader.float(KeyWeight),
		Slots:       reader.int(KeySlots),
		Connections: reader.int(KeyConnections),
		QueueFactor: reader.float(KeyQueueFactor),
		SlowStart:   reader.duration(KeySlowStart),
		DrainTime:   reader.duration(KeyDrainTime),
	}
}

// reader gives typed effective values of one node. The tree is valid, so
// parse errors cannot occur and are not returned.
type reader struct {
	tree Tree
	path Path
}

func (r reader) text(key Key) string {
	value, _ := r.tree.Effective(r.path, key)
	return value
}

func (r reader) address(key Key) netip.AddrPort {
	address, _ := netip.ParseAddrPort(r.text(key))
	return address
}

func (r reader) duration(key Key) time.Duration {
	value, _ := time.ParseDuration(r.text(key))
	return value
}

func (r reader) float(key Key) float64 {
	value, _ := strconv.ParseFloat(r.text(key), 64)
	return value
}

func (r reader) int(key Key) int {
	value, _ := strconv.Atoi(r.text(key))
	return value
}

func (r reader) size(key Key) int {
	value, _ := parseSize(r.text(key))
	return value
}

// Validate returns every fault of the tree as a whole: missing parents and
// addresses, addresses given twice, dangling and circular references.
func (t Tree) Validate() []error {
	var faults []error
	services := map[string]Path{}
	backends := map[string]Path{}
	for _, path := range t.Paths() {
		if path != "" && t[path.Parent()] == nil {
			faults = append(faults, fmt.Errorf("%s: parent %s does not exist", path, path.Parent()))
		}
		switch path.Level() {
		case LevelService:
			faults = append(faults, t.validateAddress(path, services)...)
			faults = append(faults, t.validateReference(path)...)
		case LevelBackend:
			faults = append(faults, t.validateAddress(path, backends)...)
		}
	}
	return faults
}

func (t Tree) validateAddress(path Path, seen map[string]Path) []error {
	address, given := t[path][KeyAddress]
	if !given {
		return []error{fmt.Errorf("%s: address is missing", path)}
	}
	if other, taken := seen[address]; taken {
		return []error{fmt.Errorf("%s: address=%q is also the address of %s", path, address, other)}
	}
	seen[address] = path
	return nil
}

func (t Tree) validateReference(path Path) []error {
	name, given := t[path][KeyBackendsFrom]
	if !given {
		return nil
	}
	if len(t.children(path)) > 0 {
		return []error{fmt.Errorf("%s: has backends_from and zones of its own; only one is allowed", path)}
	}
	visited := []Path{path}
	for at := Path(name); ; {
		if t[at] == nil {
			return []error{fmt.Errorf("%s: backends_from=%q: service %s does not exist", path, name, at)}
		}
		if slices.Contains(visited, at) {
			return []error{fmt.Errorf("%s: backends_from=%q: circular reference through %s", path, name, at)}
		}
		visited = append(visited, at)
		next, more := t[at][KeyBackendsFrom]
		if !more {
			return nil
		}
		at = Path(next)
	}
}
