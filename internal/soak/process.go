package soak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gaugeyard/internal/standin/tagged"
)

// Ports of each balancer's address.
const (
	dataPort    = 9000
	readyPort   = 9001
	controlPort = 9002
	peerPort    = 9003
	storePort   = 9004
)

const (
	// graceTime is how long a planned stop may take before it counts as hung.
	graceTime = 6 * time.Second
	// zoneCount is how many zones the balancers are in.
	zoneCount = 2
)

// fleet are the balancer processes of a soak.
type fleet struct {
	program string
	folder  string
	network byte
	members []*member
}

// member is one balancer.
type member struct {
	number   int
	settings string
	log      *os.File

	mutex   sync.Mutex
	process *os.Process
	ended   chan struct{}
	// expected is set while the soak itself ends the process.
	expected bool
	// surprises are ends that nobody asked for.
	surprises []string
}

// address is 127.network.third.fourth.
func (f *fleet) address(third, fourth int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network, byte(third), byte(fourth)})
}

// own is the address of a balancer, relayed the one at which others reach it, and front
// the store as it meets it.
func (f *fleet) own(number int) netip.Addr     { return f.address(0, 1+number) }
func (f *fleet) relayed(number int) netip.Addr { return f.address(1, 1+number) }
func (f *fleet) front(number int) netip.AddrPort {
	return netip.AddrPortFrom(f.address(2, 1+number), storePort)
}

func zoneOf(number int) string { return fmt.Sprintf("zone-%c", 'a'+number%zoneCount) }

// shareOf returns the share of a core that a balancer's settings file tells: one in three is able.
func shareOf(number int) float64 {
	if number%3 == 1 {
		return 0.8
	}
	return 0.045
}

// newFleet writes the settings files of the balancers into folder.
func newFleet(program, folder string, network byte, balancers int) (*fleet, error) {
	f := &fleet{program: program, folder: folder, network: network}
	var seeds []string
	for number := range min(3, balancers) {
		seeds = append(seeds, netip.AddrPortFrom(f.relayed(number), controlPort).String())
	}
	for number := range balancers {
		own := f.own(number)
		text := fmt.Sprintf("node: balancer-%d\nzone: %s\ndata: %s:%d\nready: %s:%d\ncontrol: %s:%d\nadvertise: %s:%d\npeer_port: %d\nseeds: [%s]\nstore: %s\nready_path: /readiness\nlink_mbps: 200\ncpu_share: %v\n",
			number, zoneOf(number), own, dataPort, own, readyPort, own, controlPort, f.relayed(number), controlPort, peerPort,
			strings.Join(seeds, ", "), f.front(number), shareOf(number))
		settings := filepath.Join(folder, fmt.Sprintf("balancer-%d.yaml", number))
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		log, err := os.Create(filepath.Join(folder, fmt.Sprintf("balancer-%d.log", number)))
		if err != nil {
			return nil, err
		}
		f.members = append(f.members, &member{number: number, settings: settings, log: log})
	}
	return f, nil
}

// balancers are the members as the platform's routers know them.
func (f *fleet) balancers() []tagged.Balancer {
	var list []tagged.Balancer
	for number := range f.members {
		own := f.own(number)
		list = append(list, tagged.Balancer{Zone: zoneOf(number), Data: netip.AddrPortFrom(own, dataPort), Ready: netip.AddrPortFrom(own, readyPort)})
	}
	return list
}

// start starts the member's process unless it runs.
func (f *fleet) start(m *member) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.process != nil {
		return nil
	}
	command := exec.Command(f.program, "--settings", m.settings)
	command.Stdout, command.Stderr = m.log, m.log
	// The kernel ends the process if the soak itself crashes.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.process, m.ended, m.expected = command.Process, ended, false
	go func() {
		err := command.Wait()
		m.mutex.Lock()
		defer m.mutex.Unlock()
		if !m.expected {
			m.surprises = append(m.surprises, fmt.Sprintf("balancer %d ended by itself: %v", m.number, err))
		}
		m.process = nil
		close(ended)
	}()
	return nil
}

// signal sends a signal to the member's process, if one runs.
func (m *member) signal(signal syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.process == nil {
		return
	}
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		m.expected = true
	}
	// A process that has just ended hears nothing.
	_ = m.process.Signal(signal)
}

// awaitEnd waits until the process has ended; false when it takes longer than limit.
func (m *member) awaitEnd(limit time.Duration) bool {
	m.mutex.Lock()
	ended, running := m.ended, m.process != nil
	m.mutex.Unlock()
	if !running {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// end ends all processes of the fleet.
func (f *fleet) end() {
	for _, m := range f.members {
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		m.awaitEnd(graceTime)
		m.log.Close()
	}
}

// surprises are the ends of processes that nobody asked for, and stops that hung.
func (f *fleet) surprises() []string {
	var all []string
	for _, m := range f.members {
		m.mutex.Lock()
		all = append(all, m.surprises...)
		m.mutex.Unlock()
	}
	return all
}
