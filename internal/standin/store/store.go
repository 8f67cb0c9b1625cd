// Package store is a stand-in for the platform's key-value service. It
// implements the part of the etcd v3 JSON API that gaugeyard uses, limits the
// rate of writes, and can inject faults.
package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// number is a 64-bit integer, which the API encodes as a string.
type number int64

// MarshalJSON implements json.Marshaler.
func (n number) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(strconv.FormatInt(int64(n), 10))), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (n *number) UnmarshalJSON(data []byte) error {
	value, err := strconv.ParseInt(strings.Trim(string(data), `"`), 10, 64)
	*n = number(value)
	return err
}

type pair struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision number `json:"mod_revision"`
}

type event struct {
	Type string `json:"type,omitempty"`
	KV   pair   `json:"kv"`
}

type header struct {
	Revision number `json:"revision"`
}

// Faults are the faults that the service injects.
type Faults struct {
	// Down rejects every request and ends every watch.
	Down bool `json:"down"`
	// LoseReplies is the number of further writes that take effect without a reply.
	LoseReplies int `json:"lose_replies"`
}

// Store is the service. It implements http.Handler.
type Store struct {
	mutex    sync.Mutex
	changed  *sync.Cond
	revision int64
	pairs    map[string]pair
	log      [][]event
	faults   Faults
	// writeInterval is the minimum time between two writes.
	writeInterval time.Duration
	lastWrite     time.Time
	mux           *http.ServeMux
}

// New returns an empty service that accepts at most one write per interval.
func New(interval time.Duration) *Store {
	s := &Store{pairs: map[string]pair{}, writeInterval: interval, mux: http.NewServeMux(), revision: 1, log: [][]event{nil, nil}}
	s.changed = sync.NewCond(&s.mutex)
	s.mux.HandleFunc("POST /v3/kv/range", s.handleRange)
	s.mux.HandleFunc("POST /v3/kv/txn", s.handleTransaction)
	s.mux.HandleFunc("POST /v3/watch", s.handleWatch)
	s.mux.HandleFunc("POST /faults", s.handleFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	down := s.faults.Down
	s.mutex.Unlock()
	if down && r.URL.Path != "/faults" {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !read(w, r, &faults) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.changed.Broadcast()
}

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func inRange(key, from, end string) bool {
	if end == "" {
		return key == from
	}
	return key >= from && key < end
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Key       []byte `json:"key"`
		RangeEnd  []byte `json:"range_end"`
		Limit     int    `json:"limit"`
		SortOrder string `json:"sort_order"`
	}
	if !read(w, r, &request) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := []pair{}
	for key, value := range s.pairs {
		if inRange(key, string(request.Key), string(request.RangeEnd)) {
			found = append(found, value)
		}
	}
	slices.SortFunc(found, func(a, b pair) int { return strings.Compare(string(a.Key), string(b.Key)) })
	if request.SortOrder == "DESCEND" {
		slices.Reverse(found)
	}
	if request.Limit > 0 && len(found) > request.Limit {
		found = found[:request.Limit]
	}
	write(w, struct {
		Header header `json:"header"`
		KVs    []pair `json:"kvs"`
	}{header{number(s.revision)}, found})
}

type transaction struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision number `json:"mod_revision"`
	} `json:"compare"`
	Success []struct {
		Put *struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
		} `json:"request_put"`
		Delete *struct {
			Key []byte `json:"key"`
		} `json:"request_delete_range"`
	} `json:"success"`
}

func (s *Store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var request transaction
	if !read(w, r, &request) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Since(s.lastWrite) < s.writeInterval {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many writes", http.StatusTooManyRequests)
		return
	}
	succeeded := s.apply(request)
	if succeeded && s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		panic(http.ErrAbortHandler)
	}
	write(w, struct {
		Header    header `json:"header"`
		Succeeded bool   `json:"succeeded"`
	}{header{number(s.revision)}, succeeded})
}

// apply carries out a transaction and reports whether its comparisons held.
// The mutex is held.
func (s *Store) apply(request transaction) bool {
	for _, compared := range request.Compare {
		if s.pairs[string(compared.Key)].ModRevision != compared.ModRevision {
			return false
		}
	}
	s.lastWrite = time.Now()
	s.revision++
	var events []event
	for _, operation := range request.Success {
		switch {
		case operation.Put != nil:
			stored := pair{operation.Put.Key, operation.Put.Value, number(s.revision)}
			s.pairs[string(stored.Key)] = stored
			events = append(events, event{KV: stored})
		case operation.Delete != nil:
			delete(s.pairs, string(operation.Delete.Key))
			events = append(events, event{Type: "DELETE", KV: pair{Key: operation.Delete.Key, ModRevision: number(s.revision)}})
		}
	}
	s.log = append(s.log, events)
	s.changed.Broadcast()
	return true
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Create struct {
			Key           []byte `json:"key"`
			RangeEnd      []byte `json:"range_end"`
			StartRevision number `json:"start_revision"`
		} `json:"create_request"`
	}
	if !read(w, r, &request) {
		return
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		// Wakes the loop below when the client disconnects.
		select {
		case <-r.Context().Done():
			s.changed.Broadcast()
		case <-stop:
		}
	}()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintln(w, `{"result":{"created":true}}`)
	flusher := w.(http.Flusher)
	flusher.Flush()
	next := max(int64(request.Create.StartRevision), 1)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for r.Context().Err() == nil && !s.faults.Down {
		if next >= int64(len(s.log)) {
			s.changed.Wait()
			continue
		}
		var events []event
		for _, e := range s.log[next] {
			if inRange(string(e.KV.Key), string(request.Create.Key), string(request.Create.RangeEnd)) {
				events = append(events, e)
			}
		}
		revision := next
		next++
		if len(events) == 0 {
			continue
		}
		s.mutex.Unlock()
		var response struct {
			Result struct {
				Header header  `json:"header"`
				Events []event `json:"events"`
			} `json:"result"`
		}
		response.Result.Header.Revision = number(revision)
		response.Result.Events = events
		_ = json.NewEncoder(w).Encode(response)
		flusher.Flush()
		s.mutex.Lock()
	}
}
