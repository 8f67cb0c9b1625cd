// Package edge is the balancer process on a platform whose transport carries tags:
// sockets, workers, the follower of the store, peers, readiness and metrics, around
// the decisions of package steering and the beliefs of package directory. What the
// platform speaks comes in through the interfaces of this file.
//
// Locks are taken in the order beliefs, steering, and the lock of those that wait for
// changes; a packet needs the second alone. Nothing waits for a reader of logs.
//
// # Usage
//
// A program of a platform calls Main with what makes its Adapter:
//
//	os.Exit(edge.Main(os.Args[1:], os.Stdout, os.Stderr, platform.Adapt))
package edge

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/snapshot"
	"gaugeyard/internal/steering"
)

// Codec translates the datagrams of the transport. Implementations have no state.
type Codec interface {
	// Headroom is how many bytes Forward needs before a datagram.
	Headroom() int
	// Decode reads a caller's datagram into packet; an error names what is wrong.
	Decode(datagram []byte, packet *steering.Packet) error
	// Forward turns the datagram at buffer[Headroom():] into the one for the back
	// end, which returns the tag to the caller, in place, and returns it.
	Forward(buffer []byte, backend *directory.Member, tag directory.Tag) []byte
	// Refusal returns the datagram that tells a caller that its flow does not open, or is
	// ended, written into buffer. acknowledged is the caller's position in what it received, 0
	// while the flow is not open.
	Refusal(buffer []byte, key flow.Key, acknowledged uint32) []byte
}

// Source is where the desired state is read.
type Source interface {
	// Page reads the page of everything that follows after, "" for the first one. It returns
	// ErrTooLong, without reading on, where the page is known to have more than most bytes; 0 is
	// no bound.
	Page(ctx context.Context, after string, maxBytes int64) (*Page, error)
	// Changes waits up to wait for changes after a revision. It returns at once
	// when there are any, and ErrHistoryLost when the revision is too old.
	Changes(ctx context.Context, after uint64, wait time.Duration) (*directory.Changes, error)
	// Reconnect drops connections, of which one may be dead.
	Reconnect()
}

// Keeper keeps the snapshot of back ends beside what a Source reads.
type Keeper interface {
	// Keep stores all parts of a write, each in place of the revision that it names, or none. After an
	// error that may not be known.
	Keep(ctx context.Context, write *snapshot.Write) (snapshot.Outcome, error)
}

// Page is a part of everything.
type Page struct {
	// Listing has what is on this page. Its revision is the source's when it was read;
	// pages are no snapshot.
	directory.Listing
	// Kept are parts of the snapshot.
	Kept []snapshot.Stored
	// Next is what the next page follows, "" after the last one.
	Next string
}

// ErrTooLong means that an answer is longer than was asked for.
var ErrTooLong = errors.New("the answer is too long")

// ErrHistoryLost means that the changes since a revision are not known any more,
// and everything must be listed again.
var ErrHistoryLost = errors.New("the store has no history since the revision")

// ErrListingLeft means that a listing was not finished, since it is not needed any more.
var ErrListingAbandoned = errors.New("the listing was left unfinished")

// Adapter is everything that a platform gives to the process.
type Adapter struct {
	Codec  Codec
	Source Source
	// Keeper is nil where nothing is kept.
	Keeper Keeper
	// CallerPort is the port at which the platform takes datagrams for callers.
	CallerPort uint16
}

// deliverTo returns where a datagram for the caller is sent.
func (a *Adapter) deliverTo(caller netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(caller, a.CallerPort)
}
