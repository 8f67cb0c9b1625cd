package edge

import (
	"time"

	"gaugeyard/internal/directory"
)

const (
	// pieceBytes is how many bytes of an answer are decoded at a time: 0.2 ms of a whole core.
	pieceBytes = 16 << 10
	// packetPause is the pause between pieces of long work. In it the worker of the data socket
	// runs until no packet waits; giving way to it without a pause would not do, since a
	// process that is never idle looks for packets each 10 ms alone.
	packetPause = 500 * time.Microsecond
)

// pauseForPackets lets packets that wait be handled. No lock is held.
func pauseForPackets() { time.Sleep(packetPause) }

// prepare does in pieces what taking over newer settings costs.
func (n *Node) prepare(next *directory.Settings, step *directory.Step) *directory.Prepared {
	if next == nil && step == nil {
		return nil
	}
	n.stateMutex.Lock()
	base := n.directory.Base()
	n.stateMutex.Unlock()
	return base.Prepare(next, step, pauseForPackets)
}
