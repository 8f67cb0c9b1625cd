package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store and its value, or the removal of the key.
type item struct {
	Key      string `json:"privateKey"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
}

const (
	pageItems = 500
	// maxEntries is the largest number of entries of a transaction.
	maxEntries = 32
)

// store is the platform's store.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// watchers counts the watches by the address of the store that they came to; each balancer has its own.
	watchers map[string]int
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, changed: make(chan struct{}), watchers: map[string]int{}}
}

// listen serves the store at an address.
func (s *store) listen(address netip.AddrPort) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		fatal(err)
	}
	go func() { fatal(http.Serve(listener, s)) }()
}

// put writes a value as JSON, and returns when the store has acknowledged it.
func (s *store) put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		fatal(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(item{Key: key, Value: text})
	return time.Now()
}

// remove removes a key, and returns when the store has acknowledged it.
func (s *store) remove(key string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(item{Key: key, Gone: true})
	return time.Now()
}

// apply applies a change under a new revision. The mutex is held.
func (s *store) apply(change item) {
	s.revision++
	change.Revision, change.Created = s.revision, s.revision
	if known, found := s.items[change.Key]; found {
		change.Created = known.Created
	}
	if change.Gone {
		change.Created = 0
		delete(s.items, change.Key)
	} else {
		s.items[change.Key] = change
	}
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// holds reports whether a key with a prefix exists.
func (s *store) holds(prefix string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// topWatcher returns the address at which most watches have come since the last call.
func (s *store) topWatcher() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	top := ""
	for address, count := range s.watchers {
		if top == "" || count > s.watchers[top] {
			top = address
		}
	}
	clear(s.watchers)
	return top
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/kv-range":
		s.serveRange(w, r)
	case "/kv-watch":
		s.serveWatch(w, r)
	case "/kv-txn":
		s.serveTransaction(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	page := struct {
		Items []item `json:"items"`
		More  bool   `json:"more"`
		At    uint64 `json:"at"`
	}{Items: []item{}, At: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(page.Items) == pageItems {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	answer(w, http.StatusOK, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	s.mutex.Lock()
	s.watchers[r.Host]++
	s.mutex.Unlock()
	for over := false; ; {
		s.mutex.Lock()
		events, at, changed := []item{}, s.revision, s.changed
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("pathPrefix")) {
				events = append(events, change)
			}
		}
		s.mutex.Unlock()
		if over || len(events) > 0 {
			answer(w, http.StatusOK, struct {
				Events []item `json:"events"`
				At     uint64 `json:"at"`
			}{events, at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Expected []struct {
			Key      string `json:"privateKey"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRevision"`
		Put []struct {
			Key   string `json:"privateKey"`
			Value []byte `json:"value"`
		} `json:"put"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Expected)+len(request.Put)+len(request.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, holds := []item{}, true
	for _, expected := range request.Expected {
		known, found := s.items[expected.Key]
		holds = holds && known.Revision == expected.Revision
		if found {
			current = append(current, known)
		}
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range request.Put {
		s.apply(item{Key: put.Key, Value: put.Value})
	}
	for _, key := range request.Remove {
		s.apply(item{Key: key, Gone: true})
	}
	answer(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have gone.
	_ = json.NewEncoder(w).Encode(body)
}
