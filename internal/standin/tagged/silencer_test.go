package tagged

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestSilencedConnectionsStayOpen checks that a request on a silenced connection times out
// instead of failing at once, and that a new connection works.
func TestSilencedConnectionsStayOpen(t *testing.T) {
	var silencer Silencer
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("answer"))
	}))
	server.Listener = silencer.Listener(server.Listener)
	server.Start()
	defer server.Close()
	get := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		reply, err := server.Client().Do(request)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, reply.Body)
		return errors.Join(err, reply.Body.Close())
	}
	if err := get(); err != nil {
		t.Fatal(err)
	}
	silencer.Silence()
	if err := get(); !isTimeout(err) {
		t.Errorf("a request on a silenced connection ends with %v, want a timeout", err)
	}
	if err := get(); err != nil {
		t.Errorf("a request on a new connection: %v", err)
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(interface{ Timeout() bool })
	return ok && timeout.Timeout()
}
