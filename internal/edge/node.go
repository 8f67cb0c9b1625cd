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
	// socketBuffer is the size of the data socket's buffers asked for, in bytes.
	socketBuffer = 1 << 20
	// maxDatagram is the longest datagram that is read, in bytes.
	maxDatagram = 2048
	// maxFlows bounds the memory of flows at about 100 MB.
	maxFlows = 400_000
	// tickInterval is how often time passes in the steerer.
	tickInterval = time.Second
	// sampleEvery is how many packets pass for each that is timed.
	sampleEvery = 64
	// flushTime bounds the wait for log lines at the end.
	flushTime = 200 * time.Millisecond
	// shutdownTime bounds the end of HTTP servers and their reading of headers.
	shutdownTime = time.Second
	// maxConnections bounds the connections that each HTTP server has at once.
	maxConnections = 256
	// maxInquiries is how many packets' inquiries may wait to be sent.
	maxInquiries = 8
	// idleTime is how long a connection may rest on either side.
	idleTime = 5 * time.Second
)

// Node is one running balancer process.
type Node struct {
	// current is the configuration in force; a reload replaces it.
	current atomic.Pointer[Config]
	// document is the settings file as last read; only the signal handler uses it.
	document []byte
	adapter  Adapter
	log      hclog.Logger
	lines    *lineWriter
	// placedLines and oddLines bound what is written of flows.
	placementLines, exceptionLines lineBudget
	metrics                        *processMetrics
	data                           *net.UDPConn
	started                        time.Time
	peer                           *net.UDPConn
	// peerClient calls other balancers.
	peerClient *http.Client

	// source and lostAt belong to the follower's goroutine: whom it asks, and when
	// the store was lost.
	source      string
	storeLostAt time.Duration

	// beliefs guards directory, peers, confirmed and generation. It is taken before
	// steering, which guards steerer and is all that a packet needs, and before
	// the lock of changed.
	stateMutex sync.Mutex
	directory  *directory.Directory
	peers      *peers.Table
	// confirmed is when the store last confirmed what is believed.
	confirmed follow.Confirmation
	// generation counts the changes of what is believed.
	generation    uint64
	steeringMutex sync.Mutex
	steerer       *steering.Steerer

	startupQueue startupQueue
	// lag is guarded by beliefs. giveUp ends the follower's present call, and
	// overtaken tells that it was used since the call began.
	lag        follow.Lag
	cancelCall atomic.Pointer[context.CancelFunc]
	overtaken  atomic.Bool
	// receiving is set once the answer to that call has begun to arrive.
	receiving atomic.Bool
	// news asks for a round of hellos at once, and alarms for what is known of silent back
	// ends to be told to all others.
	announcements, urgentReports chan struct{}
	// inquiries are those that all others are to be sent at once.
	inquiries chan []steering.Inquiry
	// followers counts the balancers that are being served.
	followers atomic.Int64
	// listings counts those that are being told everything.
	listings atomic.Int64
	// changed wakes balancers that wait for changes here.
	changed broadcast
	// answers is what was encoded for them.
	answerCache answerCache
	// learning is set once another balancer is asked for everything.
	fetchingListing atomic.Bool
	// outlining is set while another balancer is asked for an outline.
	fetchingSummary atomic.Bool
	// leaving is set by a planned stop.
	leaving atomic.Bool
	// snapshots decides when the snapshot is written. It is guarded by beliefs.
	snapshots snapshot.Writer
	// knownAt is when anything was first known, since started; 0 for not yet. It is guarded by beliefs.
	initializedAt time.Duration
	// asksStore is set while the follower asks the store itself.
	followsStore atomic.Bool
	// failing is set while the store does not answer.
	storeFailing atomic.Bool
	// waiting counts the datagrams that wait to be steered again.
	delayed atomic.Int64
	// lastPacket is when the last packet came, by now().
	lastPacket atomic.Int64
	// viewRevision is the revision that packets are steered by, for logs.
	viewRevision atomic.Uint64
	// onSettingsKnown is called once the settings are known, by the goroutine of tick; nil for nothing.
	onSettingsKnown func()
	stop            chan struct{}
	stopOnce        sync.Once
}

// New opens the process's data socket and makes its parts.
func New(config Config, out io.Writer) (*Node, error) {
	data, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.Data))
	if err != nil {
		return nil, err
	}
	// The kernel may grant less; that is no fault.
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
	n.directory.SetLapse(directory.LapseWithin(config.Bounds.Contact, config.Bounds.Drain))
	n.directory.SetInterval(config.Bounds.Announce)
	n.metrics = newMetrics(n)
	return n, nil
}

// config is the configuration in force. It is read-only.
func (n *Node) config() *Config {
	return n.current.Load()
}

func steeringConfig(config *Config) steering.Config {
	return steering.Config{
		Zone:       config.Zone,
		FlowLife:   config.Bounds.FlowLife,
		LapseGrace: config.Bounds.Drain / 2,
		MaxFlows:   maxFlows,

		WarmUpOvershoot: config.Bounds.WarmUpOvershoot,
		WarmUpSlack:     config.Bounds.WarmUpSlack,
	}
}

// departedTime is how long back ends that are gone are remembered.
func removedRetention(config *Config) time.Duration {
	return config.Bounds.FlowLife + config.Bounds.Drain
}

// now is how long this process runs, by the monotonic clock.
func (n *Node) now() time.Duration {
	return time.Since(n.started)
}

// Leave starts a planned stop; Run returns when it is over.
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
	n.lines.flush(flushTime)
	return err
}

// tick lets time pass in the steerer and the directory.
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

// pulse tells the steerer that the process runs, so that it notices when it did not.
func (n *Node) pulse(ctx context.Context) error {
	ticker := time.NewTicker(steering.PulseInterval)
	defer ticker.Stop()
	for {
		n.steeringMutex.Lock()
		n.steerer.Pulse(n.now())
		n.steeringMutex.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

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

// receive is one worker: read, decode, decide, send. Its memory is reused for
// each datagram.
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
			// An earlier send met a closed port; the socket itself is sound.
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

// handle decides on one datagram and sends what follows.
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

// backendName is the identifier as the logs give it.
func backendName(id settings.BackendID) string {
	return fmt.Sprintf("%x", uint64(id))
}

// serve runs one HTTP server until ctx ends. It has at most maxConnections at once; more
// wait to be accepted, and their callers look elsewhere in time. When a large fleet starts,
// all ask the same few seeds, and descriptors must be left for the rest of the process.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	return serveOn(ctx, netutil.LimitListener(listener, maxConnections), handler)
}

func serveOn(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: shutdownTime, IdleTimeout: idleTime}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}
