package edge

import (
	"net/http/httptest"
	"testing"
	"time"

	"gaugeyard/internal/directory"
)

// TestAnswersAreBuiltAndAppliedConcurrently guards against a deadlock between the answer cache and the state.
func TestAnswersAreBuiltAndAppliedConcurrently(t *testing.T) {
	const rounds = 3000
	n := newTestNode(t, &fakeSource{})
	n.replace(listing(t, 1), "store", n.now())
	done := make(chan struct{}, 2)
	go func() {
		for i := range uint64(rounds) {
			n.answerPeer(httptest.NewRecorder(), peerRequest{after: i, base: 1}, n.now())
		}
		done <- struct{}{}
	}()
	go func() {
		for range rounds {
			n.stateMutex.Lock()
			request := n.changesRequest()
			n.stateMutex.Unlock()
			n.applyFromPeer(&peerAnswer{Changes: &directory.Changes{Revision: request.after + 1, FromPeer: true}}, request, "peer")
		}
		done <- struct{}{}
	}()
	for range 2 {
		select {
		case <-done:
		case <-time.After(time.Minute):
			t.Fatal("deadlock between building and applying answers")
		}
	}
}
