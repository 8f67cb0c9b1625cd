package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/peers"
	"gaugeyard/internal/settings"
)

// Paths between balancers, on the control address.
const (
	pathDirectory = "/v1/directory"
	pathChanges   = "/v1/changes"
)

const (
	// maxPeerWait bounds what another balancer may ask for.
	maxPeerWait = 10 * time.Second
	// maxPeerAnswer bounds what is read of one answer, in bytes.
	maxPeerAnswer = 64 << 20
	// maxFollowers is how many other balancers are served at once; more are sent
	// away and look elsewhere. A fleet that starts knows the same few seeds.
	maxFollowers = 48
	// helloVersion is the first byte of a hello.
	helloVersion = 1
)

// errPeerFull means that a balancer serves as many others as it can.
var errPeerFull = errors.New("the balancer serves no more others")

var errEmptyAnswer = errors.New("the balancer's answer is empty")

// peerAnswer is what one balancer tells another of its beliefs.
type peerAnswer struct {
	// Age is how long ago the store confirmed them.
	Age time.Duration
	// Changes follow what the asker has; Listing stands where they are not known.
	Changes *directory.Changes
	Listing *directory.Listing
}

// peerSource reads the beliefs of another balancer.
type peerSource struct {
	node    *Node
	control netip.AddrPort
}

func (s *peerSource) list(ctx context.Context) (*peerAnswer, error) {
	return s.get(ctx, pathDirectory)
}

func (s *peerSource) changes(ctx context.Context, after uint64, wait time.Duration) (*peerAnswer, error) {
	return s.get(ctx, fmt.Sprintf("%s?after=%d&wait=%d", pathChanges, after, wait.Milliseconds()))
}

func (s *peerSource) get(ctx context.Context, path string) (*peerAnswer, error) {
	s.node.metrics.peerCalls.Inc()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.control.String()+path, nil)
	if err != nil {
		return nil, err
	}
	reply, err := s.node.peerClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer reply.Body.Close()
	if reply.StatusCode == http.StatusServiceUnavailable {
		return nil, errPeerFull
	}
	if reply.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("balancer %s answered %s", s.control, reply.Status)
	}
	answer := &peerAnswer{}
	limited := http.MaxBytesReader(nil, reply.Body, maxPeerAnswer)
	if err := msgpack.NewDecoder(limited).Decode(answer); err != nil {
		return nil, err
	}
	return answer, answer.check()
}

// check brings the settings of the answer into canonical form.
func (a *peerAnswer) check() error {
	for _, next := range []*directory.Settings{a.listedSettings(), a.changedSettings()} {
		if next == nil {
			continue
		}
		tree, err := settings.Checked(next.Tree)
		if err != nil {
			return err
		}
		next.Tree = tree
	}
	return nil
}

func (a *peerAnswer) listedSettings() *directory.Settings {
	if a.Listing == nil {
		return nil
	}
	return a.Listing.Settings
}

func (a *peerAnswer) changedSettings() *directory.Settings {
	if a.Changes == nil {
		return nil
	}
	return a.Changes.Settings
}

// controlHandler serves other balancers.
func (n *Node) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathDirectory, func(w http.ResponseWriter, _ *http.Request) {
		n.beliefs.Lock()
		answer := peerAnswer{Age: n.beliefAge(), Listing: n.directory.Listing()}
		n.beliefs.Unlock()
		n.answerPeer(w, &answer)
	})
	mux.HandleFunc("GET "+pathChanges, n.servePeerChanges)
	return n.limitFollowers(mux)
}

// limitFollowers sends away more balancers than can be served at once.
func (n *Node) limitFollowers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.followers.Add(1) > maxFollowers {
			n.followers.Add(-1)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer n.followers.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// servePeerChanges answers as soon as there are changes, when the wait is over,
// or when this balancer loses the store, so that the asker looks elsewhere.
func (n *Node) servePeerChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
	if err != nil || waitErr != nil || waitMs < 0 {
		http.Error(w, "after and wait must be whole numbers", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxPeerWait)
	woken := n.changed.wait()
	if n.revision() <= after {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-woken:
		case <-timer.C:
		case <-n.stop:
		case <-r.Context().Done():
			return
		}
	}
	n.beliefs.Lock()
	answer := peerAnswer{Age: n.beliefAge()}
	known := false
	answer.Changes, known = n.directory.Since(after)
	if !known {
		answer.Listing = n.directory.Listing()
	}
	n.beliefs.Unlock()
	n.answerPeer(w, &answer)
}

func (n *Node) answerPeer(w http.ResponseWriter, answer *peerAnswer) {
	var body bytes.Buffer
	if err := msgpack.NewEncoder(&body).Encode(answer); err != nil {
		n.log.Error("cannot encode beliefs for another balancer", "error", err)
		http.Error(w, "encoding", http.StatusInternalServerError)
		return
	}
	// The asker may be gone; it asks again elsewhere.
	_, _ = w.Write(body.Bytes())
}

// peerAddress is where the datagrams for another balancer go.
func (n *Node) peerAddress(control netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(control.Addr(), n.config().PeerPort)
}

