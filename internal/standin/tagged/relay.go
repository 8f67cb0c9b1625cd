package tagged

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Relay is a proxy between one balancer and its peers that can inject network faults. Peers
// reach the balancer at the relay's address.
type Relay struct {
	listener  *net.TCPListener
	datagram  *net.UDPConn
	tcpTarget netip.AddrPort
	udpTarget *net.UDPConn

	mutex       sync.Mutex
	partitioned bool
	delay       time.Duration
	reordering  bool
	connections map[*net.TCPConn]bool
	// silencer holds the connections of the peers.
	silencer Silencer
}

// NewRelay forwards traffic from the control (TCP) and peer (UDP) ports of address to the same
// ports of target until ctx ends.
func NewRelay(ctx context.Context, address, target netip.Addr, control, peer uint16) (*Relay, error) {
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(address, control)))
	if err != nil {
		return nil, err
	}
	datagram, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, peer)))
	if err != nil {
		return nil, err
	}
	udpTarget, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(netip.AddrPortFrom(target, peer)))
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, datagram: datagram, udpTarget: udpTarget, tcpTarget: netip.AddrPortFrom(target, control), connections: map[*net.TCPConn]bool{}}
	context.AfterFunc(ctx, r.close)
	go r.forwardDatagrams()
	go r.acceptConnections()
	return r, nil
}

func (r *Relay) close() {
	r.listener.Close()
	r.datagram.Close()
	r.udpTarget.Close()
	r.Reset()
}

// SetPartitioned starts or ends a partition: datagrams are dropped and bytes of connections
// held back, and neither end is notified.
func (r *Relay) SetPartitioned(partitioned bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.partitioned = partitioned
}

// SetDelay sets the delay of all traffic.
func (r *Relay) SetDelay(delay time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.delay = delay
}

// SetReordering starts or ends the reordering and duplication of datagrams.
func (r *Relay) SetReordering(reordering bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reordering = reordering
}

// drawReordering returns the extra delay of a datagram, and whether it is duplicated.
func (r *Relay) drawReordering() (extraDelay time.Duration, duplicated bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.reordering {
		return 0, false
	}
	if rand.IntN(reorderOneIn) == 0 {
		extraDelay = rand.N(maxReorderDelay)
	}
	return extraDelay, rand.IntN(reorderOneIn) == 0
}

// Reset resets all connections.
func (r *Relay) Reset() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for connection := range r.connections {
		_ = connection.SetLinger(0)
		connection.Close()
	}
	clear(r.connections)
}

// Silence drops all further traffic on the open connections without closing them.
func (r *Relay) Silence() {
	r.silencer.Silence()
}

func (r *Relay) state() (partitioned bool, delay time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.partitioned, r.delay
}

func (r *Relay) forwardDatagrams() {
	buffer := make([]byte, 64<<10)
	for {
		length, _, err := r.datagram.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		partitioned, delay := r.state()
		if partitioned {
			continue
		}
		data := append([]byte(nil), buffer[:length]...)
		// Write errors are ignored: the balancer may be down.
		extraDelay, duplicated := r.drawReordering()
		time.AfterFunc(delay+extraDelay, func() { _, _ = r.udpTarget.Write(data) })
		if duplicated {
			time.AfterFunc(delay+rand.N(maxReorderDelay), func() { _, _ = r.udpTarget.Write(data) })
		}
	}
}

func (r *Relay) acceptConnections() {
	for {
		caller, err := r.listener.AcceptTCP()
		if err != nil {
			return
		}
		go r.forwardConnection(caller)
	}
}

func (r *Relay) forwardConnection(caller *net.TCPConn) {
	defer caller.Close()
	target, err := net.DialTCP("tcp4", nil, net.TCPAddrFromAddrPort(r.tcpTarget))
	if err != nil {
		// Resets the connection, as a closed port would.
		_ = caller.SetLinger(0)
		return
	}
	defer target.Close()
	r.mutex.Lock()
	r.connections[caller], r.connections[target] = true, true
	r.mutex.Unlock()
	done := make(chan struct{}, 2)
	watched := r.silencer.watch(caller)
	defer watched.Close()
	go r.forwardBytes(target, watched, done)
	go r.forwardBytes(watched, target, done)
	<-done
	r.mutex.Lock()
	delete(r.connections, caller)
	delete(r.connections, target)
	r.mutex.Unlock()
}

// forwardBytes copies one direction of a connection and pauses while the relay is partitioned.
func (r *Relay) forwardBytes(to io.Writer, from io.Reader, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		length, err := from.Read(buffer)
		if err != nil {
			return
		}
		partitioned, delay := r.state()
		for ; partitioned; partitioned, _ = r.state() {
			time.Sleep(partitionPollInterval)
		}
		time.Sleep(delay)
		if _, err := to.Write(buffer[:length]); err != nil {
			return
		}
	}
}

// While reordering is on, one datagram in reorderOneIn is delayed by up to maxReorderDelay,
// and one is duplicated.
const (
	reorderOneIn    = 3
	maxReorderDelay = 50 * time.Millisecond
)

// partitionPollInterval is how often a partitioned relay checks whether the partition is over.
const partitionPollInterval = 20 * time.Millisecond
