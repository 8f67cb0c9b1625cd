package edge

import (
	"sync"
	"time"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/steering"
)

const (
	// maxHeld is how many datagrams a process that knows nothing yet keeps.
	maxHeld = 256
	// maxHeldTime is how long it keeps one; callers repeat theirs about as often.
	maxHeldTime = time.Second
)

// holding keeps the datagrams that arrive in the first moments of a process, before
// it knows where they go. After a restart the platform may send packets here before
// this process says that it is ready, and a lost one costs its caller the long pause
// of a late repetition. The zero value is ready.
type holding struct {
	mutex sync.Mutex
	held  []heldDatagram
	// over is set once anything is known; from then on nothing is kept.
	over bool
}

type heldDatagram struct {
	// until is how long it is worth sending.
	until    time.Duration
	datagram []byte
}

// keep takes a copy of a datagram. It returns false when it is too late or too much.
func (h *holding) keep(now time.Duration, datagram []byte, kind steering.Kind) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.over || len(h.held) >= maxHeld {
		return false
	}
	until := now + maxHeldTime
	if kind == steering.Open {
		until = now + steering.HoldOpening
	}
	h.held = append(h.held, heldDatagram{until, append([]byte(nil), datagram...)})
	return true
}

// release ends the holding and returns what is still worth sending, in order.
func (h *holding) release(now time.Duration) [][]byte {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.over = true
	var datagrams [][]byte
	for _, held := range h.held {
		if now <= held.until {
			datagrams = append(datagrams, held.datagram)
		}
	}
	h.held = nil
	return datagrams
}

// holds tells whether a packet that was dropped may be kept until more is known.
func holds(verdict *steering.Verdict) bool {
	return verdict.Action == steering.Drop && (verdict.Reason == errkind.NotReady || verdict.Reason == errkind.UnknownTag)
}

// handleHeld decides anew on the datagrams that came before anything was known.
func (n *Node) handleHeld() {
	for _, datagram := range n.holding.release(n.now()) {
		n.handleKept(datagram, false)
	}
}

// handleKept decides anew on a datagram that was kept; waited is set after a verdict to wait.
func (n *Node) handleKept(datagram []byte, waited bool) {
	headroom := n.adapter.Codec.Headroom()
	buffer := make([]byte, headroom+maxDatagram)
	length := copy(buffer[headroom:], datagram)
	n.handle(n.now(), buffer[:headroom+length], &steering.Packet{Waited: waited}, make([]byte, maxDatagram))
}
