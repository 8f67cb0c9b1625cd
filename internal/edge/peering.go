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

// URL paths for other balancers on the control address. They contain the version of the encoding: a balancer
// of another version finds no such path and reads from the store.
const (
	pathDirectory = "/v2/directory"
	pathChanges   = "/v2/changes"
	pathSummary   = "/v2/outline"
)

const (
	// maxPeerWait bounds the wait for changes that another balancer may request.
	maxPeerWait = 10 * time.Second
	// maxPeerAnswer bounds the length of an answer in bytes, both as sent and decompressed.
	maxPeerAnswer = 64 << 20
	// maxFollowers bounds the concurrent requests of other balancers. Further ones are rejected and go to other
	// balancers: a fleet that starts knows the same few seeds.
	maxFollowers = 48
	// maxNarrowListings bounds the concurrent full listings over a narrow link.
	maxNarrowListings = 3
	// helloVersion is the first byte of a hello. Hellos of other versions are dropped.
	helloVersion = 10
)

// errPeerRejected means that a balancer is at its limit of requests, or has no state to send.
var errPeerRejected = errors.New("the balancer rejected the request")

var errEmptyAnswer = errors.New("the balancer's answer is empty")

// peerAnswer is the part of its known state that a balancer sends to another one.
type peerAnswer struct {
	// ConfirmedAt is when the store confirmed the answer, on the clock of the process that receives it. The
	// times come from headers, since the encoded body is sent to many at different times.
	ConfirmedAt time.Duration `msgpack:"-"`
	// received is the encoded body, to forward it.
	received encodedAnswer
	// StoreReturned is set if the store has recently returned from an outage in which entries expired, and
	// StoreReturnedAt is when.
	StoreReturned   bool          `msgpack:"-"`
	StoreReturnedAt time.Duration `msgpack:"-"`
	// Changes are those after the revision of the request. Listing is sent where they are not known.
	Changes *directory.Changes
	Listing *directory.Listing
}

// peerSource reads the known state of another balancer.
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
	requestedAt := s.node.now()
	reply, err := s.node.peerClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer reply.Body.Close()
	if reply.StatusCode == http.StatusServiceUnavailable {
		return nil, errPeerRejected
	}
	if reply.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("balancer %s answered %s", s.control, reply.Status)
	}
	return readAnswer(reply, requestedAt, s.node.now())
}

// maxListingPeers is how many balancers are tried for a full listing after one hello. Each serves a few requests
// at once.
const maxListingPeers = 8

// fetchListing fetches a full listing from another balancer, once after the start: the store may be unavailable
// or busy, and it does not have removed back ends that still serve flows. If that balancer fails, others are
// tried.
func (n *Node) fetchListing(ctx context.Context, control netip.AddrPort) {
	for range maxListingPeers {
		err := n.fetchListingOnce(ctx, control)
		if err == nil {
			n.supersedeCall()
			return
		}
		n.log.Warn("no listing from peer", "peer", control, "error", err)
		n.peerClient.CloseIdleConnections()
		n.stateMutex.Lock()
		n.peers.RecordRefusal(n.now(), control)
		next, found := n.peers.Newest(n.now(), 0)
		n.stateMutex.Unlock()
		if !found || ctx.Err() != nil {
			break
		}
		control = next.Control
	}
	n.fetchingListing.Store(false)
}

func (n *Node) fetchListingOnce(ctx context.Context, control netip.AddrPort) error {
	ctx, cancel := WithResponseTimeout(ctx, firstByteTimeout, follow.TransferTimeout, nil)
	defer cancel()
	answer, err := (&peerSource{n, control}).list(ctx)
	if err != nil {
		return err
	}
	if answer.Listing == nil {
		return errEmptyAnswer
	}
	n.receiveStoreReturn(answer)
	n.replace(answer.Listing, control.String(), answer.ConfirmedAt)
	return nil
}

// supersedeCall cancels the follower's current call, since newer state is known already.
func (n *Node) supersedeCall() {
	if cancel := n.cancelCall.Load(); cancel != nil {
		n.superseded.Store(true)
		(*cancel)()
	}
}

func listenPeers(control netip.AddrPort, port uint16) (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(control.Addr(), port)))
}
