// Package fabric is a small stand-in for the network fabric. It sprays each
// datagram of callers and back ends over the balancers that the machine list
// shows, and takes answers to callers.
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

// Config is what a fabric is started with.
type Config struct {
	// Services are the addresses that callers reach.
	Services []netip.AddrPort
	// Return takes datagrams of back ends, and Deliver those of balancers.
	Return, Deliver netip.AddrPort
	// Machines is the URL of the machine list.
	Machines string
}

// Fabric is a running fabric.
type Fabric struct {
	config   Config
	services map[netip.AddrPort]*net.UDPConn
	outward  *net.UDPConn
	inward   *net.UDPConn
	deliver  *net.UDPConn

	mutex     sync.RWMutex
	balancers []netip.AddrPort
}

// New opens the fabric's sockets.
func New(config Config) (*Fabric, error) {
	f := &Fabric{config: config, services: map[netip.AddrPort]*net.UDPConn{}}
	for _, address := range config.Services {
		socket, err := listen(address)
		if err != nil {
			return nil, err
		}
		f.services[address] = socket
	}
	var err error
	if f.inward, err = listen(config.Return); err != nil {
		return nil, err
	}
	if f.deliver, err = listen(config.Deliver); err != nil {
		return nil, err
	}
	f.outward, err = listen(netip.AddrPortFrom(config.Return.Addr(), 0))
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

// Run passes datagrams until ctx ends.
func (f *Fabric) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.followList(ctx) })
	group.Go(func() error { return pump(ctx, f.inward, f.fromBackend) })
	group.Go(func() error { return pump(ctx, f.deliver, f.toCaller) })
	for address, socket := range f.services {
		group.Go(func() error {
			return pump(ctx, socket, func(data []byte, from netip.AddrPort) { f.fromCaller(data, from, address) })
		})
	}
	group.Go(func() error {
		<-ctx.Done()
		for _, socket := range f.services {
			socket.Close()
		}
		f.inward.Close()
		f.deliver.Close()
		return f.outward.Close()
	})
	return group.Wait()
}

func pump(ctx context.Context, socket *net.UDPConn, pass func([]byte, netip.AddrPort)) error {
	buffer := make([]byte, wire.MaxDatagram)
	for {
		length, from, err := socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			pass(buffer[:length], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
	}
}

func (f *Fabric) followList(ctx context.Context) error {
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
		_, _ = f.outward.WriteToUDPAddrPort(data, f.balancers[rand.IntN(len(f.balancers))])
	}
}

func (f *Fabric) fromCaller(data []byte, caller, service netip.AddrPort) {
	header, err := wire.RequestHeader(flow.Key{Caller: caller, Service: service})
	if err == nil {
		f.spray(append(header, data...))
	}
}

func (f *Fabric) fromBackend(data []byte, _ netip.AddrPort) {
	f.spray(data)
}

func (f *Fabric) toCaller(data []byte, _ netip.AddrPort) {
	header, body, err := wire.Split(data)
	if err != nil {
		return
	}
	// An answer of a balancer itself has no back end, so that its header reads
	// like a request's: its source is the service.
	key := header.Flow
	if !header.Backend.IsValid() {
		key.Caller, key.Service = key.Service, key.Caller
	}
	if socket := f.services[key.Service]; socket != nil {
		_, _ = socket.WriteToUDPAddrPort(body, key.Caller)
	}
}
