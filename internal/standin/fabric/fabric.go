// Package fabric is a stand-in for the network fabric. It sends each datagram
// of callers and back ends to a random balancer of the machine list, and
// delivers answers to callers.
package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"gaugeyard/internal/discovery"
	"gaugeyard/internal/flow"

	"gaugeyard/internal/wire"
)

const (
	listInterval = 200 * time.Millisecond
	socketBuffer = 4 << 20
)

// Config configures a fabric.
type Config struct {
	// Services are the service addresses that callers send to.
	Services []netip.AddrPort
	// Return receives datagrams of back ends, Deliver those of balancers.
	Return, Deliver netip.AddrPort
	// Machines is the URL of the machine list.
	Machines string
}

// Fabric is a running fabric.
type Fabric struct {
	config         Config
	serviceSockets map[netip.AddrPort]*net.UDPConn
	sendSocket     *net.UDPConn
	returnSocket   *net.UDPConn
	deliverSocket  *net.UDPConn

	mutex     sync.RWMutex
	balancers []netip.AddrPort
}

// New returns a fabric with open sockets.
func New(config Config) (*Fabric, error) {
	f := &Fabric{config: config, serviceSockets: map[netip.AddrPort]*net.UDPConn{}}
	for _, address := range config.Services {
		socket, err := listen(address)
		if err != nil {
			return nil, err
		}
		f.serviceSockets[address] = socket
	}
	var err error
	if f.returnSocket, err = listen(config.Return); err != nil {
		return nil, err
	}
	if f.deliverSocket, err = listen(config.Deliver); err != nil {
		return nil, err
	}
	f.sendSocket, err = listen(netip.AddrPortFrom(config.Return.Addr(), 0))
	return f, err
}

func listen(address netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(socketBuffer)
	return socket, nil
}

// Run forwards datagrams until ctx ends.
func (f *Fabric) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.pollMachines(ctx) })
	group.Go(func() error { return receiveLoop(ctx, f.returnSocket, f.forwardFromBackend) })
	group.Go(func() error { return receiveLoop(ctx, f.deliverSocket, f.deliverToCaller) })
	for address, socket := range f.serviceSockets {
		group.Go(func() error {
			return receiveLoop(ctx, socket, func(data []byte, from netip.AddrPort) { f.forwardFromCaller(data, from, address) })
		})
	}
	group.Go(func() error {
		<-ctx.Done()
		for _, socket := range f.serviceSockets {
			socket.Close()
		}
		f.returnSocket.Close()
		f.deliverSocket.Close()
		return f.sendSocket.Close()
	})
	return group.Wait()
}

// receiveLoop passes each datagram and its source to handle until ctx ends.
// The data is valid only during the call.
func receiveLoop(ctx context.Context, socket *net.UDPConn, handle func([]byte, netip.AddrPort)) error {
	buffer := make([]byte, wire.MaxDatagram)
	for {
		length, from, err := socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			handle(buffer[:length], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
	}
}

func (f *Fabric) pollMachines(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		if machines, err := discovery.Machines(ctx, f.config.Machines); err == nil {
			balancers := make([]netip.AddrPort, len(machines))
			for i, machine := range machines {
				balancers[i] = machine.Data
			}
			f.mutex.Lock()
			f.balancers = balancers
			f.mutex.Unlock()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// spray sends a datagram to a random balancer.
func (f *Fabric) spray(data []byte) {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	if len(f.balancers) > 0 {
		_, _ = f.sendSocket.WriteToUDPAddrPort(data, f.balancers[rand.IntN(len(f.balancers))])
	}
}

func (f *Fabric) forwardFromCaller(data []byte, caller, service netip.AddrPort) {
	header, err := wire.RequestHeader(flow.Key{Caller: caller, Service: service})
	if err == nil {
		f.spray(append(header, data...))
	}
}

func (f *Fabric) forwardFromBackend(data []byte, _ netip.AddrPort) {
	f.spray(data)
}

func (f *Fabric) deliverToCaller(data []byte, _ netip.AddrPort) {
	header, body, err := wire.Split(data)
	if err != nil {
		return
	}
	// An answer by a balancer itself has no back end, so its header is decoded
	// like a request's, with the service as its source.
	key := header.Flow
	if !header.Backend.IsValid() {
		key.Caller, key.Service = key.Service, key.Caller
	}
	if socket := f.serviceSockets[key.Service]; socket != nil {
		_, _ = socket.WriteToUDPAddrPort(body, key.Caller)
	}
}
