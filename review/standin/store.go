package main

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

const (
	// storeDelay is the time that the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	pageSize   = 500
)

// store is the platform's metadata store.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// onAnswer is called after each answer, with the number of the balancer whose address the call came to, its
	// path and the number of events in the answer. It may be nil.
	onAnswer func(balancer int, path string, events int)
}

// observe sets onAnswer.
func (s *store) observe(onAnswer func(balancer int, path string, events int)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.onAnswer = onAnswer
}

// answered calls onAnswer.
func (s *store) answered(balancer int, path string, events int) {
	s.mutex.Lock()
	onAnswer := s.onAnswer
	s.mutex.Unlock()
	if onAnswer != nil {
		onAnswer(balancer, path, events)
	}
}

type item struct {
	Key      string `json:"privateKey"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

func newStore() *store {
	return &store{items: map[string]item{}, changed: make(chan struct{}), revision: 100}
}

// change writes a value as JSON under a key; a nil value removes the key.
type change struct {
	key   string
	value any
}

// write applies the changes, each under a revision of its own, before any watch sees them. It returns the time
// of the acknowledgement.
func (s *store) write(changes ...change) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range changes {
		if c.value == nil {
			s.apply(item{Key: c.key, Gone: true})
			continue
		}
		text, err := json.Marshal(c.value)
		if err != nil {
			panic(err)
		}
		s.apply(item{Key: c.key, Value: text})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// apply applies one change. The mutex is held.
func (s *store) apply(it item) {
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if earlier, found := s.items[it.Key]; found {
		it.Created = earlier.Created
	}
	s.history = append(s.history, it)
	if it.Gone {
		delete(s.items, it.Key)
		return
	}
	s.items[it.Key] = it
}

// handler serves the store at the address of one balancer.
func (s *store) handler(balancer int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		events := 0
		switch r.URL.Path {
		case "/kv-range":
			s.serveRange(w, r)
		case "/kv-watch":
			events = s.serveWatch(w, r)
		case "/kv-txn":
			s.serveTransaction(w, r)
		default:
			http.NotFound(w, r)
		}
		s.answered(balancer, r.URL.Path, events)
	})
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
		if len(page.Items) == pageSize {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	writeJSON(w, http.StatusOK, page)
}

// serveWatch answers a watch and returns the number of events in the answer.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) int {
	prefix := r.URL.Query().Get("pathPrefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mutex.Lock()
		changed := s.changed
		answer := struct {
			Events []item `json:"events"`
			At     uint64 `json:"at"`
		}{[]item{}, s.revision}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				answer.Events = append(answer.Events, it)
			}
		}
		s.mutex.Unlock()
		if expired || len(answer.Events) > 0 {
			writeJSON(w, http.StatusOK, answer)
			return len(answer.Events)
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return 0
		}
	}
}

// serveTransaction applies all puts if all expected revisions hold. Balancers may not write the keys of
// operators and servers.
func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Expected []item   `json:"expectedRevision"`
		Put      []item   `json:"put"`
		Remove   []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || len(request.Expected)+len(request.Put)+len(request.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, put := range request.Put {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	current, holds := []item{}, true
	for _, expected := range request.Expected {
		stored, found := s.items[expected.Key]
		holds = holds && stored.Revision == expected.Revision
		if found {
			current = append(current, stored)
		}
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range request.Put {
		s.apply(item{Key: put.Key, Value: put.Value})
	}
	for _, key := range request.Remove {
		s.apply(item{Key: key, Gone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	writeJSON(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The balancer may have closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
