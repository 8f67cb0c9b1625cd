package edge

import (
	"cmp"
	"errors"
	"net/http"
	"strconv"
	"time"

	"gaugeyard/internal/follow"
)

// controlHandler returns the handler of requests from other balancers.
func (n *Node) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathDirectory, n.servePeerListing)
	mux.HandleFunc("GET "+pathChanges, n.servePeerChanges)
	mux.HandleFunc("GET "+pathSummary, n.serveSummary)
	return n.limitFollowers(mux)
}

// servePeerListing sends a full listing. Over a narrow link only a few are sent at once: more would slow each
// other down, while other balancers could send them.
func (n *Node) servePeerListing(w http.ResponseWriter, _ *http.Request) {
	defer n.listings.Add(-1)
	if n.listings.Add(1) > maxNarrowListings && follow.Narrow(n.config().LinkMbps) {
		rejectPeer(w)
		return
	}
	n.answerPeer(w, peerRequest{}, n.now())
}

// rejectPeer rejects a request, so that the other balancer tries another one.
func rejectPeer(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// limitFollowers rejects requests beyond maxFollowers at once.
func (n *Node) limitFollowers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.followers.Add(1) > maxFollowers {
			n.followers.Add(-1)
			rejectPeer(w)
			return
		}
		defer n.followers.Add(-1)
		setWriteTimeout(w, maxPeerWait+follow.TransferTimeout)
		next.ServeHTTP(w, r)
	})
}

// setWriteTimeout bounds the time to write the answer. Otherwise a broken connection, or a follower that does not
// read, would occupy one of maxFollowers until the kernel times out after many minutes. The follower times out
// after follow.TransferTimeout.
func setWriteTimeout(w http.ResponseWriter, timeout time.Duration) {
	// It fails only if the connection has no deadlines, as with the recorders of tests.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
}

// servePeerChanges answers when there are changes, when the store has confirmed the known state again, when the
// requested wait is over, or when this balancer loses the store, so that the follower chooses another upstream.
func (n *Node) servePeerChanges(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	base, baseErr := strconv.ParseUint(query.Get("settings"), 10, 64)
	ageMs, ageErr := strconv.ParseInt(cmp.Or(query.Get("age"), "0"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(query.Get("wait"), 10, 64)
	if errors.Join(err, baseErr, ageErr, waitErr) != nil || waitMs < 0 {
		http.Error(w, "after, settings, age and wait must be whole numbers", http.StatusBadRequest)
		return
	}
	receivedAt := n.now()
	wait := min(time.Duration(waitMs)*time.Millisecond, maxPeerWait)
	changed := n.changed.wait()
	if !n.hasNewer(after, time.Duration(ageMs)*time.Millisecond) {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-n.stop:
		case <-r.Context().Done():
			return
		}
	}
	n.answerPeer(w, peerRequest{after: after, base: base}, receivedAt)
}

// hasNewer reports whether this balancer has changes after a revision, or a confirmation by the store that is
// newer than one of the given staleness.
func (n *Node) hasNewer(after uint64, staleness time.Duration) bool {
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	return n.directory.Revision() > after || n.confirmed.IsNewerThan(n.now(), staleness)
}

// peerRequest is a request of another balancer for a full listing, for changes or for a summary.
type peerRequest struct {
	// after is the revision up to which the sender is complete, 0 if it has no state.
	after uint64
	// base is the revision of the sender's settings in force.
	base uint64
	// zone is the sender's zone in a request for a summary, empty in others.
	zone string
}

// answerPeer sends the answer to a request of another balancer that was received at a time.
func (n *Node) answerPeer(w http.ResponseWriter, request peerRequest, receivedAt time.Duration) {
	n.stateMutex.Lock()
	// The staleness and the time for which the request was held are of one moment: the process may pause
	// between this and the write.
	now := n.now()
	staleness, held, generation := n.confirmed.Staleness(now), now-receivedAt, n.generation
	n.stateMutex.Unlock()
	body, err := n.answerCache.get(generation, request, func() *peerAnswer { return n.buildAnswer(request) })
	if err != nil {
		n.log.Error("cannot encode an answer for another balancer", "error", err)
		http.Error(w, "encoding", http.StatusInternalServerError)
		return
	}
	// Set after the body is built, which may name back ends that have expired meanwhile.
	n.setReturnAge(w.Header())
	w.Header().Set(headerAge, strconv.FormatInt(int64(staleness), 10))
	w.Header().Set(headerHeld, strconv.FormatInt(int64(held), 10))
	if body.compressed {
		w.Header().Set("Content-Encoding", encodingGzip)
	}
	setWriteTimeout(w, follow.TransferTimeout)
	n.metrics.answerBytes.Add(len(body.bytes))
	// A follower that has closed the connection tries another balancer.
	_, _ = w.Write(body.bytes)
}

func (n *Node) buildAnswer(request peerRequest) *peerAnswer {
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	if request.zone != "" {
		return &peerAnswer{Listing: n.directory.Summary(request.zone)}
	}
	if request.after > 0 {
		if changes, known := n.directory.ChangesSince(request.after, request.base); known {
			return &peerAnswer{Changes: changes}
		}
	}
	return &peerAnswer{Listing: n.directory.Listing()}
}
