package tagged

import (
	"encoding/json"
	"net/http"
	"strings"
)

const (
	// maxEntries is the limit of operations in a transaction.
	maxEntries = 32
	// maxValueSize is the limit of a value, in bytes.
	maxValueSize = 1 << 20
)

// transaction is a request to change all of its keys or none.
type transaction struct {
	// Expected are the revisions that keys must have; 0 means absent.
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

// serveTransaction carries out a transaction. Balancers may not write keys of operators and
// servers.
func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var request transaction
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || len(request.Expected)+len(request.Put)+len(request.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, key := range request.written() {
		if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.expectationsHold(&request) {
		s.rejectTransaction(w, &request)
		return
	}
	for _, put := range request.Put {
		if len(put.Value) > maxValueSize {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	for _, put := range request.Put {
		s.apply(storeItem{Key: put.Key, Value: put.Value})
	}
	for _, key := range request.Remove {
		s.apply(storeItem{Key: key, Deleted: true})
	}
	writeJSON(w, map[string]uint64{"revision": s.revision})
}

// written returns the keys that the transaction changes.
func (t *transaction) written() []string {
	keys := append([]string(nil), t.Remove...)
	for _, put := range t.Put {
		keys = append(keys, put.Key)
	}
	return keys
}

// expectationsHold reports whether all keys have the expected revisions. The mutex is held.
func (s *Store) expectationsHold(request *transaction) bool {
	for _, expected := range request.Expected {
		if s.items[expected.Key].Revision != expected.Revision {
			return false
		}
	}
	return true
}

// rejectTransaction answers with the current items of the expected keys. The mutex is held.
func (s *Store) rejectTransaction(w http.ResponseWriter, request *transaction) {
	items := []storeItem{}
	for _, expected := range request.Expected {
		if item, found := s.items[expected.Key]; found {
			items = append(items, item)
		}
	}
	w.WriteHeader(http.StatusPreconditionFailed)
	writeJSON(w, map[string][]storeItem{"items": items})
}
