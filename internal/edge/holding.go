package edge

import (
	"slices"
	"sync"
	"time"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/steering"
)

const (
	// maxQueued bounds the datagrams in the startup queue.
	maxQueued = 256
	// maxQueueTime bounds the time of a datagram in the queue. Callers retransmit at about this interval.
	maxQueueTime = time.Second
)

// startupQueue holds datagrams that arrive before the process has the state to steer them. After a restart
// the platform may send packets before the process reports readiness, and a dropped packet costs its caller
// a retransmission timeout. The zero value is ready to use.
type startupQueue struct {
	mutex  sync.Mutex
	queued []queuedDatagram
	// closed is set once the full state is known. A closed queue accepts nothing.
	closed bool
}

type queuedDatagram struct {
	at       time.Duration
	datagram []byte
}

// add appends a copy of a datagram. It reports whether the queue accepted it, false if it is closed or full.
func (h *startupQueue) add(now time.Duration, datagram []byte) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed || len(h.queued) >= maxQueued {
		return false
	}
	h.queued = append(h.queued, queuedDatagram{now, append([]byte(nil), datagram...)})
	return true
}

// drain empties the queue and returns the datagrams that are not too old, in order of arrival. closing
// closes the queue.
func (h *startupQueue) drain(now time.Duration, closing bool) []queuedDatagram {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.closed = h.closed || closing
	fresh := slices.DeleteFunc(h.queued, func(held queuedDatagram) bool { return now-held.at > maxQueueTime })
	h.queued = nil
	return fresh
}

// queueable reports whether a dropped packet may be queued until more state is known.
func queueable(decision *steering.Verdict) bool {
	return decision.Action == steering.Drop && (decision.Reason == errkind.NotReady || decision.Reason == errkind.UnknownTag)
}

// handleQueued steers the queued datagrams again. all closes the queue. A datagram that is queued again keeps
// the time of its arrival.
func (n *Node) handleQueued(all bool) {
	for _, held := range n.startupQueue.drain(n.now(), all) {
		n.handleStored(held.datagram, &steering.Packet{Held: n.now() - held.at})
	}
}

// handleStored steers a stored datagram again. packet has the reason and the time that it was stored for.
func (n *Node) handleStored(datagram []byte, packet *steering.Packet) {
	headroom := n.adapter.Codec.Headroom()
	buffer := make([]byte, headroom+maxDatagram)
	length := copy(buffer[headroom:], datagram)
	n.handle(n.now(), buffer[:headroom+length], packet, make([]byte, maxDatagram))
}
