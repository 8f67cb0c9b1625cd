package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/follow"
	"gaugeyard/internal/peers"
)

// readLate is how long after they were given answers are read in these tests, as if the process had been paused.
const readLate = 300 * time.Millisecond

// lateSource returns the answers of a source late.
type lateSource struct{ Source }

func (s lateSource) Page(ctx context.Context, after string, maxBytes int64) (*Page, error) {
	page, err := s.Source.Page(ctx, after, maxBytes)
	time.Sleep(readLate)
	return page, err
}

func (s lateSource) Changes(ctx context.Context, after uint64, wait time.Duration) (*directory.Changes, error) {
	changes, err := s.Source.Changes(ctx, after, wait)
	time.Sleep(readLate)
	return changes, err
}

// checkStaleness checks that a node reports a staleness of at least the given one to its peers.
func checkStaleness(t *testing.T, n *Node, what string, least time.Duration) {
	t.Helper()
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	if age := n.hello(n.now()).StoreAge; age < least || age > least+10*time.Second {
		t.Errorf("%s: the state is reported as %v old, and the store gave it %v ago", what, age, least)
	}
}

// TestStoreAnswerReadLateIsOld guards against followers that wait for a balancer whose state is older than it says, since
// it dated the store's answer by when it read it.
func TestStoreAnswerReadLateIsOld(t *testing.T) {
	source := &fakeSource{listing: listing(t, 5), changes: []*directory.Changes{{Revision: 6}, {Revision: 6}}}
	node := newTestNode(t, lateSource{source})
	if err := node.listStore(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	checkStaleness(t, node, "a listing", readLate)
	for _, what := range []string{"an answer with changes", "an answer without changes"} {
		if _, err := node.watchStore(context.Background(), time.Second); err != nil {
			t.Fatal(err)
		}
		checkStaleness(t, node, what, readLate)
	}
	source.paged = true
	paged := newTestNode(t, lateSource{source})
	if err := paged.listStore(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	checkStaleness(t, paged, "a listing of two pages, complete up to the revision of the first", 2*readLate)
}

// TestPeerAnswerReadLateIsOld guards against a follower that dates its upstream's answer by when it reads it. The upstream
// may have been paused after it built the answer.
func TestPeerAnswerReadLateIsOld(t *testing.T) {
	first := newTestNode(t, &fakeSource{listing: listing(t, 5)})
	if err := first.listStore(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	handler := first.controlHandler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		built := httptest.NewRecorder()
		handler.ServeHTTP(built, r)
		time.Sleep(readLate)
		for name, values := range built.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(built.Code)
		_, _ = w.Write(built.Body.Bytes())
	}))
	defer server.Close()
	control := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	second := newTestNode(t, &fakeSource{})
	if err := second.fetchListingOnce(context.Background(), control); err != nil {
		t.Fatal(err)
	}
	checkStaleness(t, second, "a listing", readLate)
	first.apply(&directory.Changes{Revision: 5}, "store", first.now())
	if err := second.requestFromPeer(context.Background(), follow.Call{Kind: follow.QueryPeer, Peer: control, Wait: 10 * time.Millisecond}); err != nil {
		t.Fatal(err)
	}
	checkStaleness(t, second, "changes", readLate)
}

// TestTimeForWhichAPeerHeldARequestIsNoStaleness: a follower's request waits at its upstream for most of the time, and the
// answer is as fresh as the upstream's state.
func TestTimeForWhichAPeerHeldARequestIsNoStaleness(t *testing.T) {
	first := newTestNode(t, &fakeSource{listing: listing(t, 5)})
	if err := first.listStore(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(first.controlHandler())
	defer server.Close()
	control := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	second := newTestNode(t, &fakeSource{})
	if err := second.fetchListingOnce(context.Background(), control); err != nil {
		t.Fatal(err)
	}
	const held = 2 * time.Second
	time.AfterFunc(held, func() { first.apply(&directory.Changes{Revision: 6}, "store", first.now()) })
	answer, err := (&peerSource{second, control}).changes(context.Background(), second.changesRequest(), 0, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if staleness := second.now() - answer.ConfirmedAt; staleness > held/2 {
		t.Errorf("the answer is %v old after the request was held for %v", staleness, held)
	}
}

// TestAnswerThatCannotBeAppliedConfirmsNothing guards against a balancer that takes its state for fresh since it received
// changes to settings that it does not have.
func TestAnswerThatCannotBeAppliedConfirmsNothing(t *testing.T) {
	node := newTestNode(t, &fakeSource{})
	node.replace(listing(t, 5), "a peer", node.now()-time.Second)
	node.apply(&directory.Changes{Revision: 7, Step: &directory.Step{Base: 6, Version: 9, Revision: 7}}, "a peer", node.now())
	if node.revision() != 5 {
		t.Fatalf("revision %d", node.revision())
	}
	checkStaleness(t, node, "after changes to other settings", time.Second)
}

// TestHelloReadLateIsNoConfirmation guards against a balancer that wakes from a pause, reads hellos that had waited, and
// takes its state for fresh: nothing says when a hello was sent.
func TestHelloReadLateIsNoConfirmation(t *testing.T) {
	node := newTestNode(t, &fakeSource{})
	node.replace(listing(t, 5), "a peer", node.now()-time.Second)
	node.receiveHello(context.Background(), &peers.Hello{Control: netip.MustParseAddrPort("127.0.0.1:9"), Zone: "a", Started: 1, Revision: 5, StoreAge: time.Millisecond})
	checkStaleness(t, node, "after a hello", time.Second)
}
