package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"gaugeyard/internal/directory"
)

// headerReturnAge is the header with the time since the store returned from an outage, in nanoseconds. It
// is not part of the body, which is encoded once and sent at different times.
const headerReturnAge = "Gaugeyard-Return-Age"

// detectStoreReturn detects and logs the end of an outage of the store, by a confirmation of the given
// staleness. It does nothing if fromPeer is set: such a peer reports the return and the expired back ends
// itself. The state mutex must be held.
func (n *Node) detectStoreReturn(staleness time.Duration, fromPeer bool) {
	before := n.staleness()
	if fromPeer || !n.directory.DetectStoreReturn(n.now(), staleness, before) {
		return
	}
	// Cached answers predate the return of the store.
	n.generation++
	n.log.Info("store back after an outage", "silent_ms", (before - staleness).Milliseconds(), "revision", n.directory.Revision())
}

// receiveStoreReturn records the time since the store returned from an outage, as a peer reported it; 0 if
// it has not recently.
func (n *Node) receiveStoreReturn(age time.Duration) {
	if age <= 0 {
		return
	}
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	if n.directory.ReceiveStoreReturn(n.now() - age) {
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

// readReturnAge returns the value of that header, 0 if it is missing.
func readReturnAge(header http.Header) (time.Duration, error) {
	text := header.Get(headerReturnAge)
	if text == "" {
		return 0, nil
	}
	age, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", headerReturnAge, err)
	}
	return time.Duration(age), nil
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
