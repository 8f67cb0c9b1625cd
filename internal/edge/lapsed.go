package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"gaugeyard/internal/directory"
)

// headerReturnAge tells in nanoseconds how long ago the store returned from an outage. It is a header, since
// an answer is encoded once and sent to many.
const headerReturnAge = "Gaugeyard-Return-Age"

// noteConfirmed lets the directory know that the store confirmed age ago what is believed; told is
// set where another balancer says so together with what lapsed. The beliefs lock is held.
func (n *Node) recordConfirmation(age time.Duration, fromPeer bool) {
	before := n.staleness()
	if fromPeer || !n.directory.NoteConfirmed(n.now(), age, before) {
		return
	}
	// Answers that were encoded before tell of an earlier return.
	n.generation++
	n.log.Info("store back after an outage", "silent_ms", (before - age).Milliseconds(), "revision", n.directory.Revision())
}

// hearReturn takes over how long ago the store returned, 0 for not lately.
func (n *Node) receiveStoreReturn(age time.Duration) {
	if age <= 0 {
		return
	}
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	if n.directory.HearReturn(n.now() - age) {
		n.generation++
	}
}

// tellReturnAge adds how long ago the store returned to an answer.
func (n *Node) setReturnAge(header http.Header) {
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	if age, returning := n.directory.ReturnAge(n.now()); returning {
		header.Set(headerReturnAge, strconv.FormatInt(int64(age), 10))
	}
}

// readReturnAge reads it, 0 where there is none.
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

// logLapsed counts and logs back ends that are gone and may take new flows for a moment. The beliefs
// lock is held.
func (n *Node) logExpired(events []directory.Event, from string) {
	count := 0
	for _, event := range events {
		if event.Transition == directory.BackendGone && n.directory.IsLapsed(event.Backend.ID) {
			count++
		}
	}
	if count == 0 {
		return
	}
	n.metrics.expired.Add(count)
	age, _ := n.directory.ReturnAge(n.now())
	n.log.Info("back ends lapsed", "count", count, "return_age_ms", age.Milliseconds(), "revision", n.directory.Revision(), "from", from)
}
