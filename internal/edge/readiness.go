package edge

import (
	"context"
	"net/http"
	"time"
)

const (
	// deregistrationTime is how long packets may arrive after the process has become unready: the platform
	// checks readiness twice a second and stops sending after two failures.
	deregistrationTime = 1600 * time.Millisecond
	// quietTime without a packet after that shows that the platform has stopped sending.
	quietTime = 300 * time.Millisecond
	// stopMargin is how long before the forced termination the process exits.
	stopMargin = 1500 * time.Millisecond
	// stopPoll is the interval of checks for the end of traffic.
	stopPoll = 100 * time.Millisecond
)

// ready reports whether this balancer accepts new flows.
func (n *Node) ready() bool {
	return !n.leaving.Load() && n.settingsKnown()
}

func (n *Node) settingsKnown() bool {
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	return n.directory.HasSettings()
}

func (n *Node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.config().ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.metrics.set.WritePrometheus(w)
	})
	return mux
}

// awaitStop waits for a planned stop, and then until the platform has stopped sending packets, which are
// forwarded meanwhile, or the grace time is nearly over.
func (n *Node) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stop:
	}
	begun := n.now()
	n.log.Info("leaving", "revision", n.revision())
	last := n.config().Bounds.Grace - stopMargin
	for {
		pause(ctx, stopPoll)
		passed := n.now() - begun
		quiet := n.now() - time.Duration(n.lastPacket.Load())
		if ctx.Err() != nil || passed >= last || passed >= deregistrationTime && quiet >= quietTime {
			return nil
		}
	}
}
