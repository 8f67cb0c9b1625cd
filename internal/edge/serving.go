package edge

import (
	"cmp"
	"errors"
	"net/http"
	"strconv"
	"time"

	"gaugeyard/internal/follow"
)

// controlHandler serves other balancers.
func (n *Node) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathDirectory, n.servePeerListing)
	mux.HandleFunc("GET "+pathChanges, n.servePeerChanges)
	mux.HandleFunc("GET "+pathSummary, n.serveSummary)
	return n.limitFollowers(mux)
}

// servePeerListing tells everything, over a narrow link to few at once: more would all
// wait, while others could tell them.
func (n *Node) servePeerListing(w http.ResponseWriter, _ *http.Request) {
	defer n.listings.Add(-1)
	if n.listings.Add(1) > maxNarrowListings && follow.Narrow(n.config().LinkMbps) {
		rejectPeer(w)
		return
	}
	n.answerPeer(w, peerRequest{})
}

// sendAway tells another balancer to look elsewhere.
func rejectPeer(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// limitFollowers sends away more balancers than can be served at once.
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

// endWriting bounds how long the answer may take to write from now on. A connection that has
// fallen silent, or an asker that does not read, would hold the place of a follower until the
// kernel gives up, which takes many minutes; the asker gives up after follow.TransferTimeout.
func setWriteTimeout(w http.ResponseWriter, within time.Duration) {
	// It fails only where the connection has no deadlines, as in tests that write to memory.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(within))
}

// servePeerChanges answers as soon as there are changes, when the store has confirmed again
// what is believed, when the wait is over, or when this balancer loses the store, so that the
// asker looks elsewhere.
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
	wait := min(time.Duration(waitMs)*time.Millisecond, maxPeerWait)
	woken := n.changed.wait()
	if !n.hasNewer(after, time.Duration(ageMs)*time.Millisecond) {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-woken:
		case <-timer.C:
		case <-n.stop:
		case <-r.Context().Done():
			return
		}
	}
	n.answerPeer(w, peerRequest{after: after, base: base})
}

// knowsMore tells whether this balancer knows of changes after a revision, or of a newer
// confirmation of it by the store than one of the age.
func (n *Node) hasNewer(after uint64, age time.Duration) bool {
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	return n.directory.Revision() > after || n.confirmed.Renews(n.now(), age)
}

// question is what another balancer asks for: everything, or what follows after what
// it has.
type peerRequest struct {
	// after is up to where the asker is complete, 0 for nothing.
	after uint64
	// base is the revision of the settings that it has in force.
	base uint64
	// zone is that of an asker that wants an outline, empty for all others.
	zone string
}

// answerPeer tells another balancer what is believed here.
func (n *Node) answerPeer(w http.ResponseWriter, request peerRequest) {
	n.stateMutex.Lock()
	age, generation := n.staleness(), n.generation
	n.stateMutex.Unlock()
	body, err := n.answerCache.get(generation, request, func() *peerAnswer { return n.buildAnswer(request) })
	if err != nil {
		n.log.Error("cannot encode beliefs for another balancer", "error", err)
		http.Error(w, "encoding", http.StatusInternalServerError)
		return
	}
	// Read after the body, which may name back ends that lapsed only just now.
	n.setReturnAge(w.Header())
	w.Header().Set(headerAge, strconv.FormatInt(int64(age), 10))
	if body.compressed {
		w.Header().Set("Content-Encoding", encodingGzip)
	}
	setWriteTimeout(w, follow.TransferTimeout)
	n.metrics.answerBytes.Add(len(body.bytes))
	// The asker may be gone; it asks again elsewhere.
	_, _ = w.Write(body.bytes)
}

// answerTo collects the answer to a question.
func (n *Node) buildAnswer(request peerRequest) *peerAnswer {
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	if request.zone != "" {
		return &peerAnswer{Listing: n.directory.Outline(request.zone)}
	}
	if request.after > 0 {
		if changes, known := n.directory.Since(request.after, request.base); known {
			return &peerAnswer{Changes: changes}
		}
	}
	return &peerAnswer{Listing: n.directory.Listing()}
}
