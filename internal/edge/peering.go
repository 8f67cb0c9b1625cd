package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/follow"
)

// Paths between balancers, on the control address. Their version is that of what is told: one of another
// version is told that there is nothing, and asks the store.
const (
	pathDirectory = "/v2/directory"
	pathChanges   = "/v2/changes"
	pathSummary   = "/v2/outline"
)

const (
	// maxPeerWait bounds what another balancer may ask for.
	maxPeerWait = 10 * time.Second
	// maxPeerAnswer bounds what is read of one answer, in bytes.
	maxPeerAnswer = 64 << 20
	// maxFollowers is how many other balancers are served at once; more are sent
	// away and look elsewhere. A fleet that starts knows the same few seeds.
	maxFollowers = 48
	// maxNarrowListings is how many of them are told everything at once over a narrow link.
	maxNarrowListings = 3
	// helloVersion is the first byte of a hello.
	helloVersion = 10
)

// errPeerFull means that a balancer serves as many others as it can.
var errPeerFull = errors.New("the balancer serves no more others")

var errEmptyAnswer = errors.New("the balancer's answer is empty")

// peerAnswer is what one balancer tells another of its beliefs.
type peerAnswer struct {
	// Age is how long ago the store confirmed them. It goes in a header, since the same
	// answer is sent to many.
	Age time.Duration `msgpack:"-"`
	// received is the answer as it came.
	received encodedAnswer
	// ReturnAge is how long ago the store returned from an outage, 0 where no back end is lapsed; in a
	// header as well.
	ReturnAge time.Duration `msgpack:"-"`
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

func (s *peerSource) changes(ctx context.Context, request peerRequest, staleness, wait time.Duration) (*peerAnswer, error) {
	return s.get(ctx, fmt.Sprintf("%s?after=%d&settings=%d&age=%d&wait=%d", pathChanges, request.after, request.base, staleness.Milliseconds(), wait.Milliseconds()))
}

func (s *peerSource) get(ctx context.Context, path string) (*peerAnswer, error) {
	s.node.metrics.peerCalls.Inc()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.control.String()+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept-Encoding", encodingGzip)
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
	return readAnswer(reply)
}

// learnTries is how many balancers are asked for everything before the next hello
// must come: each serves a few at once.
const maxListingPeers = 8

// learnFrom reads everything that another balancer knows, once after the start: the
// store may be silent or busy, and it does not know the back ends that have left and
// still serve flows. Where that one cannot serve, others are tried.
func (n *Node) fetchListing(ctx context.Context, control netip.AddrPort) {
	for range maxListingPeers {
		err := n.fetchListingOnce(ctx, control)
		if err == nil {
			n.stopCall()
			return
		}
		n.log.Warn("peer gave nothing", "peer", control, "error", err)
		n.peerClient.CloseIdleConnections()
		n.stateMutex.Lock()
		n.peers.Refused(n.now(), control)
		next, found := n.peers.Freshest(n.now(), 0)
		n.stateMutex.Unlock()
		if !found || ctx.Err() != nil {
			break
		}
		control = next.Control
	}
	n.fetchingListing.Store(false)
}

func (n *Node) fetchListingOnce(ctx context.Context, control netip.AddrPort) error {
	ctx, cancel := ExpectAnswer(ctx, firstByteTimeout, follow.TransferTimeout, nil)
	defer cancel()
	answer, err := (&peerSource{n, control}).list(ctx)
	if err != nil {
		return err
	}
	if answer.Listing == nil {
		return errEmptyAnswer
	}
	n.receiveStoreReturn(answer.ReturnAge)
	n.replace(answer.Listing, control.String(), answer.Age)
	return nil
}

// stopCall ends the follower's present call, since more is known already.
func (n *Node) stopCall() {
	if cancel := n.cancelCall.Load(); cancel != nil {
		n.overtaken.Store(true)
		(*cancel)()
	}
}

func listenPeers(control netip.AddrPort, port uint16) (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(control.Addr(), port)))
}
