package operator

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/discovery"
	"gaugeyard/internal/store"
)

// StatusCommand prints the state of every balancer and back end.
type StatusCommand struct {
	Access
}

// FleetStatus is the output of StatusCommand.
type FleetStatus struct {
	// Newest is the newest accepted revision, 0 if the store is unreachable.
	Newest    uint64             `json:"newest_revision"`
	Store     string             `json:"store"`
	Balancers []BalancerStatus   `json:"balancers"`
	Backends  []BackendAggregate `json:"backends"`
	// Evacuated lists the zones that take no new flows.
	Evacuated []EvacuatedZone `json:"evacuated,omitempty"`
	// Imbalance is the maximum number of flows of an active back end divided by the
	// mean of its service's active back ends, for the service with the highest ratio.
	Imbalance float64 `json:"imbalance"`
}

// BalancerStatus is one balancer's status, or the error that prevented reading it.
type BalancerStatus struct {
	balancer.Status
	Error string `json:"error,omitempty"`
}

// BackendAggregate is one back end's status summed over all balancers.
type BackendAggregate struct {
	balancer.BackendStatus
}

// statusTimeout limits a request to one balancer.
const statusTimeout = time.Second

func newSession(a Access) *Session {
	return &Session{Store: store.New(a.Store), Machines: a.Machines, Author: a.Author}
}

// Run implements Command.
func (c *StatusCommand) Run(ctx context.Context, out io.Writer) error {
	session, err := c.session()
	if err != nil {
		return err
	}
	if c.Machines == "" {
		return Invalid.New("--machines is missing (or GAUGEYARD_MACHINES); allowed: http URL")
	}
	status := FleetStatus{Store: "reachable"}
	if state, err := session.Store.Load(ctx); err == nil {
		status.Newest = state.Head.Revision
		// Without the history, the authors of evacuations are omitted.
		edits, _ := session.Store.History(ctx, historyLimit)
		status.Evacuated = evacuatedZones(state.Tree, edits)
	} else {
		status.Store = "unreachable"
	}
	machines, err := discovery.Machines(ctx, c.Machines)
	if err != nil {
		return err
	}
	for _, machine := range machines {
		status.Balancers = append(status.Balancers, getStatus(ctx, machine))
	}
	status.aggregate()
	return c.print(out, status, status.writeText)
}

func getStatus(ctx context.Context, machine discovery.Machine) BalancerStatus {
	status := BalancerStatus{}
	status.Address = machine.Peer.String()
	status.Zone = machine.Zone
	if err := getJSON(ctx, machine, "/status", &status.Status); err != nil {
		status.Error = err.Error()
	}
	return status
}

// getJSON decodes the JSON that a balancer serves at the path of its admin address.
func getJSON(ctx context.Context, machine discovery.Machine, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return discovery.GetJSON(ctx, "http://"+machine.Admin.String()+path, into)
}

// aggregate sums the back ends of all balancers.
func (s *FleetStatus) aggregate() {
	index := map[string]int{}
	for _, node := range s.Balancers {
		for _, backend := range node.Backends {
			at, known := index[backend.Address]
			if !known {
				index[backend.Address] = len(s.Backends)
				s.Backends = append(s.Backends, BackendAggregate{backend})
				continue
			}
			s.Backends[at].Flows += backend.Flows
			s.Backends[at].InFlight += backend.InFlight
		}
	}
	s.Imbalance = s.imbalance()
}

// serviceLoad sums the flows of the active back ends of one service.
type serviceLoad struct {
	total, largest int64
	active         int
}

// imbalance returns the maximum number of flows of an active back end divided by the mean
// of its service's active back ends, for the service with the highest ratio.
func (s *FleetStatus) imbalance() float64 {
	loads := map[string]*serviceLoad{}
	for _, backend := range s.Backends {
		service, _, _ := strings.Cut(string(backend.Path), "/")
		if loads[service] == nil {
			loads[service] = &serviceLoad{}
		}
		if backend.State != balancer.Active.String() {
			continue
		}
		sum := loads[service]
		sum.active++
		sum.total += backend.Flows
		sum.largest = max(sum.largest, backend.Flows)
	}
	highest := 0.0
	for _, sum := range loads {
		if sum.total > 0 {
			highest = max(highest, float64(sum.largest)*float64(sum.active)/float64(sum.total))
		}
	}
	return highest
}

func (s *FleetStatus) writeText(w io.Writer) {
	fmt.Fprintf(w, "store %s, newest revision %d, imbalance %.2f\n\n", s.Store, s.Newest, s.Imbalance)
	fmt.Fprintln(w, "BALANCER\tZONE\tPHASE\tREVISION\tMEMBERS\tSETTLED\tFLOWS\tOWNED\tNOTE")
	for _, node := range s.Balancers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%t\t%d\t%d\t%s%s\n", node.Address, node.Zone, node.Phase, node.Revision, len(node.Members), node.Settled, node.Flows, node.Owned, node.Waiting, node.Error)
	}
	for _, zone := range s.Evacuated {
		fmt.Fprintf(w, "\nzone %s is evacuated, by %s since %s\n", zone.Zone, cmp.Or(zone.Author, "an older edit"), zone.Since.Format(time.RFC3339))
	}
	fmt.Fprintln(w, "\nBACK END\tADDRESS\tSTATE\tFLOWS\tIN FLIGHT")
	for _, backend := range s.Backends {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", backend.Path, backend.Address, backend.State, backend.Flows, backend.InFlight)
	}
}
