package edge

import (
	"net/http"
	"strconv"
	"time"

	"gaugeyard/internal/directory"
)

// headerReturnAge is the header with the time since the store returned from an outage, in nanoseconds. It
// is not part of the body, which is encoded once and sent at different times.
const headerReturnAge = "Gaugeyard-Return-Age"

// detectStoreReturn detects and logs the end of an outage of the store, by a confirmation of a time. It does
// nothing if fromPeer is set: such a peer reports the return and the expired back ends itself. The state mutex
// must be held.
func (n *Node) detectStoreReturn(confirmedAt time.Duration, fromPeer bool) {
	now := n.now()
	before, staleness := n.confirmed.Staleness(now), now-confirmedAt
	if fromPeer || !n.directory.DetectStoreReturn(now, staleness, before) {
		return
	}
	// Cached answers predate the return of the store.
	n.generation++
	n.log.Info("store back after an outage", "silent_ms", (before - staleness).Milliseconds(), "revision", n.directory.Revision())
}

// receiveStoreReturn records the return of the store from an outage, if a peer's answer reports one.
func (n *Node) receiveStoreReturn(answer *peerAnswer) {
	if !answer.StoreReturned {
		return
	}
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	if n.directory.ReceiveStoreReturn(answer.StoreReturnedAt) {
		n.generation++
	}
}

// setReturnAge sets the header with the time since the store returned from an outage, if it has recently.
func (n *Node) setReturnAge(header http.Header) {
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	if age, returning := n.directory.ReturnAge(n.now()); returning {
		header.Set(headerReturnAge, strconv.FormatInt(int64(age), 10))
	}
}

// logExpired counts and logs removed back ends whose entries expired in an outage of the store, and which may
// still get new flows for a short time. The state mutex must be held.
func (n *Node) logExpired(events []directory.Event, from string) {
	count := 0
	for _, event := range events {
		if event.Transition == directory.BackendRemoved && n.directory.IsExpired(event.Backend.ID) {
			count++
		}
	}
	if count == 0 {
		return
	}
	n.metrics.expired.Add(count)
	age, _ := n.directory.ReturnAge(n.now())
	n.log.Info("back ends expired", "count", count, "return_age_ms", age.Milliseconds(), "revision", n.directory.Revision(), "from", from)
}
