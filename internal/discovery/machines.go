package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// MachineState is what the machine list says of a machine.
type MachineState string

// The states of the machine list.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one balancer in the machine list.
type Machine struct {
	Zone string
	// Cell names the balancers that own flows together; empty is DefaultCell.
	Cell  string
	State MachineState
	// Data receives datagrams from the fabric, Peer those from balancers, and
	// Admin is the HTTP address for operators.
	Data, Peer, Admin netip.AddrPort
}

// DefaultCell is the cell of machines that name none.
const DefaultCell = "main"

// TargetGroup is one entry of the machine list, in the format of Prometheus HTTP
// service discovery.
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

// Machine decodes an entry of the list.
func (g TargetGroup) Machine() (Machine, error) {
	machine := Machine{Zone: g.Labels.Zone, Cell: g.Labels.Cell, State: g.Labels.State}
	if machine.Cell == "" {
		machine.Cell = DefaultCell
	}
	if len(g.Targets) != 1 {
		return machine, fmt.Errorf("machine list: an entry has %d targets, not 1", len(g.Targets))
	}
	for _, part := range []struct {
		text string
		into *netip.AddrPort
	}{{g.Targets[0], &machine.Admin}, {g.Labels.Data, &machine.Data}, {g.Labels.Peer, &machine.Peer}} {
		address, err := netip.ParseAddrPort(part.text)
		if err != nil {
			return machine, fmt.Errorf("machine list: %w", err)
		}
		*part.into = address
	}
	return machine, nil
}

// maxListTime bounds one read of the machine list.
const maxListTime = 2 * time.Second

// Machines reads the machine list at the URL.
func Machines(ctx context.Context, url string) ([]Machine, error) {
	ctx, cancel := context.WithTimeout(ctx, maxListTime)
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

// GetJSON decodes what the URL serves; any status but 200 is an error.
func GetJSON(ctx context.Context, url string, into any) error {
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
		return fmt.Errorf("%s answered %s", url, reply.Status)
	}
	return json.NewDecoder(reply.Body).Decode(into)
}
