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
	at       time.Duration
	datagram []byte
}

// keep takes a copy of a datagram. It returns false when it is too late or too much.
func (h *holding) keep(now time.Duration, datagram []byte) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.over || len(h.held) >= maxHeld {
		return false
	}
	h.held = append(h.held, heldDatagram{now, append([]byte(nil), datagram...)})
	return true
}

// release returns what is still worth sending, in order. all ends the holding: everything is known, and what is
// dropped then is dropped for good.
func (h *holding) release(now time.Duration, all bool) []heldDatagram {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.over = h.over || all
	worth := slices.DeleteFunc(h.held, func(held heldDatagram) bool { return now-held.at > maxHeldTime })
	h.held = nil
	return worth
}

// holds tells whether a packet that was dropped may be kept until more is known.
func holds(verdict *steering.Verdict) bool {
	return verdict.Action == steering.Drop && (verdict.Reason == errkind.NotReady || verdict.Reason == errkind.UnknownTag)
}

// handleHeld decides anew on the datagrams that came before anything was known, or all of it. What is kept again was
// kept since then.
func (n *Node) handleHeld(all bool) {
	for _, held := range n.holding.release(n.now(), all) {
		n.handleKept(held.datagram, &steering.Packet{Held: n.now() - held.at})
	}
}

// handleKept decides anew on a datagram that was kept; packet says why and how long.
func (n *Node) handleKept(datagram []byte, packet *steering.Packet) {
	headroom := n.adapter.Codec.Headroom()
	buffer := make([]byte, headroom+maxDatagram)
	length := copy(buffer[headroom:], datagram)
	n.handle(n.now(), buffer[:headroom+length], packet, make([]byte, maxDatagram))
}
