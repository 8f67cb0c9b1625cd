package settings

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

// BackendID identifies a back end by its address. It is the same on every balancer and
// in every revision.
type BackendID uint64

// BackendIDOf returns the identifier of the back end at the address. It is never 0.
func BackendIDOf(address netip.AddrPort) BackendID {
	return BackendID(xxh3.HashString(address.String()) | 1)
}

// Backend is one server with its effective settings.
type Backend struct {
	ID      BackendID
	Path    Path
	Zone    string
	Address netip.AddrPort
	// LoadAddress is where the back end serves load reports; the zero value if it does not.
	LoadAddress netip.AddrPort
	Draining    bool
	Weight      float64
	Slots       int
	Connections int
	QueueFactor float64
	SlowStart   time.Duration
	DrainTime   time.Duration
}

// Service is one service with its effective settings and its back ends, ordered
// by identifier.
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
	// Groups lists the groups whose back ends announce themselves, in order of path.
	Groups []Group
}

// Group is one back-end group whose servers announce themselves.
type Group struct {
	Path Path
	// Discover is the name that the group's servers announce.
	Discover string
	// Share is the group's share of the service's new flows, relative to the other groups.
	Share float64
	// SlowStart is the time over which a new back end's share grows to full.
	SlowStart time.Duration
	// WarmUpRate limits the new flows per second to a back end while it warms up; 0 means no limit.
	WarmUpRate float64
	// Connections is the maximum number of concurrent flows of a back end.
	Connections int
}

// Snapshot is a resolved tree at one revision. It is immutable.
type Snapshot struct {
	// Revision counts accepted edits. A higher revision replaces a lower one, never the reverse.
	Revision uint64
	Tree     Tree
	Services []*Service
	// Backends has each back end once, even if several services share it.
	Backends  map[BackendID]*Backend
	byAddress map[netip.AddrPort]*Service
	// references is set if a service uses the back ends of another one.
	references bool
}

// ServiceAt returns the service at the address, or nil if there is none.
func (s *Snapshot) ServiceAt(address netip.AddrPort) *Service {
	return s.byAddress[address]
}

// Resolve computes the effective settings of a valid tree.
func Resolve(tree Tree, revision uint64) *Snapshot {
	index := tree.index(nil, ignoreCost)
	snapshot := newSnapshot(tree, revision, len(index.services))
	inherited := resolveService(tree, "", &Service{})
	groups := groupResolver{tree: tree}
	slices.Sort(index.services)
	for _, path := range index.services {
		snapshot.addService(snapshot.resolve(&index, &groups, path, inherited))
	}
	return snapshot
}

