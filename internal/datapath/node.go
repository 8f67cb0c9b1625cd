package datapath

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/membership"
	"gaugeyard/internal/store"

	"gaugeyard/internal/wire"
)

const (
	// bootstrapTime is how long after its start a bootstrapping node may assume
	// that no balancer ran before.
	bootstrapPeriod = 10 * time.Second
	// socketBuffer is the size of socket buffers asked for, in bytes.
	socketBufferSize = 4 << 20
	// shutdownTime bounds the end of the HTTP server.
	shutdownTimeout = time.Second
)

// Node is one running balancer.
type Node struct {
	config  Config
	log     hclog.Logger
	core    *balancer.Core
	decoder *wire.Decoder
	store   *store.Client
	data    *net.UDPConn
	peer    *net.UDPConn
	started time.Time
	// messageID numbers answers in messages of their own.
	messageID atomic.Uint32
	leave     chan struct{}
}

// New opens the node's sockets.
func New(config Config, log hclog.Logger) (*Node, error) {
	data, err := listen(config.Data)
	if err != nil {
		return nil, err
	}
	peer, err := listen(config.Peer)
	if err != nil {
		return nil, errors.Join(err, data.Close())
	}
	started := time.Now()
	core := balancer.Config{
		Self: membership.Member{
			ID:      membership.IDOf(config.Peer, uint64(started.UnixNano())),
			Zone:    config.Zone,
			Address: config.Peer,
		},
		Measure: wire.Measure,
	}
	if config.Bootstrap {
		core.BootstrapUntil = bootstrapPeriod
	}
	return &Node{
		config:  config,
		log:     log,
		core:    balancer.New(core),
		decoder: wire.NewDecoder(),
		store:   store.New(config.Store),
		data:    data,
		peer:    peer,
		started: started,
		leave:   make(chan struct{}, 1),
	}, nil
}

func listen(address netip.AddrPort) (*net.UDPConn, error) {
	connection, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	// The kernel may grant less; that is no fault.
	_ = connection.SetReadBuffer(socketBufferSize)
	_ = connection.SetWriteBuffer(socketBufferSize)
	return connection, nil
}

// now is the time of the core: how long this process runs, by the monotonic clock.
func (n *Node) now() time.Duration {
	return time.Since(n.started)
}

// Leave starts a planned stop; Run returns when it is over.
func (n *Node) Leave() {
	select {
	case n.leave <- struct{}{}:
	default:
	}
}

// Run serves until a planned stop is over or ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for range n.config.Workers {
		group.Go(func() error { return n.receive(ctx, n.data, n.decodeData) })
		group.Go(func() error { return n.receive(ctx, n.peer, n.decodePeer) })
	}
	group.Go(func() error { return n.watchSettings(ctx) })
	group.Go(func() error { return n.pollMachines(ctx) })
	group.Go(func() error { return n.pollLoad(ctx) })
	group.Go(func() error { return n.serveAdmin(ctx) })
	group.Go(func() error {
		defer cancel()
		return n.tick(ctx)
	})
	group.Go(func() error {
		<-ctx.Done()
		return errors.Join(n.data.Close(), n.peer.Close())
	})
	n.log.Info("started", "zone", n.config.Zone, "data", n.config.Data, "peer", n.config.Peer, "admin", n.config.Admin)
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}

// tick lets time pass in the core until a planned stop is over.
func (n *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(balancer.TickInterval)
	defer ticker.Stop()
	var effects balancer.Effects
	for !n.core.Finished() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.leave:
			n.step(&balancer.Leave{}, &effects)
		case <-ticker.C:
			n.step(&balancer.Tick{}, &effects)
		}
	}
	return nil
}

// step hands one event to the core and performs what follows.
func (n *Node) step(event balancer.Event, effects *balancer.Effects) {
	effects.Reset()
	n.core.Step(n.now(), event, effects)
	for i := range effects.List {
		n.perform(&effects.List[i])
	}
}

// decode reads one datagram into the worker's own event or a new one; it returns
// nil for a datagram that was counted and dropped.
type decodeFunc func(data []byte, reused *balancer.Datagram) balancer.Event

// receive is one worker: receive, decode, step, perform. Its memory is reused
// for each datagram.
func (n *Node) receive(ctx context.Context, socket *net.UDPConn, decode decodeFunc) error {
	buffer := make([]byte, wire.MaxDatagram)
	reused := &balancer.Datagram{Packet: &balancer.Packet{}}
	var effects balancer.Effects
	for {
		length, _, err := socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			// An earlier send met a closed port; the socket itself is sound.
			continue
		}
		if event := decode(buffer[:length], reused); event != nil {
			n.step(event, &effects)
		}
	}
}

func (n *Node) decodeData(data []byte, reused *balancer.Datagram) balancer.Event {
	if err := n.decoder.Decode(data, reused.Packet); err != nil {
		n.core.Counters.Drop(errkind.Malformed)
		return nil
	}
	return reused
}

func (n *Node) decodePeer(data []byte, _ *balancer.Datagram) balancer.Event {
	message, kind, err := n.decoder.DecodeMessage(data)
	if err != nil {
		n.core.Counters.Drop(kind)
		return nil
	}
	return &balancer.PeerMessage{Message: message}
}

// perform carries out one effect. A datagram that cannot be sent is lost as on
// any network; the protocols above repeat it.
func (n *Node) perform(effect *balancer.Effect) {
	switch effect.Kind {
	case balancer.ForwardToBackend:
		n.send(n.data, effect.Packet.Data, effect.To)
	case balancer.DeliverToCaller:
		n.send(n.data, effect.Packet.Data, n.config.Deliver)
	case balancer.AnswerCaller:
		n.sendAnswer(effect)
	case balancer.SendPeer:
		datagram, err := wire.EncodeMessage(effect.Message)
		if err != nil {
			n.log.Error("cannot encode a message", "error", err)
			return
		}
		n.send(n.peer, datagram, effect.To)
	case balancer.StateChanged:
		n.log.Info("state", "subject", effect.Subject, "state", effect.State, "revision", n.core.Snapshot().Revision)
	}
}

func (n *Node) sendAnswer(effect *balancer.Effect) {
	messageID := uint16(n.messageID.Add(1))
	datagram, err := wire.EncodeAnswer(effect.Packet, effect.Error, effect.RetryAfter, messageID)
	if err != nil {
		n.log.Error("cannot encode an answer", "error", err)
		return
	}
	if datagram != nil {
		n.send(n.data, datagram, n.config.Deliver)
	}
}

func (n *Node) send(socket *net.UDPConn, datagram []byte, to netip.AddrPort) {
	_, _ = socket.WriteToUDPAddrPort(datagram, to)
}

// serveAdmin serves operators until ctx ends.
func (n *Node) serveAdmin(ctx context.Context) error {
	server := &http.Server{Addr: n.config.Admin.String(), Handler: n.adminHandler(), ReadHeaderTimeout: shutdownTimeout}
	stop := context.AfterFunc(ctx, func() {
		shutdownContext, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownContext)
	})
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}
