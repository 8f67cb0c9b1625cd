package tagged

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the platform's key-value store over HTTP, with listings, watches, transactions and
// compaction.
type Store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	// compactedRevision is the revision up to which the history is discarded.
	compactedRevision uint64
	// silent is whether requests are left unanswered.
	silent  bool
	changed chan struct{}
	calls   int
}

type storeItem struct {
	Key      string `json:"privateKey"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"gone,omitempty"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]storeItem{}, changed: make(chan struct{})}
}

// Put writes a value as JSON. It panics if value cannot be encoded.
func (s *Store) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutRaw(key, text)
}

// PutRaw writes a value as it is.
func (s *Store) PutRaw(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(storeItem{Key: key, Value: value})
}

// Remove deletes a key.
func (s *Store) Remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(storeItem{Key: key, Deleted: true})
}

// apply applies a change under a new revision and wakes watches. The mutex is held.
func (s *Store) apply(item storeItem) {
	s.revision++
	item.Revision = s.revision
	s.history = append(s.history, item)
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// clone returns a copy of the store with its current contents.
func (s *Store) clone() *Store {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return &Store{
		revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history),
		compactedRevision: s.compactedRevision, changed: make(chan struct{}),
	}
}

// SetSilent sets whether the store leaves requests unanswered.
func (s *Store) SetSilent(silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = silent
}

// Compact discards the history up to the current revision.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compactedRevision, s.history = s.revision, nil
}

// Calls returns the number of requests received.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.calls++
	silent := s.silent
	s.mutex.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
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

// pageSize is small, so that every test covers paging.
const pageSize = 7

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	var page struct {
		Items []storeItem `json:"items"`
		More  bool        `json:"more"`
		At    uint64      `json:"at"`
	}
	page.At = s.revision
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(page.Items) == pageSize {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	writeJSON(w, page)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		events, lost, at, changed, silent := s.eventsSince(after), after < s.compactedRevision, s.revision, s.changed, s.silent
		s.mutex.Unlock()
		if lost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 && !silent {
			writeEvents(w, events, at)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			if silent {
				<-r.Context().Done()
				return
			}
			writeEvents(w, events, at)
			return
		}
	}
}

// eventsSince returns the changes after a revision. The mutex is held.
func (s *Store) eventsSince(after uint64) []storeItem {
	events := []storeItem{}
	for _, item := range s.history {
		if item.Revision > after {
			events = append(events, item)
		}
	}
	return events
}

func writeEvents(w http.ResponseWriter, events []storeItem, at uint64) {
	writeJSON(w, struct {
		Events []storeItem `json:"events"`
		At     uint64      `json:"at"`
	}{events, at})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// Errors are ignored: the client may have closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
