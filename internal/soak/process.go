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

// Ports at each balancer's address.
const (
	dataPort    = 9000
	readyPort   = 9001
	controlPort = 9002
	peerPort    = 9003
	storePort   = 9004
)

const (
	// stopTimeout is the time after which a planned stop counts as hung.
	stopTimeout = 6 * time.Second
	// signalSetupTime is the time that a process may need until it handles signals, also on a
	// busy machine.
	signalSetupTime = 100 * time.Millisecond
	// exitPollInterval is the interval at which a wait checks whether the process is suspended.
	exitPollInterval = 20 * time.Millisecond
	// zoneCount is the number of zones of the balancers.
	zoneCount = 2
)

// fleet manages the balancer processes of a run.
type fleet struct {
	program string
	folder  string
	network byte
	members []*member
}

// member is one balancer. The mutex protects the fields below it.
type member struct {
	number   int
	settings string
	log      *os.File

	mutex   sync.Mutex
	process *os.Process
	exited  chan struct{}
	// exitExpected is set once the soak itself ends the process.
	exitExpected bool
	// failures describes unexpected exits, hung stops and failed starts.
	failures []string
	// startedAt is when the current process was started.
	startedAt time.Time
	// paused is set while the process is suspended.
	paused bool
}

// loopbackAddress returns 127.network.third.fourth.
func (f *fleet) loopbackAddress(third, fourth int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network, byte(third), byte(fourth)})
}

// balancerAddress returns the address of a balancer, relayAddress the address at which its
// peers reach it through a relay, and storeProxyAddress the store's address for it.
func (f *fleet) balancerAddress(number int) netip.Addr { return f.loopbackAddress(0, 1+number) }
func (f *fleet) relayAddress(number int) netip.Addr    { return f.loopbackAddress(1, 1+number) }
func (f *fleet) storeProxyAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(f.loopbackAddress(2, 1+number), storePort)
}

func zoneOf(number int) string { return fmt.Sprintf("zone-%c", 'a'+number%zoneCount) }

// cpuShare returns the CPU share in a balancer's settings file. One in three balancers has a
// high capacity.
func cpuShare(number int) float64 {
	if number%3 == 1 {
		return 0.8
	}
	return 0.045
}

// ports returns the addresses on which a balancer listens.
func (f *fleet) ports(number int) (data, ready, control, peer netip.AddrPort) {
	address := f.balancerAddress(number)
	return netip.AddrPortFrom(address, dataPort), netip.AddrPortFrom(address, readyPort), netip.AddrPortFrom(address, controlPort), netip.AddrPortFrom(address, peerPort)
}

// newFleet returns a fleet after writing the settings files of its balancers into folder. It
// starts no process.
func newFleet(program, folder string, network byte, balancers int, snapshot bool) (*fleet, error) {
	f := &fleet{program: program, folder: folder, network: network}
	var seeds []string
	for number := range min(3, balancers) {
		seeds = append(seeds, netip.AddrPortFrom(f.relayAddress(number), controlPort).String())
	}
	for number := range balancers {
		address := f.balancerAddress(number)
		text := fmt.Sprintf("node: balancer-%d\nzone: %s\ndata: %s:%d\nready: %s:%d\ncontrol: %s:%d\nadvertise: %s:%d\npeer_port: %d\nseeds: [%s]\nstore: %s\nready_path: /readiness\nlink_mbps: 200\ncpu_share: %v\nsnapshot: %v\n",
			number, zoneOf(number), address, dataPort, address, readyPort, address, controlPort, f.relayAddress(number), controlPort, peerPort,
			strings.Join(seeds, ", "), f.storeProxyAddress(number), cpuShare(number), snapshot)
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

// balancers returns the members in the form that the platform's routers use.
func (f *fleet) balancers() []tagged.Balancer {
	var list []tagged.Balancer
	for number := range f.members {
		address := f.balancerAddress(number)
		list = append(list, tagged.Balancer{Zone: zoneOf(number), Data: netip.AddrPortFrom(address, dataPort), Ready: netip.AddrPortFrom(address, readyPort)})
	}
	return list
}

// start starts the member's process unless it is running.
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
	exited := make(chan struct{})
	m.process, m.exited, m.exitExpected, m.paused, m.startedAt = command.Process, exited, false, false, time.Now()
	go func() {
		err := command.Wait()
		m.mutex.Lock()
		defer m.mutex.Unlock()
		if !m.exitExpected {
			m.failures = append(m.failures, fmt.Sprintf("balancer %d exited unexpectedly after %v: %v", m.number, time.Since(m.startedAt), err))
		}
		m.process = nil
		close(exited)
	}()
	return nil
}

// signal sends a signal to the member's process and returns a channel that is closed when that
// process has exited. It returns nil if no process is running.
func (m *member) signal(signal syscall.Signal) (exited <-chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.process == nil {
		return nil
	}
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		m.exitExpected = true
	}
	switch signal {
	case syscall.SIGSTOP:
		m.paused = true
	case syscall.SIGCONT:
		m.paused = false
	}
	// The process may have just exited.
	_ = m.process.Signal(signal)
	return m.exited
}

// reload sends SIGHUP unless the process has just been started: the kernel's default action
// would end it before its runtime handles signals.
func (m *member) reload() {
	m.mutex.Lock()
	starting := time.Since(m.startedAt) < signalSetupTime
	m.mutex.Unlock()
	if !starting {
		m.signal(syscall.SIGHUP)
	}
}

// signalIfRunning sends a signal if the member's current process is the one whose exit closes
// exited.
func (m *member) signalIfRunning(exited <-chan struct{}, signal syscall.Signal) {
	m.mutex.Lock()
	isCurrent := m.exited == exited
	m.mutex.Unlock()
	if isCurrent {
		m.signal(signal)
	}
}

// waitExit waits until exited is closed and reports whether that happened within limit. The time
// in which the process is suspended does not count. A nil channel means no process.
func (m *member) waitExit(exited <-chan struct{}, limit time.Duration) bool {
	if exited == nil {
		return true
	}
	ticker := time.NewTicker(exitPollInterval)
	defer ticker.Stop()
	for ran := time.Duration(0); ran < limit; {
		select {
		case <-exited:
			return true
		case <-ticker.C:
			m.mutex.Lock()
			if !m.paused || m.exited != exited {
				ran += exitPollInterval
			}
			m.mutex.Unlock()
		}
	}
	return false
}

// killProcesses kills all processes of the fleet and closes their logs.
func (f *fleet) killProcesses() {
	for _, m := range f.members {
		m.signal(syscall.SIGCONT)
		m.waitExit(m.signal(syscall.SIGKILL), stopTimeout)
		m.log.Close()
	}
}

// processFailures returns the unexpected exits, hung stops and failed starts of all members.
func (f *fleet) processFailures() []string {
	var all []string
	for _, m := range f.members {
		m.mutex.Lock()
		all = append(all, m.failures...)
		m.mutex.Unlock()
	}
	return all
}
