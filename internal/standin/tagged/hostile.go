package tagged

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
)

// HostileTargets are the ports of one balancer that hostile input goes to.
type HostileTargets struct {
	// Data receives packets of flows, Peer the messages of other balancers.
	Data, Peer netip.AddrPort
	// HTTP are the addresses of its HTTP servers.
	HTTP []string
}

const (
	// hostileDatagrams go to each UDP port; hostileConnections to each HTTP server are held open
	// until hostileDuration has passed.
	hostileDatagrams   = 200
	hostileConnections = 100
	hostileDuration    = 2 * time.Second
	// hostileInterval is the pause between datagrams.
	hostileInterval = 2 * time.Millisecond
)

// hostileRequests are incomplete or invalid HTTP requests.
var hostileRequests = []string{
	"POST /readiness HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nhalf",
	"GET /readiness HTTP/1.1\r\nHost: a\r\nX: ",
	"\x00\x01\x02\x03\r\n\r\n",
	"GET /metrics HTTP/1.1\r\n",
}

// SendHostile sends truncated, oversized and random datagrams, messages of another protocol
// version, packets for unknown routes, incomplete requests, and opens many connections at
// once. It returns after hostileDuration at the latest.
func SendHostile(ctx context.Context, targets HostileTargets) {
	ctx, cancel := context.WithTimeout(ctx, hostileDuration)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return sendDatagrams(ctx, targets.Data, hostilePacket) })
	group.Go(func() error { return sendDatagrams(ctx, targets.Peer, hostileHello) })
	for _, address := range targets.HTTP {
		for i := range hostileConnections {
			group.Go(func() error { return holdConnection(ctx, address, hostileRequests[i%len(hostileRequests)]) })
		}
	}
	// Errors are ignored: the balancer may be down.
	_ = group.Wait()
}

func sendDatagrams(ctx context.Context, to netip.AddrPort, next func() []byte) error {
	socket, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		return err
	}
	defer socket.Close()
	for range hostileDatagrams {
		// A refused datagram means that the balancer is down; it may be up for the next one.
		_, _ = socket.Write(next())
		sleep(ctx, hostileInterval)
	}
	return nil
}

func holdConnection(ctx context.Context, address, request string) error {
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	defer connection.Close()
	if _, err := connection.Write([]byte(request)); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func randomBytes(length int) []byte {
	b := make([]byte, length)
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return b
}

// hostilePacket returns an invalid packet, or one for a destination that is no route.
func hostilePacket() []byte {
	p := packet{
		source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1024+rand.IntN(60000))),
		destination: netip.MustParseAddrPort("203.0.113.9:9"), tag: rand.Uint32(),
		sequence: rand.Uint32(), ack: rand.Uint32(), data: randomBytes(rand.IntN(100)),
	}
	switch rand.IntN(4) {
	case 0:
		return randomBytes(rand.IntN(3000))
	case 1:
		p.flags = flagSYN | flagRST | flagFIN
	case 2:
		p.flags = flagACK
	case 3:
		return p.encode()[:rand.IntN(headerLength)]
	}
	return p.encode()
}

// hostileHello returns a random peer message, of the version in use half of the time.
func hostileHello() []byte {
	b := randomBytes(1 + rand.IntN(1500))
	if rand.IntN(2) == 0 {
		// The version in use, with random contents.
		b[0] = 10
	}
	return b
}
