package tagged

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// StoreFault is a fault of the store as one balancer sees it.
type StoreFault string

// The faults of the store. HealthyStore has none.
const (
	HealthyStore StoreFault = ""
	// SilentStore answers nothing.
	SilentStore StoreFault = "silent"
	// BusyStore answers 503, ThrottlingStore 429.
	BusyStore       StoreFault = "busy"
	ThrottlingStore StoreFault = "throttling"
	// ResettingStore resets connections.
	ResettingStore StoreFault = "resetting"
	// SlowStore delays answers by slowDelay.
	SlowStore StoreFault = "slow"
	// LosingStore resets the connection instead of every second answer, but carries out the write.
	LosingStore StoreFault = "losing"
	// StaleStore answers from the contents at the start of the fault. It shows that the rules
	// on configuration and draining can fail.
	StaleStore StoreFault = "stale"
)

// slowDelay is the delay of each answer of a slow store.
const slowDelay = 400 * time.Millisecond

// storeEndpoint serves the store to one balancer at an address of its own.
type storeEndpoint struct {
	store *Store
	mutex sync.Mutex
	fault StoreFault
	// snapshot answers while the fault is StaleStore, and is nil otherwise.
	snapshot *Store
	// changed is closed when the fault changes.
	changed  chan struct{}
	requests int
	// silencer holds the connections of the balancer.
	silencer Silencer
}

// serveEndpoint serves the store to one balancer at an address until ctx ends.
func serveEndpoint(ctx context.Context, address netip.AddrPort, store *Store) (*storeEndpoint, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	e := &storeEndpoint{store: store, changed: make(chan struct{})}
	server := &http.Server{Handler: e}
	context.AfterFunc(ctx, func() { server.Close() })
	go server.Serve(e.silencer.Listener(listener))
	return e, nil
}

// setFault changes the fault and ends the requests that wait.
func (e *storeEndpoint) setFault(fault StoreFault) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.fault, e.snapshot = fault, nil
	if fault == StaleStore {
		e.snapshot = e.store.clone()
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (e *storeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	fault, snapshot, changed := e.fault, e.snapshot, e.changed
	e.requests++
	odd := e.requests%2 == 1
	e.mutex.Unlock()
	switch fault {
	case SilentStore:
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		resetConnection(w)
	case BusyStore:
		w.WriteHeader(http.StatusServiceUnavailable)
	case ThrottlingStore:
		w.WriteHeader(http.StatusTooManyRequests)
	case ResettingStore:
		resetConnection(w)
	case LosingStore:
		if odd {
			if r.Method == http.MethodPost {
				// The write takes effect although its answer is lost.
				e.store.ServeHTTP(discardWriter{}, r)
			}
			resetConnection(w)
			return
		}
		e.serveUntil(changed, w, r)
	case SlowStore:
		time.Sleep(slowDelay)
		e.serveUntil(changed, w, r)
	case StaleStore:
		snapshot.ServeHTTP(w, r)
	default:
		e.serveUntil(changed, w, r)
	}
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}

// serveUntil passes the request to the store and cancels it when changed is closed.
func (e *storeEndpoint) serveUntil(changed <-chan struct{}, w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	e.store.ServeHTTP(w, r.WithContext(ctx))
}

// resetConnection resets the connection of a request.
func resetConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	connection, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if watched, ok := connection.(*silentConnection); ok {
		connection = watched.Conn
		defer watched.Close()
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		// With linger 0, Close sends a reset.
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
