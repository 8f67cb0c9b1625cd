package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/follow"
	"gaugeyard/internal/peers"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/snapshot"
	"gaugeyard/internal/steering"
)

const (
	// socketBuffer is the requested size of the data socket's buffers, in bytes.
	socketBuffer = 1 << 20
	// maxDatagram is the length of the longest datagram, in bytes.
	maxDatagram = 2048
	// maxFlows bounds the flow table to about 100 MB.
	maxFlows = 400_000
	// tickInterval is the interval of periodic work in the steerer and the directory.
	tickInterval = time.Second
	// sampleEvery is the number of packets for each one whose handling is timed.
	sampleEvery  = 64
	flushTimeout = 200 * time.Millisecond
	// headerTimeout bounds the reading of request headers by the HTTP servers.
	headerTimeout = time.Second
	// maxConnections bounds the concurrent connections of each HTTP server.
	maxConnections = 256
	// maxInquiries bounds the batches of inquiries that wait to be sent.
	maxInquiries = 8
	// idleTimeout is how long an HTTP connection may be idle, for clients and servers.
	idleTimeout = 5 * time.Second
)

// Node is a running balancer process.
type Node struct {
	// current is the configuration in force; a reload replaces it.
	current atomic.Pointer[Config]
	// document is the settings file as last read. Only the goroutine that handles reloads uses it.
	document []byte
	adapter  Adapter
	log      hclog.Logger
	lines    *lineWriter
	// placementLines limits log lines about placed flows, exceptionLines those about other decisions and
	// rejected entries.
	placementLines, exceptionLines lineBudget
	metrics                        *processMetrics
	data                           *net.UDPConn
	started                        time.Time
	peer                           *net.UDPConn
	// peerClient calls other balancers.
	peerClient *http.Client

	// source and storeLostAt are used by the follower's goroutine alone: its upstream, and when the contact
	// with the store was lost.
	source      string
	storeLostAt time.Duration

	// stateMutex guards directory, peers, confirmed and generation. It is acquired before steeringMutex, which
	// guards steerer and is the only lock that a packet needs, and before the mutex of changed.
	stateMutex sync.Mutex
	directory  *directory.Directory
	peers      *peers.Table
	// confirmed is when the store last confirmed the known state.
	confirmed follow.Confirmation
	// generation counts the changes of the known state.
	generation    uint64
	steeringMutex sync.Mutex
	steerer       *steering.Steerer

	startupQueue startupQueue
	// lag is guarded by stateMutex. cancelCall cancels the follower's current call, and superseded reports
	// whether it was used since that call began.
	lag        follow.Lag
	cancelCall atomic.Pointer[context.CancelFunc]
	superseded atomic.Bool
	// receiving is set once the response to that call has begun to arrive.
	receiving atomic.Bool
	// announcements requests an immediate round of hellos, urgentReports an urgent report on back ends to all
	// live peers.
	announcements, urgentReports chan struct{}
	// inquiries are to be sent to all live peers at once.
	inquiries chan []steering.Inquiry
	// followers counts the requests of other balancers in progress.
	followers atomic.Int64
	// listings counts those of them for a full listing.
	listings atomic.Int64
	// changed wakes the requests that wait for changes.
	changed broadcast
	// answerCache holds encoded answers to them.
	answerCache answerCache
	// fetchingListing is set while a full listing is requested from other balancers, and stays set once one
	// has been received.
	fetchingListing atomic.Bool
	fetchingSummary atomic.Bool
	// leaving is set during a planned stop.
	leaving atomic.Bool
	// snapshots decides when the snapshot is written. It is guarded by stateMutex.
	snapshots snapshot.Writer
	// initializedAt is the time from started to the first known state, 0 while there is none. It is guarded by
	// stateMutex.
	initializedAt time.Duration
	// followsStore is set while the upstream of the follower is the store.
	followsStore atomic.Bool
	// storeUnavailable is set while the store does not respond.
	storeUnavailable atomic.Bool
	// delayed counts the datagrams that wait to be steered again.
	delayed atomic.Int64
	// lastPacket is the time of the last packet on the clock of now.
	lastPacket atomic.Int64
	// viewRevision is the revision of the steerer's view, for logs.
	viewRevision atomic.Uint64
	// onSettingsKnown is called once when the settings are known, by the goroutine of tick. It may be nil.
	onSettingsKnown func()
	stop            chan struct{}
	stopOnce        sync.Once
}

