package balancer

import (
	"time"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

// BackendStatus is the status of a back end as a balancer sees it.
type BackendStatus struct {
	Path     settings.Path `json:"path"`
	Address  string        `json:"address"`
	Zone     string        `json:"zone"`
	State    string        `json:"state"`
	Flows    int64         `json:"flows"`
	InFlight int64         `json:"in_flight"`
	Weight   float64       `json:"weight"`
}

// Status is the status that a balancer reports to operators.
type Status struct {
	Address  string   `json:"address"`
	Zone     string   `json:"zone"`
	Phase    string   `json:"phase"`
	Quorum   bool     `json:"quorum"`
	Revision uint64   `json:"revision"`
	Members  []string `json:"members"`
	// Settled is set if another node holds every record of this node, so that the
	// next join or leave loses none.
	Settled  bool            `json:"settled"`
	Flows    int             `json:"flows"`
	Owned    int64           `json:"owned"`
	Waiting  string          `json:"waiting_for,omitempty"`
	Backends []BackendStatus `json:"backends"`
}

// Status returns the current status.
func (c *Core) Status(now time.Duration) Status {
	c.control.RLock()
	defer c.control.RUnlock()
	status := Status{
		Address:  c.config.Self.Address.String(),
		Zone:     c.config.Self.Zone,
		Phase:    c.phase(),
		Quorum:   c.quorum,
		Revision: c.snapshot.Revision,
		Settled:  c.settled.Load(),
		Flows:    c.flows.Len(),
		Waiting:  c.waitingFor(now),
	}
	for _, member := range c.view.Members {
		status.Members = append(status.Members, member.Address.String())
	}
	seen := map[settings.BackendID]bool{}
	for _, service := range c.snapshot.Services {
		for _, configured := range service.Backends {
			if seen[configured.ID] {
				continue
			}
			seen[configured.ID] = true
			row := c.backendStatus(now, configured)
			status.Owned += row.Flows
			status.Backends = append(status.Backends, row)
		}
	}
	return status
}

func (c *Core) backendStatus(now time.Duration, configured *settings.Backend) BackendStatus {
	target := c.registry.getOrAdd(configured.Address)
	row := BackendStatus{
		Path:     configured.Path,
		Address:  configured.Address.String(),
		Zone:     configured.Zone,
		State:    c.backendState(now, configured, target),
		InFlight: target.inFlight.Load(),
		Weight:   configured.Weight,
	}
	for _, service := range c.snapshot.Services {
		row.Flows += target.flowCount(service.Address).Load()
	}
	return row
}

func (c *Core) backendState(now time.Duration, configured *settings.Backend, target *backend) string {
	switch {
	case configured.Draining:
		return "drain"
	case target.quarantined(now):
		return Quarantined.String()
	case c.ramp(now, configured, target) < 1:
		return "slow start"
	}
	return Active.String()
}

// phase returns the node's lifecycle phase.
func (c *Core) phase() string {
	switch {
	case c.leave.finished.Load():
		return "left"
	case c.leave.announced:
		return "passing on"
	case c.leave.started:
		return "copying"
	case c.detector.Joined():
		return "serving"
	}
	return "listening"
}

// waitingFor describes what a graceful shutdown is waiting for. It is empty if none
// is in progress.
func (c *Core) waitingFor(now time.Duration) string {
	switch {
	case !c.leave.started || c.leave.finished.Load():
		return ""
	case !c.leave.announced:
		return "flows to be copied to their successors"
	case now-c.leave.announcedAt < leaveMinStay:
		return "peers and fabric to take over"
	}
	return "the fabric to send no more datagrams"
}

// Snapshot returns the settings in force.
func (c *Core) Snapshot() *settings.Snapshot {
	c.control.RLock()
	defer c.control.RUnlock()
	return c.snapshot
}

// Ready reports whether the fabric should send datagrams to this node.
func (c *Core) Ready() bool {
	c.control.RLock()
	defer c.control.RUnlock()
	return c.detector.Joined()
}

// Counter is a named counter of Counters.
type Counter struct {
	// Name is the metric name in the Prometheus exposition format, with labels.
	Name string
	// Load returns the current value.
	Load func() uint64
}

// List returns every counter with its metric name.
func (n *Counters) List() []Counter {
	list := []Counter{
		{"gaugeyard_datagrams_total", n.Datagrams.Load},
		{"gaugeyard_forwarded_total", n.Forwarded.Load},
		{"gaugeyard_delivered_total", n.Delivered.Load},
		{"gaugeyard_relayed_total", n.Relayed.Load},
		{"gaugeyard_detoured_total", n.Detoured.Load},
		{"gaugeyard_flows_new_total", n.NewFlows.Load},
		{"gaugeyard_flows_deviating_total", n.Deviating.Load},
		{"gaugeyard_flows_adopted_total", n.Adopted.Load},
		{"gaugeyard_flows_expired_total", n.ExpiredFlows.Load},
		{"gaugeyard_answers_late_total", n.LateAnswer.Load},
		{"gaugeyard_control_bytes_total", n.ControlBytes.Load},
		{"gaugeyard_control_deferred_total", n.ControlDeferred.Load},
		{"gaugeyard_settings_stale_total", n.StaleRevisions.Load},
	}
	for _, kind := range errkind.All() {
		label := `{kind="` + kind.String() + `"}`
		list = append(list,
			Counter{"gaugeyard_dropped_total" + label, n.Dropped[kind].Load},
			Counter{"gaugeyard_answered_total" + label, n.Answered[kind].Load})
	}
	return list
}

// Drop counts a datagram that a driver dropped before it reached the core.
func (n *Counters) Drop(kind errkind.Kind) {
	n.Dropped[kind].Add(1)
}

// FlowCount returns the number of flows in the table, including replicas.
func (c *Core) FlowCount() int {
	return c.flows.Len()
}

// Lookup returns the back end that a flow is pinned to, 0 for none, and whether the
// flow is known. It is for tests and experiments.
func (c *Core) Lookup(key flow.Key) (settings.BackendID, bool) {
	shard := c.flows.ShardOf(key.Hash())
	shard.Lock()
	defer shard.Unlock()
	f := shard.Flows[key]
	if f == nil {
		return 0, false
	}
	return f.Backend, true
}
