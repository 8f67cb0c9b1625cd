package edge

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// controlHandler serves other balancers.
func (n *Node) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathDirectory, func(w http.ResponseWriter, _ *http.Request) {
		n.beliefs.Lock()
		answer := peerAnswer{Age: n.beliefAge(), Listing: n.directory.Listing()}
		n.beliefs.Unlock()
		n.answerPeer(w, &answer)
	})
	mux.HandleFunc("GET "+pathChanges, n.servePeerChanges)
	return n.limitFollowers(mux)
}

// limitFollowers sends away more balancers than can be served at once.
func (n *Node) limitFollowers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.followers.Add(1) > maxFollowers {
			n.followers.Add(-1)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer n.followers.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// servePeerChanges answers as soon as there are changes, when the wait is over,
// or when this balancer loses the store, so that the asker looks elsewhere.
func (n *Node) servePeerChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
	if err != nil || waitErr != nil || waitMs < 0 {
		http.Error(w, "after and wait must be whole numbers", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxPeerWait)
	woken := n.changed.wait()
	if n.revision() <= after {
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
	n.beliefs.Lock()
	answer := peerAnswer{Age: n.beliefAge()}
	known := false
	answer.Changes, known = n.directory.Since(after)
	if !known {
		answer.Listing = n.directory.Listing()
	}
	n.beliefs.Unlock()
	n.answerPeer(w, &answer)
}

func (n *Node) answerPeer(w http.ResponseWriter, answer *peerAnswer) {
	var body bytes.Buffer
	if err := msgpack.NewEncoder(&body).Encode(answer); err != nil {
		n.log.Error("cannot encode beliefs for another balancer", "error", err)
		http.Error(w, "encoding", http.StatusInternalServerError)
		return
	}
	// The asker may be gone; it asks again elsewhere.
	_, _ = w.Write(body.Bytes())
}