// New returns a node with open sockets for datagrams of callers and of peers. Its log is written to out.
func New(config Config, out io.Writer) (*Node, error) {
	data, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.Data))
	if err != nil {
		return nil, err
	}
	// The kernel may grant smaller buffers.
	_ = data.SetReadBuffer(socketBuffer)
	_ = data.SetWriteBuffer(socketBuffer)
	peer, err := listenPeers(config.Control, config.PeerPort)
	if err != nil {
		return nil, errors.Join(err, data.Close())
	}
	lines := newLineWriter(out)
	n := &Node{
		lines:         lines,
		log:           newLogger(config.Node, lines),
		data:          data,
		peer:          peer,
		peerClient:    NewHTTPClient(),
		peers:         peers.New(config.introduction()),
		started:       time.Now(),
		directory:     directory.New(removedRetention(&config)),
		steerer:       steering.New(steeringConfig(&config)),
		stop:          make(chan struct{}),
		announcements: make(chan struct{}, 1),
		urgentReports: make(chan struct{}, 1),
		inquiries:     make(chan []steering.Inquiry, maxInquiries),
	}
	n.current.Store(&config)
	n.directory.SetExpiryBounds(directory.ExpiryBoundsFor(config.Bounds.Contact, config.Bounds.Drain))
	n.directory.SetInterval(config.Bounds.Announce)
	n.metrics = newMetrics(n)
	return n, nil
}

// config returns the configuration in force, which must not be modified.
func (n *Node) config() *Config {
	return n.current.Load()
}

func steeringConfig(config *Config) steering.Config {
	return steering.Config{
		Zone:         config.Zone,
		FlowLife:     config.Bounds.FlowLife,
		RemovalGrace: config.Bounds.Drain / 2,
		MaxFlows:     maxFlows,

		WarmUpOvershoot: config.Bounds.WarmUpOvershoot,
		WarmUpSlack:     config.Bounds.WarmUpSlack,
	}
}

// removedRetention returns how long removed back ends are retained.
func removedRetention(config *Config) time.Duration {
	return config.Bounds.FlowLife + config.Bounds.Drain
}

// now returns the time since the start of the process on the monotonic clock.
func (n *Node) now() time.Duration {
	return time.Since(n.started)
}

// Leave starts a planned stop. Run returns when it is over.
func (n *Node) Leave() {
	n.stopOnce.Do(func() {
		n.leaving.Store(true)
		close(n.stop)
	})
}

// Run serves until a planned stop is over or ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	n.log.Info("started", "zone", n.config().Zone, "data", n.config().Data, "store", n.config().Store, "first_start", n.config().FirstStart, "capacity", n.config().capacity())
	for range n.config().Workers {
		group.Go(func() error { return n.receive(ctx) })
	}
	group.Go(func() error { return n.follow(ctx) })
	group.Go(func() error { return serve(ctx, n.config().Ready.String(), n.readyHandler()) })
	group.Go(func() error { return serve(ctx, n.config().Control.String(), n.controlHandler()) })
	group.Go(func() error { return n.sendHellos(ctx) })
	group.Go(func() error { return n.receiveHellos(ctx) })
	group.Go(func() error { return n.tick(ctx) })
	group.Go(func() error { return n.pulse(ctx) })
	group.Go(func() error { return n.maintainSnapshot(ctx) })
	group.Go(func() error {
		defer cancel()
		return n.awaitStop(ctx)
	})
	group.Go(func() error {
		<-ctx.Done()
		return errors.Join(n.data.Close(), n.peer.Close())
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	n.log.Info("stopped", "error", err)
	n.lines.flush(flushTimeout)
	return err
}

// tick calls advanceTime at intervals until ctx ends, and onSettingsKnown once.
func (n *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			n.advanceTime()
			if n.onSettingsKnown != nil && n.settingsKnown() {
				n.onSettingsKnown()
				n.onSettingsKnown = nil
			}
		}
	}
}