// sendHellos tells other balancers at each interval that this one lives.
func (n *Node) sendHellos(ctx context.Context) error {
	ticker := time.NewTicker(peers.HelloInterval)
	defer ticker.Stop()
	for {
		n.beliefs.Lock()
		now := n.now()
		n.peers.Forget(now)
		n.introduceSeeds(now)
		targets := n.peers.Targets(now)
		hello := n.hello(now)
		n.shareLoad(now, hello)
		asks := make([]bool, len(targets))
		for i, target := range targets {
			asks[i] = n.peers.WantsReply(now, target)
		}
		n.beliefs.Unlock()
		for i, target := range targets {
			hello.Reply = asks[i]
			n.sendHello(hello, target)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.stop:
			pause(ctx, peers.HelloInterval)
		case <-ticker.C:
		}
	}
}

// introduceSeeds adds the seeds while few others are known. The beliefs lock is held.
func (n *Node) introduceSeeds(now time.Duration) {
	if !n.peers.NeedsIntroductions(now) {
		return
	}
	for _, seed := range n.config().Seeds {
		n.peers.Introduce(now, peers.Introduction{Control: seed})
	}
}

// hello is what this balancer says of itself. The beliefs lock is held.
func (n *Node) hello(now time.Duration) *peers.Hello {
	return &peers.Hello{
		Control:  n.config().Control,
		Zone:     n.config().Zone,
		Started:  n.started.UnixNano(),
		Leaving:  n.leaving.Load(),
		Revision: n.directory.Revision(),
		StoreAge: n.beliefAge(),
		Others:   n.peers.Sample(now),
	}
}

// shareLoad puts the load of this balancer into a hello and takes over what others
// said of theirs. The beliefs lock is held.
func (n *Node) shareLoad(now time.Duration, hello *peers.Hello) {
	n.steering.Lock()
	defer n.steering.Unlock()
	n.steerer.SetOthersLoad(n.peers.Loads(now))
	hello.Doubted = n.steerer.Doubted(now, peers.MaxDoubted)
	for _, load := range n.steerer.RecentLoad(peers.MaxLoads) {
		hello.Loads = append(hello.Loads, peers.Load{Backend: load.Backend, Units: uint32(load.Recent / peers.LoadUnit)})
	}
}

func (n *Node) sendHello(hello *peers.Hello, control netip.AddrPort) {
	datagram, err := encodeHello(hello)
	if err != nil {
		n.log.Error("cannot encode a hello", "error", err)
		return
	}
	n.metrics.peerBytes.Add(len(datagram))
	// A peer that cannot be reached is found out by its silence.
	_, _ = n.peer.WriteToUDPAddrPort(datagram, n.peerAddress(control))
}

// encodeHello returns the datagram of a hello: a version, then msgpack with
// structures as arrays.
func encodeHello(hello *peers.Hello) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.WriteByte(helloVersion)
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	encoder.UseArrayEncodedStructs(true)
	err := encoder.Encode(hello)
	return buffer.Bytes(), err
}

// receiveHellos reads the hellos of other balancers.
func (n *Node) receiveHellos(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		length, _, err := n.peer.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			continue
		}
		hello := &peers.Hello{}
		if length == 0 || buffer[0] != helloVersion || msgpack.Unmarshal(buffer[1:length], hello) != nil {
			n.metrics.peerMalformed.Inc()
			continue
		}
		n.heard(ctx, hello)
	}
}

// heard takes over a hello. A balancer that is new is greeted at once, and while
// nothing is known here, it is asked for what it knows.
func (n *Node) heard(ctx context.Context, hello *peers.Hello) {
	n.beliefs.Lock()
	now := n.now()
	isNew := n.peers.Heard(now, hello)
	if hello.Revision == n.directory.Revision() {
		// What the store confirmed to the sender, it confirmed to this one too.
		n.confirmedAt = max(n.confirmedAt, now-hello.StoreAge)
	}
	reply := n.hello(now)
	reply.Others = n.peers.Nearest(now, hello.Control)
	behind := n.lag.Note(now, n.directory.Revision(), hello.Revision)
	n.beliefs.Unlock()
	if behind {
		n.stopCall()
	}
	n.steering.Lock()
	n.steerer.SetOthersDoubts(now, hello.Doubted)
	n.steering.Unlock()
	if isNew {
		n.log.Info("peer found", "peer", hello.Control, "zone", hello.Zone, "revision", hello.Revision, "age_ms", hello.StoreAge.Milliseconds())
	}
	if isNew || hello.Reply {
		n.sendHello(reply, hello.Control)
	}
	if hello.Revision > 0 && n.learning.CompareAndSwap(false, true) {
		go n.learnFrom(ctx, hello.Control)
	}
}

// learnFrom reads everything that another balancer knows, once after the start:
// the store may be silent, and it does not know the back ends that have left and
// still serve flows.
func (n *Node) learnFrom(ctx context.Context, control netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	answer, err := (&peerSource{n, control}).list(ctx)
	if err == nil && answer.Listing == nil {
		err = errEmptyAnswer
	}
	if err != nil {
		n.log.Warn("peer gave nothing", "peer", control, "error", err)
		n.learning.Store(false)
		return
	}
	n.replace(answer.Listing, control.String(), answer.Age)
	n.stopCall()
}

// stopCall ends the follower's present call, since more is known already.
func (n *Node) stopCall() {
	if giveUp := n.giveUp.Load(); giveUp != nil {
		n.overtaken.Store(true)
		(*giveUp)()
	}
}

func listenPeers(control netip.AddrPort, port uint16) (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(control.Addr(), port)))
}
