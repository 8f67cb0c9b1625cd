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
	arrived  time.Duration
	datagram []byte
}

// add appends a copy of a datagram. It reports whether the queue accepted it, false if it is closed or full.
func (q *startupQueue) add(now time.Duration, datagram []byte) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed || len(q.queued) >= maxQueued {
		return false
	}
	q.queued = append(q.queued, queuedDatagram{now, append([]byte(nil), datagram...)})
	return true
}

// drain empties the queue, closes it if closing is set, and returns the datagrams that have not exceeded maxQueueTime,
// in order of arrival.
func (q *startupQueue) drain(now time.Duration, closing bool) []queuedDatagram {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = q.closed || closing
	fresh := slices.DeleteFunc(q.queued, func(item queuedDatagram) bool { return now-item.arrived > maxQueueTime })
	q.queued = nil
	return fresh
}

// queueable reports whether a dropped packet may be queued until more state is known.
func queueable(decision *steering.Decision) bool {
	return decision.Action == steering.Drop && (decision.Reason == errkind.NotReady || decision.Reason == errkind.UnknownTag)
}

// handleQueued drains the startup queue and steers its datagrams again. One that is queued again keeps the time of its
// arrival.
func (n *Node) handleQueued(closing bool) {
	for _, item := range n.startupQueue.drain(n.now(), closing) {
		n.handleStored(item.datagram, &steering.Packet{Held: n.now() - item.arrived})
	}
}

// handleStored steers a stored datagram again. packet has the reason and the time that it was stored for.
func (n *Node) handleStored(datagram []byte, packet *steering.Packet) {
	headroom := n.adapter.Codec.Headroom()
	buffer := make([]byte, headroom+maxDatagram)
	length := copy(buffer[headroom:], datagram)
	n.handle(n.now(), buffer[:headroom+length], packet, make([]byte, maxDatagram))
}