// pulse calls the steerer at intervals until ctx ends, so that it detects pauses of the process.
func (n *Node) pulse(ctx context.Context) error {
	ticker := time.NewTicker(steering.PulseInterval)
	defer ticker.Stop()
	buffer := make([]byte, maxDatagram)
	for {
		n.steeringMutex.Lock()
		n.steerer.Pulse(n.now())
		observed := n.takeObservations()
		n.steeringMutex.Unlock()
		n.handleObservations(n.now(), &observed, buffer)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// advanceTime does the periodic work of the directory and the steerer.
func (n *Node) advanceTime() {
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	if n.directory.Forget(n.now()) {
		n.installView()
	}
	n.steeringMutex.Lock()
	defer n.steeringMutex.Unlock()
	n.steerer.Tick(n.now())
}

// receive is a worker that reads and handles datagrams until ctx ends. It reuses its buffers.
func (n *Node) receive(ctx context.Context) error {
	headroom := n.adapter.Codec.Headroom()
	buffer := make([]byte, headroom+maxDatagram)
	answer := make([]byte, maxDatagram)
	packet := &steering.Packet{}
	for count := 0; ; count++ {
		length, _, err := n.data.ReadFromUDPAddrPort(buffer[headroom:])
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			// The error is of an earlier send to a closed port. The socket stays usable.
			continue
		}
		started := n.now()
		n.metrics.packets.Inc()
		n.lastPacket.Store(int64(started))
		packet.Waited, packet.Held = false, 0
		n.handle(started, buffer[:headroom+length], packet, answer)
		if count%sampleEvery == 0 {
			n.metrics.observeHandling(started, n.now())
		}
	}
}

// handle decodes and steers a datagram, and forwards, refuses, delays, queues or drops it.
func (n *Node) handle(now time.Duration, buffer []byte, packet *steering.Packet, answer []byte) {
	datagram := buffer[n.adapter.Codec.Headroom():]
	if err := n.adapter.Codec.Decode(datagram, packet); err != nil {
		n.metrics.dropped[errkind.Malformed].Inc()
		return
	}
	n.steeringMutex.Lock()
	decision := n.steerer.Steer(now, packet)
	observed := n.takeObservations()
	n.steeringMutex.Unlock()
	n.handleObservations(now, &observed, answer)
	if decision.Replaced != nil {
		n.logReplacement(packet, &decision)
	}
	switch decision.Action {
	case steering.Forward:
		n.metrics.forwarded.Inc()
		n.send(n.adapter.Codec.Forward(buffer, decision.Backend, decision.Tag), decision.Backend.Address)
	case steering.Refuse:
		n.metrics.refused[decision.Reason].Inc()
		n.refuse(answer, packet.Flow, packet.Acknowledged)
	case steering.Wait:
		n.delayCopy(datagram)
		return
	case steering.Drop:
		if queueable(&decision) && n.startupQueue.add(now-packet.Held, datagram) {
			return
		}
		n.metrics.dropped[decision.Reason].Inc()
	}
	n.logDecision(packet, &decision)
}

// backendName returns the identifier as it appears in logs.
func backendName(id settings.BackendID) string {
	return fmt.Sprintf("%x", uint64(id))
}

// serve runs an HTTP server until ctx ends. More than maxConnections connections wait to be accepted, and
// their clients time out. The limit leaves file descriptors for the rest of the process when a large fleet
// starts and connects to the same few seeds.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	return serveOn(ctx, netutil.LimitListener(listener, maxConnections), handler)
}

func serveOn(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}