// ResolveFrom computes the effective settings of a valid tree that results from applying
// the changes to the tree of previous. Where possible it reuses the services that the
// changes do not affect, which bounds the cost of a small edit in a large tree.
func ResolveFrom(previous *Snapshot, tree Tree, revision uint64, changes []Change) *Snapshot {
	touched := touchedServices(changes)
	if touched[""] || len(previous.Backends) > 0 || changesBackend(changes) || tree.hasReferences(previous.Services, touched) {
		// All services inherit from the root, and services may share back ends and groups.
		return Resolve(tree, revision)
	}
	snapshot := newSnapshot(tree, revision, len(previous.Services)+len(touched))
	for _, service := range previous.Services {
		if path := Path(service.Name); !touched[path] && tree[path] != nil {
			snapshot.addService(service)
		}
	}
	index := previous.indexTouched(tree, touched, changes)
	inherited := resolveService(tree, "", &Service{})
	groups := groupResolver{tree: tree}
	for path := range touched {
		if tree[path] != nil {
			snapshot.addService(snapshot.resolve(&index, &groups, path, inherited))
		}
	}
	slices.SortFunc(snapshot.Services, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return snapshot
}

// ignoreCost is the cost callback of callers that do not pause.
func ignoreCost(int) {}

// indexTouched indexes the touched services of a tree without back ends. If all of them are new,
// the changes contain all their nodes, and the tree is not scanned.
func (s *Snapshot) indexTouched(tree Tree, touched map[Path]bool, changes []Change) index {
	for path := range touched {
		if s.Tree[path] != nil {
			return tree.index(touched, ignoreCost)
		}
	}
	found := index{groups: make(map[Path][]Path, len(touched))}
	for i, change := range changes {
		if change.Path.Level() == LevelGroup && (i == 0 || changes[i-1].Path != change.Path) && tree[change.Path] != nil {
			found.addGroup(change.Path)
		}
	}
	found.sort()
	return found
}

// hasReferences reports whether one of the services uses the back ends of another one.
func (t Tree) hasReferences(services []*Service, touched map[Path]bool) bool {
	for _, service := range services {
		if _, ok := t[Path(service.Name)][KeyBackendsFrom]; ok {
			return true
		}
	}
	for path := range touched {
		if _, ok := t[path][KeyBackendsFrom]; ok {
			return true
		}
	}
	return false
}

// Discovers reports whether a service uses the servers that announce themselves under the name.
func (s *Snapshot) Discovers(name string) bool {
	return slices.ContainsFunc(s.Services, func(service *Service) bool {
		return slices.ContainsFunc(service.Groups, func(group Group) bool { return group.Discover == name })
	})
}

func newSnapshot(tree Tree, revision uint64, services int) *Snapshot {
	return &Snapshot{
		Revision:  revision,
		Tree:      tree,
		Services:  make([]*Service, 0, services),
		Backends:  map[BackendID]*Backend{},
		byAddress: make(map[netip.AddrPort]*Service, services),
	}
}

func (s *Snapshot) addService(service *Service) {
	s.Services = append(s.Services, service)
	s.byAddress[service.Address] = service
}

// resolve computes one service; inherited has the effective values at the root.
func (s *Snapshot) resolve(index *index, groups *groupResolver, path Path, inherited *Service) *Service {
	service := resolveService(s.Tree, path, inherited)
	root := backendsOwner(s.Tree, path)
	s.references = s.references || root != path
	service.Backends = s.resolveBackends(s.Tree, index.backends[root])
	service.Groups = groups.resolve(index.groups[root])
	return service
}

// backendsOwner follows backends_from to the service that defines the back ends.
func backendsOwner(tree Tree, path Path) Path {
	for {
		next, ok := tree[path][KeyBackendsFrom]
		if !ok {
			return path
		}
		path = Path(next)
	}
}

// resolveService returns the effective values at path: its own, else the inherited ones.
// The root falls back to the defaults.
func resolveService(tree Tree, path Path, inherited *Service) *Service {
	service := *inherited
	service.Name = path.Name()
	read := localReader{values: tree[path], root: path == ""}
	read.address(KeyAddress, &service.Address)
	read.duration(KeyRequestDeadline, &service.RequestDeadline)
	read.duration(KeyRequestLifetime, &service.RequestLifetime)
	read.bool(KeyRepeatable, &service.Repeatable)
	read.float(KeyRetryBudget, &service.RetryBudget)
	read.duration(KeyFlowIdle, &service.FlowIdle)
	read.float(KeyLoadFactor, &service.LoadFactor)
	read.duration(KeyRefusalRetry, &service.RefusalRetry)
	read.size(KeyMaxDatagram, &service.MaxDatagram)
	return &service
}

// localReader parses the values that one node itself sets, or the defaults at the root, into
// fields. It leaves a field unchanged if there is no value. The tree is valid, so parse errors
// cannot occur and are not returned.
type localReader struct {
	values Values
	root   bool
}

func (r localReader) text(key Key) (string, bool) {
	if value, ok := r.values[key]; ok {
		return value, true
	}
	if !r.root {
		return "", false
	}
	value := fieldsByKey[key].Default
	return value, value != ""
}

func (r localReader) address(key Key, field *netip.AddrPort) {
	if text, ok := r.text(key); ok {
		*field, _ = netip.ParseAddrPort(text)
	}
}

func (r localReader) duration(key Key, field *time.Duration) {
	if text, ok := r.text(key); ok {
		*field, _ = time.ParseDuration(text)
	}
}

func (r localReader) float(key Key, field *float64) {
	if text, ok := r.text(key); ok {
		*field, _ = strconv.ParseFloat(text, 64)
	}
}

func (r localReader) bool(key Key, field *bool) {
	if text, ok := r.text(key); ok {
		*field = text == "true"
	}
}

func (r localReader) size(key Key, field *int) {
	if text, ok := r.text(key); ok {
		*field, _ = parseSize(text)
	}
}

func (s *Snapshot) resolveBackends(tree Tree, paths []Path) []*Backend {
	var backends []*Backend
	for _, path := range paths {
		zone := path.Parent().Parent()
		evacuated := tree[zone][KeyEvacuated] == "true"
		backend := resolveBackend(tree, path, zone.Name(), evacuated)
		if known := s.Backends[backend.ID]; known != nil {
			backend = known
		}
		s.Backends[backend.ID] = backend
		backends = append(backends, backend)
	}
	slices.SortFunc(backends, func(a, b *Backend) int { return cmp.Compare(a.ID, b.ID) })
	return backends
}

func resolveBackend(tree Tree, path Path, zone string, evacuated bool) *Backend {
	reader := effectiveReader{tree, path}
	address := reader.address(KeyAddress)
	return &Backend{
		LoadAddress: reader.address(KeyLoadAddress),
		ID:          BackendIDOf(address),
		Path:        path,
		Zone:        zone,
		Address:     address,
		Draining:    reader.text(KeyState) == "drain" || evacuated,
		Weight:      reader.float(KeyWeight),
		Slots:       reader.int(KeySlots),
		Connections: reader.int(KeyConnections),
		QueueFactor: reader.float(KeyQueueFactor),
		SlowStart:   reader.duration(KeySlowStart),
		DrainTime:   reader.duration(KeyDrainTime),
	}
}

// effectiveReader returns the effective values of one node as their types. The tree is valid, so
// parse errors cannot occur and are not returned.
type effectiveReader struct {
	tree Tree
	path Path
}

func (r effectiveReader) text(key Key) string {
	value, _ := r.tree.Effective(r.path, key)
	return value
}

func (r effectiveReader) address(key Key) netip.AddrPort {
	address, _ := netip.ParseAddrPort(r.text(key))
	return address
}

func (r effectiveReader) duration(key Key) time.Duration {
	value, _ := time.ParseDuration(r.text(key))
	return value
}

func (r effectiveReader) float(key Key) float64 {
	value, _ := strconv.ParseFloat(r.text(key), 64)
	return value
}

func (r effectiveReader) int(key Key) int {
	value, _ := strconv.Atoi(r.text(key))
	return value
}
