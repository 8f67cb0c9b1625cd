// Package edge is the balancer process on a platform whose transport carries tags: sockets, workers, the
// follower of the store, peers, readiness and metrics, around the decisions of package steering and the known
// state in package directory. Codec, Source and SnapshotStore adapt it to the protocols of a platform.
//
// Locks are acquired in the order answer cache, state, steering, broadcast of changes. A packet needs the
// steering lock alone. Logging never blocks.
//
// # Usage
//
// The program of a platform calls Main with a function that returns its Adapter:
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

// Codec encodes and decodes the datagrams of the transport. Implementations are stateless.
type Codec interface {
	// Headroom returns how many bytes Forward needs before a datagram.
	Headroom() int
	// Decode reads a caller's datagram into packet. An error describes what is malformed.
	Decode(datagram []byte, packet *steering.Packet) error
	// Forward turns the datagram at buffer[Headroom():] into the datagram for the back end, in place, and
	// returns it. The back end returns the tag to the caller.
	Forward(buffer []byte, backend *directory.Member, tag directory.Tag) []byte
	// Refusal writes into buffer the datagram that refuses or resets a caller's flow, and returns it.
	// acknowledged is the caller's position in the data that it received, 0 while the flow is not open.
	Refusal(buffer []byte, key flow.Key, acknowledged uint32) []byte
}

// Source reads the desired state from the store.
type Source interface {
	// Page reads the page of the full listing that follows after, "" for the first page. It returns ErrTooLong,
	// without reading on, if the page is known to have more than maxBytes bytes; 0 is no bound.
	Page(ctx context.Context, after string, maxBytes int64) (*Page, error)
	// Changes waits for changes after a revision. It returns at once when there are any, and after wait if
	// there were none until then. It returns ErrHistoryLost if the revision is too old.
	Changes(ctx context.Context, after uint64, wait time.Duration) (*directory.Changes, error)
	// Reconnect drops idle connections, which may be dead.
	Reconnect()
}

// SnapshotStore stores the snapshot of the back ends beside the entries that a Source reads.
type SnapshotStore interface {
	// WriteSnapshot atomically replaces all parts of a write, or none if a stored part has another revision than
	// the write names. After an error the outcome may be unknown.
	WriteSnapshot(ctx context.Context, write *snapshot.Write) (snapshot.Outcome, error)
}

// Page is a page of a full listing.
type Page struct {
	// Listing has the entries of this page. Its revision is that of the source when the page was read; the
	// pages of a listing are not read atomically.
	directory.Listing
	// SnapshotParts are stored parts of the snapshot.
	SnapshotParts []snapshot.Stored
	// Next is the argument for the next page, "" after the last one.
	Next string
}

// ErrTooLong means that an answer exceeds the requested length.
var ErrTooLong = errors.New("the answer is too long")

// ErrHistoryLost means that the changes after a revision are no longer available and a full listing is needed.
var ErrHistoryLost = errors.New("the store has no history since the revision")

// ErrListingAbandoned means that a listing was not finished since it is not needed any more.
var ErrListingAbandoned = errors.New("the listing was abandoned")

// Report receives what an adapter finds wrong with entries of the store.
type Report struct {
	// Rejected is called for each entry that cannot be used.
	Rejected func(err error)
	// Corrected is called for each value that was replaced by the nearest supported one, and for each part
	// that was left out, of an entry that is used otherwise.
	Corrected func(err error)
}

// Adapter connects the process to a platform.
type Adapter struct {
	Codec  Codec
	Source Source
	// SnapshotStore is nil if no snapshot is stored.
	SnapshotStore SnapshotStore
	// CallerPort is the port at which the platform accepts datagrams for callers.
	CallerPort uint16
}

// deliverTo returns the destination of a datagram for the caller.
func (a *Adapter) deliverTo(caller netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(caller, a.CallerPort)
}
