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
	// bootstrapPeriod is the time after its start in which a bootstrapping node may
	// assume that no balancer ran before.
	bootstrapPeriod = 10 * time.Second
	// socketBufferSize is the requested size of socket buffers, in bytes.
	socketBufferSize = 4 << 20
	// shutdownTimeout is the timeout of the HTTP server's shutdown and of reading a
	// request's header.
	shutdownTimeout = time.Second
)

// Node is a running balancer.
type Node struct {
	config  Config
	log     hclog.Logger
	core    *balancer.Core
	decoder *wire.Decoder
	store   *store.Client
	data    *net.UDPConn
	peer    *net.UDPConn
	started time.Time
	// messageID is the ID of the last answer in a separate message.
	messageID atomic.Uint32
	// leave holds at most one request for a graceful shutdown.
	leave chan struct{}
}

// New returns a node with its sockets open. Run starts it.
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
		Measure: wire.EncodedSize,
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
	// The kernel may grant smaller buffers, which is acceptable.
	_ = connection.SetReadBuffer(socketBufferSize)
	_ = connection.SetWriteBuffer(socketBufferSize)
	return connection, nil
}

// now returns the time that the core uses: the monotonic time since the node's start.
func (n *Node) now() time.Duration {
	return time.Since(n.started)
}

// Leave starts a graceful shutdown. Run returns when it is complete.
func (n *Node) Leave() {
	select {
	case n.leave <- struct{}{}:
	default:
	}
}

// Run serves until a graceful shutdown is complete or ctx ends.
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

// tick sends Tick and Leave events to the core until a graceful shutdown is complete
// or ctx ends.
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

// step passes an event to the core and performs the resulting effects. It overwrites
// effects.
func (n *Node) step(event balancer.Event, effects *balancer.Effects) {
	effects.Reset()
	n.core.Step(n.now(), event, effects)
	for i := range effects.List {
		n.perform(&effects.List[i])
	}
}

// decodeFunc decodes a datagram into the worker's reused event or a new one. If it
// cannot, it counts the datagram as dropped and returns nil.
type decodeFunc func(data []byte, reused *balancer.Datagram) balancer.Event

// receive is the loop of one worker: it receives, decodes and handles datagrams. It
// reuses its memory for each datagram.
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
			// The error is of an earlier send to a closed port. The socket remains usable.
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

// perform carries out one effect. Failed sends are ignored: the protocols above
// retransmit.
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

// sendAnswer answers a failed request, unless its error kind has no answer.
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

// serveAdmin serves the operators' HTTP port until ctx ends.
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
