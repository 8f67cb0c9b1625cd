package edge

import (
	"slices"
	"sync"
	"time"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/steering"
)

const (
	// maxHeld is how many datagrams a process that knows nothing yet keeps.
	maxQueued = 256
	// maxHeldTime is how long it keeps one; callers repeat theirs about as often.
	maxQueueTime = time.Second
)

// holding keeps the datagrams that arrive in the first moments of a process, before
// it knows where they go. After a restart the platform may send packets here before
// this process says that it is ready, and a lost one costs its caller the long pause
// of a late repetition. The zero value is ready.
type startupQueue struct {
	mutex  sync.Mutex
	queued []queuedDatagram
	// over is set once anything is known; from then on nothing is kept.
	closed bool
}

type queuedDatagram struct {
	at       time.Duration
	datagram []byte
}

// keep takes a copy of a datagram. It returns false when it is too late or too much.
func (h *startupQueue) add(now time.Duration, datagram []byte) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed || len(h.queued) >= maxQueued {
		return false
	}
	h.queued = append(h.queued, queuedDatagram{now, append([]byte(nil), datagram...)})
	return true
}

// release returns what is still worth sending, in order. all ends the holding: everything is known, and what is
// dropped then is dropped for good.
func (h *startupQueue) drain(now time.Duration, closing bool) []queuedDatagram {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.closed = h.closed || closing
	fresh := slices.DeleteFunc(h.queued, func(held queuedDatagram) bool { return now-held.at > maxQueueTime })
	h.queued = nil
	return fresh
}

// holds tells whether a packet that was dropped may be kept until more is known.
func queueable(decision *steering.Verdict) bool {
	return decision.Action == steering.Drop && (decision.Reason == errkind.NotReady || decision.Reason == errkind.UnknownTag)
}

// handleHeld decides anew on the datagrams that came before anything was known, or all of it. What is kept again was
// kept since then.
func (n *Node) handleQueued(all bool) {
	for _, held := range n.startupQueue.drain(n.now(), all) {
		n.handleStored(held.datagram, &steering.Packet{Held: n.now() - held.at})
	}
}

// handleKept decides anew on a datagram that was kept; packet says why and how long.
func (n *Node) handleStored(datagram []byte, packet *steering.Packet) {
	headroom := n.adapter.Codec.Headroom()
	buffer := make([]byte, headroom+maxDatagram)
	length := copy(buffer[headroom:], datagram)
	n.handle(n.now(), buffer[:headroom+length], packet, make([]byte, maxDatagram))
}
