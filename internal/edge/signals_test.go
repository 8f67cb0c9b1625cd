package edge

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// sendSelf sends a signal to the test process and waits until it is delivered.
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

// nodeWithSignals returns a node that handles the signals of the test process until the test ends.
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

// TestAStopIsHandledBehindManyReloads guards against a stop signal that is dropped because pending reloads fill a
// shared queue.
func TestAStopIsHandledBehindManyReloads(t *testing.T) {
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
		t.Error("the stop signal is lost")
	}
}

// TestASecondStopSignalBreaksNoFlows guards against a second SIGTERM that ends the process while routers still send
// packets of open flows. Only an interrupt during the stop ends it at once.
func TestASecondStopSignalBreaksNoFlows(t *testing.T) {
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
