package edge

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// sendSelf sends a signal to the test's own process, which handles it, and leaves it the time to be taken.
func sendSelf(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
}

const signalSettings = `
node: test
zone: a
data: 127.0.0.1:9000
ready: 127.0.0.1:9001
control: 127.0.0.1:9002
peer_port: 9003
store: 127.0.0.1:9004
`

// signalled is a node that handles the test process's signals until the test ends.
func nodeWithSignals(t *testing.T) (node *Node, cancelled chan struct{}) {
	t.Helper()
	if _, faults := ParseConfig([]byte(signalSettings)); len(faults) > 0 {
		t.Fatal(faults)
	}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(signalSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	node, cancelled = newTestNode(t, nil), make(chan struct{})
	t.Cleanup(node.listenSignals(path, func() { close(cancelled) }))
	return node, cancelled
}

// TestAStopIsHeardBehindManyReloads: signals came through one queue of four, and the runtime drops what finds a queue
// full. While a reload waited for a large change to be taken in, four more filled it, and the request to stop was
// lost: no line "leaving", and the platform ended the process by force once its time was over.
func TestAStopIsHeardBehindManyReloads(t *testing.T) {
	node, _ := nodeWithSignals(t)
	node.stateMutex.Lock()
	defer node.stateMutex.Unlock()
	for range 10 {
		sendSelf(t, syscall.SIGHUP)
	}
	sendSelf(t, syscall.SIGTERM)
	select {
	case <-node.stop:
	case <-time.After(2 * time.Second):
		t.Error("the request to stop is lost")
	}
}

// TestASecondRequestToStopCutsNothing: it ended the process at once, in the time in which routers still send packets of
// open flows here. Only an operator at a terminal, who interrupts twice, wants that.
func TestASecondRequestToStopCutsNothing(t *testing.T) {
	node, cancelled := nodeWithSignals(t)
	sendSelf(t, syscall.SIGTERM)
	sendSelf(t, syscall.SIGTERM)
	select {
	case <-cancelled:
		t.Error("a second SIGTERM ends the process at once")
	case <-time.After(200 * time.Millisecond):
	}
	if !node.leaving.Load() {
		t.Error("the stop has not begun")
	}
	sendSelf(t, syscall.SIGINT)
	select {
	case <-cancelled:
	case <-time.After(2 * time.Second):
		t.Error("an interrupt during the stop does not end the process")
	}
}
