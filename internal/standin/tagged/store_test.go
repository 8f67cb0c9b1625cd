package tagged

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestTransactionIsAtomic(t *testing.T) {
	store := NewStore()
	store.Put("servers/i-1", 1)
	store.PutRaw("own/b", []byte("old"))
	for _, c := range []struct {
		name, body string
		status     int
	}{
		{"an absent key is expected", `{"expectedRevision":[{"privateKey":"own/a","revision":0}],"put":[{"privateKey":"own/a","value":"bmV3"}]}`, http.StatusOK},
		{"the key exists already", `{"expectedRevision":[{"privateKey":"own/a","revision":0}],"put":[{"privateKey":"own/b","value":"bmV3"}]}`, http.StatusPreconditionFailed},
		{"a key of a server", `{"put":[{"privateKey":"own/b","value":"bmV3"}],"remove":["servers/i-1"]}`, http.StatusForbidden},
		{"invalid JSON", `{`, http.StatusBadRequest},
	} {
		reply := httptest.NewRecorder()
		store.ServeHTTP(reply, httptest.NewRequest(http.MethodPost, "/kv-txn", strings.NewReader(c.body)))
		if reply.Code != c.status {
			t.Errorf("%s: unexpected status %d", c.name, reply.Code)
		}
	}
	if a, b := store.items["own/a"], store.items["own/b"]; string(a.Value) != "new" || string(b.Value) != "old" || store.items["servers/i-1"].Revision != 1 {
		t.Errorf("%+v", store.items)
	}
}
