package tagged

import (
	"encoding/json"
	"net/http"
	"strings"
)

const (
	// mostEntries is how many keys one transaction may name.
	mostEntries = 32
	// mostValue is how long a value may be, in bytes.
	mostValue = 1 << 20
)

// transaction writes all of its keys or none.
type transaction struct {
	// Expected are the revisions at which keys must be; 0 is absent.
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

// serveTransaction carries out a transaction. Keys of the operators and of servers are not for balancers
// to write.
func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var asked transaction
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil || len(asked.Expected)+len(asked.Put)+len(asked.Remove) > mostEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, key := range asked.written() {
		if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.holds(&asked) {
		s.refuseTransaction(w, &asked)
		return
	}
	for _, put := range asked.Put {
		if len(put.Value) > mostValue {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	for _, put := range asked.Put {
		s.note(storeItem{Key: put.Key, Value: put.Value})
	}
	for _, key := range asked.Remove {
		s.note(storeItem{Key: key, Gone: true})
	}
	answer(w, map[string]uint64{"revision": s.revision})
}

// written are the keys that the transaction changes.
func (t *transaction) written() []string {
	keys := append([]string(nil), t.Remove...)
	for _, put := range t.Put {
		keys = append(keys, put.Key)
	}
	return keys
}

// holds tells whether all keys are at the revisions that are expected. The mutex is held.
func (s *Store) holds(asked *transaction) bool {
	for _, expected := range asked.Expected {
		if s.items[expected.Key].Revision != expected.Revision {
			return false
		}
	}
	return true
}

// refuseTransaction answers with what is there. The mutex is held.
func (s *Store) refuseTransaction(w http.ResponseWriter, asked *transaction) {
	items := []storeItem{}
	for _, expected := range asked.Expected {
		if item, found := s.items[expected.Key]; found {
			items = append(items, item)
		}
	}
	w.WriteHeader(http.StatusPreconditionFailed)
	answer(w, map[string][]storeItem{"items": items})
}
