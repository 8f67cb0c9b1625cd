package datapath

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/store"
)

// maxPushSize is the maximum size of a pushed tree, in bytes.
const maxPushSize = 16 << 20

// Push is a tree that the store has accepted. An operator's command sends it to the
// balancers, so that it takes effect even if the store fails afterwards.
type Push struct {
	Head store.Head    `json:"head"`
	Tree settings.Tree `json:"tree"`
}

// adminHandler serves /healthz, /status, /metrics and /settings.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", n.handleHealth)
	mux.HandleFunc("GET /status", n.handleStatus)
	mux.HandleFunc("GET /settings", n.handleSettings)
	mux.HandleFunc("POST /settings", n.handlePush)
	set := n.metricSet()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { set.WritePrometheus(w) })
	return mux
}

// handleHealth answers 200 while the fabric should send datagrams to this node, else 503.
func (n *Node) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if !n.core.Ready() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "serving\n")
}

func (n *Node) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, n.core.Status(n.now()))
}

// handleSettings returns the active tree, also while the store is down.
func (n *Node) handleSettings(w http.ResponseWriter, _ *http.Request) {
	snapshot := n.core.Snapshot()
	writeJSON(w, Push{Head: store.Head{Revision: snapshot.Revision}, Tree: snapshot.Tree})
}

// handlePush applies a pushed tree and returns the active revision.
func (n *Node) handlePush(w http.ResponseWriter, r *http.Request) {
	var push Push
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPushSize)).Decode(&push); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := n.apply(push.Head.Revision, push.Tree); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, store.Head{Revision: n.core.Snapshot().Revision})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// apply validates a tree and passes it to the core.
func (n *Node) apply(revision uint64, tree settings.Tree) error {
	checked, err := settings.Normalize(tree)
	if err != nil {
		return err
	}
	n.step(&balancer.SettingsRevision{Snapshot: settings.Resolve(checked, revision)}, &balancer.Effects{})
	return nil
}

// metricSet returns the metrics of the core's counters and gauges.
func (n *Node) metricSet() *metrics.Set {
	set := metrics.NewSet()
	for _, counter := range n.core.Counters.List() {
		set.NewGauge(counter.Name, func() float64 { return float64(counter.Load()) })
	}
	set.NewGauge("gaugeyard_flows", func() float64 { return float64(n.core.FlowCount()) })
	set.NewGauge("gaugeyard_settings_revision", func() float64 { return float64(n.core.Snapshot().Revision) })
	set.NewGauge("gaugeyard_members", func() float64 { return float64(len(n.core.Status(n.now()).Members)) })
	return set
}
