package edge

import (
	"time"

	"gaugeyard/internal/directory"
)

const (
	// pieceBytes is how many bytes of an answer are decoded between pauses.
	pieceBytes = 16 << 10
	// packetPause is the pause between pieces of long work, in which workers handle pending packets. Yielding
	// without a pause is not enough: the runtime of a process that is never idle polls the network only every
	// 10 ms.
	packetPause = 500 * time.Microsecond
)

// pauseForPackets lets workers handle pending packets. No lock may be held.
func pauseForPackets() { time.Sleep(packetPause) }

// prepare does the expensive part of applying newer settings, with pauses for packets. It returns nil if
// there are none. The state mutex must not be held.
func (n *Node) prepare(next *directory.Settings, step *directory.Step) *directory.Prepared {
	if next == nil && step == nil {
		return nil
	}
	n.stateMutex.Lock()
	base := n.directory.Base()
	n.stateMutex.Unlock()
	return base.Prepare(next, step, pauseForPackets)
}
