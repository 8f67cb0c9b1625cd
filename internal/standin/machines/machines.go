// Package machines is a stand-in for the platform's machine list. It probes
// each balancer's health and lists changes with a delay, as the real list does.
package machines

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"gaugeyard/internal/discovery"
)

const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
)

// entry is one balancer of the list.
type entry struct {
	machine discovery.Machine
	// listed is set while the list has the balancer as live.
	listed bool
	// differsSince is when probes began to differ from listed, zero if they agree.
	differsSince time.Time
}

// List is the machine list. It implements http.Handler.
type List struct {
	mutex   sync.Mutex
	entries []*entry
	lag     time.Duration
}

// New returns a list of the machines that applies each change after lag.
func New(machines []discovery.Machine, lag time.Duration) *List {
	list := &List{lag: lag}
	for _, machine := range machines {
		list.entries = append(list.entries, &entry{machine: machine})
	}
	return list
}

// Run probes the machines until ctx ends.
func (l *List) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		for _, e := range l.entries {
			l.update(e, probe(ctx, e.machine))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func probe(ctx context.Context, machine discovery.Machine) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+machine.Admin.String()+"/healthz", nil)
	if err != nil {
		return false
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// update applies the result of a probe.
func (l *List) update(e *entry, live bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if live == e.listed {
		e.differsSince = time.Time{}
		return
	}
	if e.differsSince.IsZero() {
		e.differsSince = time.Now()
	}
	if time.Since(e.differsSince) >= l.lag {
		e.listed = live
		e.differsSince = time.Time{}
	}
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	groups := []discovery.TargetGroup{}
	for _, e := range l.entries {
		if e.listed {
			machine := e.machine
			machine.State = discovery.MachineLive
			groups = append(groups, machine.Group())
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(groups)
}
