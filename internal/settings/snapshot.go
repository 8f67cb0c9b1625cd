package settings

import (
	"cmp"
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
	// WarmUpRate is how many new flows a second a back end gets while it warms up; 0 is no limit.
	WarmUpRate float64
	// Connections is how many flows a back end holds at once.
	Connections int
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
	// references is set where a service uses the back ends of another one.
	references bool
}

// ServiceAt returns the service of the address, or nil.
func (s *Snapshot) ServiceAt(address netip.AddrPort) *Service {
	return s.byAddress[address]
}

// Resolve computes the effective settings of a valid tree.
func Resolve(tree Tree, revision uint64) *Snapshot {
	index := tree.index(nil, noWork)
	snapshot := newSnapshot(tree, revision, len(index.services))
	inherited := resolveService(tree, "", &Service{})
	groups := groupReader{tree: tree}
	slices.Sort(index.services)
	for _, path := range index.services {
		snapshot.addService(snapshot.resolve(&index, &groups, path, inherited))
	}
	return snapshot
}

// ResolveFrom computes the effective settings of a valid tree that the changes led to
// from that of previous. Services that the changes do not touch are taken from there,
// so that the cost of one edit does not grow with all that is resolved.
func ResolveFrom(previous *Snapshot, tree Tree, revision uint64, changes []Change) *Snapshot {
	touched := touchedServices(changes)
	if touched[""] || len(previous.Backends) > 0 || hasBackend(changes) || tree.hasReferences(previous.Services, touched) {
		// The root is inherited by all, and services may share back ends and groups.
		return Resolve(tree, revision)
	}
	snapshot := newSnapshot(tree, revision, len(previous.Services)+len(touched))
	for _, service := range previous.Services {
		if path := Path(service.Name); !touched[path] && tree[path] != nil {
			snapshot.addService(service)
		}
	}
	index := previous.indexOf(tree, touched, changes)
	inherited := resolveService(tree, "", &Service{})
	groups := groupReader{tree: tree}
	for path := range touched {
		if tree[path] != nil {
			snapshot.addService(snapshot.resolve(&index, &groups, path, inherited))
		}
	}
	slices.SortFunc(snapshot.Services, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return snapshot
}

// noWork is for work that is done in one go.
func noWork(int) {}

// indexOf indexes the touched services of a tree without back ends of its own. All of a
// service that is new is among the changes, so that the rest needs no look.
func (s *Snapshot) indexOf(tree Tree, touched map[Path]bool, changes []Change) index {
	for path := range touched {
		if s.Tree[path] != nil {
			return tree.index(touched, noWork)
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

// hasReferences tells whether one of the services uses the back ends of another one.
func (t Tree) hasReferences(services []*Service, touched map[Path]bool) bool {
	for _, service := range services {
		if _, given := t[Path(service.Name)][KeyBackendsFrom]; given {
			return true
		}
	}
	for path := range touched {
		if _, given := t[path][KeyBackendsFrom]; given {
			return true
		}
	}
	return false
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

// resolve computes one service; inherited has the values in force at the root.
func (s *Snapshot) resolve(index *index, groups *groupReader, path Path, inherited *Service) *Service {
	service := resolveService(s.Tree, path, inherited)
	root := backendsRoot(s.Tree, path)
	s.references = s.references || root != path
	service.Backends = s.resolveBackends(s.Tree, index.backends[root])
	service.Groups = groups.of(index.groups[root])
	return service
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

// resolveService reads the values in force at path: its own, else those inherited.
// At the root, which inherits from none, those are the defaults.
func resolveService(tree Tree, path Path, inherited *Service) *Service {
	service := *inherited
	service.Name = path.Name()
	read := ownReader{values: tree[path], root: path == ""}
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

// ownReader reads the values that one node gives itself, or the defaults at the root,
// into fields; where there is none the field keeps what it has. The tree is valid, so
// parse errors cannot occur and are not returned.
type ownReader struct {
	values Values
	root   bool
}

func (r ownReader) text(key Key) (string, bool) {
	if value, given := r.values[key]; given {
		return value, true
	}
	if !r.root {
		return "", false
	}
	value := fieldsByKey[key].Default
	return value, value != ""
}

func (r ownReader) address(key Key, field *netip.AddrPort) {
	if text, given := r.text(key); given {
		*field, _ = netip.ParseAddrPort(text)
	}
}

func (r ownReader) duration(key Key, field *time.Duration) {
	if text, given := r.text(key); given {
		*field, _ = time.ParseDuration(text)
	}
}

func (r ownReader) float(key Key, field *float64) {
	if text, given := r.text(key); given {
		*field, _ = strconv.ParseFloat(text, 64)
	}
}

func (r ownReader) bool(key Key, field *bool) {
	if text, given := r.text(key); given {
		*field = text == "true"
	}
}

func (r ownReader) size(key Key, field *int) {
	if text, given := r.text(key); given {
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
	reader := reader{tree, path}
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
