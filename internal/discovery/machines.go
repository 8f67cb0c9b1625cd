package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// MachineState is the state of a machine in the machine list.
type MachineState string

const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one balancer in the machine list.
type Machine struct {
	Zone string
	// Cell names the group of balancers that own flows together, DefaultCell if the list names
	// none.
	Cell  string
	State MachineState
	// Data receives datagrams from the fabric and Peer those from balancers. Admin is the HTTP
	// address for operators.
	Data, Peer, Admin netip.AddrPort
}

// DefaultCell is the cell of machines whose entry names none.
const DefaultCell = "main"

// TargetGroup is one entry of the machine list, in the format of Prometheus HTTP service discovery.
type TargetGroup struct {
	Targets []string      `json:"targets"`
	Labels  MachineLabels `json:"labels"`
}

// MachineLabels are the labels of one machine.
type MachineLabels struct {
	Zone  string       `json:"zone"`
	Cell  string       `json:"cell,omitempty"`
	State MachineState `json:"state"`
	Data  string       `json:"data"`
	Peer  string       `json:"peer"`
}

// Group returns the machine as an entry of the list.
func (m Machine) Group() TargetGroup {
	return TargetGroup{
		Targets: []string{m.Admin.String()},
		Labels:  MachineLabels{Zone: m.Zone, Cell: m.Cell, State: m.State, Data: m.Data.String(), Peer: m.Peer.String()},
	}
}

// Machine decodes an entry of the list, which must have exactly one target.
func (g TargetGroup) Machine() (Machine, error) {
	machine := Machine{Zone: g.Labels.Zone, Cell: g.Labels.Cell, State: g.Labels.State}
	if machine.Cell == "" {
		machine.Cell = DefaultCell
	}
	if len(g.Targets) != 1 {
		return machine, fmt.Errorf("machine list: entry has %d targets, want 1", len(g.Targets))
	}
	for _, field := range []struct {
		text   string
		target *netip.AddrPort
	}{{g.Targets[0], &machine.Admin}, {g.Labels.Data, &machine.Data}, {g.Labels.Peer, &machine.Peer}} {
		address, err := netip.ParseAddrPort(field.text)
		if err != nil {
			return machine, fmt.Errorf("machine list: %w", err)
		}
		*field.target = address
	}
	return machine, nil
}

// listReadTimeout bounds one read of the machine list.
const listReadTimeout = 2 * time.Second

// Machines reads the machine list at the URL. One invalid entry fails the read.
func Machines(ctx context.Context, url string) ([]Machine, error) {
	ctx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	var groups []TargetGroup
	if err := GetJSON(ctx, url, &groups); err != nil {
		return nil, fmt.Errorf("machine list: %w", err)
	}
	machines := make([]Machine, len(groups))
	for i, group := range groups {
		machine, err := group.Machine()
		if err != nil {
			return nil, err
		}
		machines[i] = machine
	}
	return machines, nil
}

// GetJSON decodes the JSON document at the URL into target. Any status but 200 is an error.
func GetJSON(ctx context.Context, url string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: unexpected status %s", url, reply.Status)
	}
	return json.NewDecoder(reply.Body).Decode(target)
}
