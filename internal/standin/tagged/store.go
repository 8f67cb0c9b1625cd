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

// Store is the platform's store over HTTP: listing, watches, transactions and lost history.
type Store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	// forgotten is up to where the history is lost.
	forgotten uint64
	// silent stores answer nothing.
	silent  bool
	changed chan struct{}
	calls   int
}

type storeItem struct {
	Key      string `json:"privateKey"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Gone     bool   `json:"gone,omitempty"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]storeItem{}, changed: make(chan struct{})}
}

// Put writes a key as JSON.
func (s *Store) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutRaw(key, text)
}

// PutRaw writes a key as it is.
func (s *Store) PutRaw(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.note(storeItem{Key: key, Value: value})
}

// Remove drops a key.
func (s *Store) Remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.note(storeItem{Key: key, Gone: true})
}

func (s *Store) note(item storeItem) {
	s.revision++
	item.Revision = s.revision
	s.history = append(s.history, item)
	if item.Gone {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// clone returns a store that holds what this one holds now.
func (s *Store) clone() *Store {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return &Store{
		revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history),
		forgotten: s.forgotten, changed: make(chan struct{}),
	}
}

// SetSilent lets the store answer nothing, or answer again.
func (s *Store) SetSilent(silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = silent
}

// Compact loses the history.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forgotten, s.history = s.revision, nil
}

// Calls returns how many calls were made.
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

// pageSize is small, so that pages are met in every test.
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
	answer(w, page)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		events, lost, at, changed, silent := s.since(after), after < s.forgotten, s.revision, s.changed, s.silent
		s.mutex.Unlock()
		if lost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 && !silent {
			answerEvents(w, events, at)
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
			answerEvents(w, events, at)
			return
		}
	}
}

func (s *Store) since(after uint64) []storeItem {
	events := []storeItem{}
	for _, item := range s.history {
		if item.Revision > after {
			events = append(events, item)
		}
	}
	return events
}

func answerEvents(w http.ResponseWriter, events []storeItem, at uint64) {
	answer(w, struct {
		Events []storeItem `json:"events"`
		At     uint64      `json:"at"`
	}{events, at})
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// The asker may be gone.
	_ = json.NewEncoder(w).Encode(body)
}
