package edge

import (
	"context"
	"net/http"
	"time"
)

const (
	// releaseTime is how long after readiness falls packets may still come: the
	// platform asks twice a second and lets go after two misses.
	deregistrationTime = 1600 * time.Millisecond
	// quietTime without a packet then shows that the platform has let go.
	quietTime = 300 * time.Millisecond
	// stopMargin is how long before the end by force the process ends itself.
	stopMargin = 1500 * time.Millisecond
	// stopPoll is how often the end of traffic is looked for.
	stopPoll = 100 * time.Millisecond
)

// ready tells whether new flows may come here.
func (n *Node) ready() bool {
	return !n.leaving.Load() && n.settingsKnown()
}

func (n *Node) settingsKnown() bool {
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	return n.directory.SettingsVersion() > 0
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

// awaitStop waits for a planned stop and then until the platform has let go:
// meanwhile packets are forwarded as before.
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
