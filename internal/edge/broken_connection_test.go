package edge

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/follow"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/standin/tagged"
)

// serveWithSilencer serves another balancer's control address on connections that the silencer can break.
func serveWithSilencer(t *testing.T, handler http.Handler) (netip.AddrPort, *tagged.Silencer) {
	t.Helper()
	silencer := &tagged.Silencer{}
	server := httptest.NewUnstartedServer(handler)
	server.Listener = silencer.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	return netip.MustParseAddrPort(server.Listener.Addr().String()), silencer
}

// TestATimeoutDropsEveryPooledConnection guards against one time-out for each pooled connection when all of them
// break together.
func TestATimeoutDropsEveryPooledConnection(t *testing.T) {
	source := newTestNode(t, &fakeSource{})
	source.directory.Replace(0, &directory.Listing{Revision: 7, Settings: &directory.Settings{Version: 1, Revision: 7, Tree: settings.Tree{"": {}}}})
	// Two calls at once, so that two connections are open.
	both := make(chan struct{}, 2)
	control, silencer := serveWithSilencer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/both" {
			both <- struct{}{}
			for len(both) < 2 {
				time.Sleep(time.Millisecond)
			}
			return
		}
		source.controlHandler().ServeHTTP(w, r)
	}))
	node := newTestNode(t, &fakeSource{})
	done := make(chan error, 2)
	for range 2 {
		go func() {
			reply, err := node.peerClient.Get("http://" + control.String() + "/both")
			if err == nil {
				err = reply.Body.Close()
			}
			done <- err
		}()
	}
	for range 2 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	silencer.Silence()
	call := follow.Call{Kind: follow.QueryPeer, Peer: control, Wait: 50 * time.Millisecond, Timeout: 300 * time.Millisecond}
	if outcome, _ := node.execute(t.Context(), call); outcome.Result != follow.Failed {
		t.Fatalf("a call on a broken connection ends with %v", outcome.Result)
	}
	if outcome, err := node.execute(t.Context(), call); outcome.Result != follow.Done {
		t.Errorf("the call after it ends with %v: %v", outcome.Result, err)
	}
}

// TestAFollowerThatDoesNotReadIsDisconnected guards against a large answer on a broken connection that occupies one
// of maxFollowers for long.
func TestAFollowerThatDoesNotReadIsDisconnected(t *testing.T) {
	t.Parallel()
	const smallBuffer = 4096
	node := newTestNode(t, &fakeSource{})
	random := rand.New(rand.NewPCG(1, 1))
	listing := &directory.Listing{Revision: 7, Settings: &directory.Settings{Version: 1, Revision: 7, Tree: settings.Tree{"": {}}}}
	for range 20_000 {
		listing.Records = append(listing.Records, directory.Record{Revision: 1, Backend: directory.Backend{ID: settings.BackendID(random.Uint64() >> 24), Group: "feed", Zone: "a"}})
	}
	node.directory.Replace(0, listing)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: node.controlHandler(), ConnState: func(connection net.Conn, _ http.ConnState) {
		_ = connection.(*net.TCPConn).SetWriteBuffer(smallBuffer)
	}}
	go server.Serve(listener)
	t.Cleanup(func() { _ = server.Close() })
	connection, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	_ = connection.(*net.TCPConn).SetReadBuffer(smallBuffer)
	if _, err := io.WriteString(connection, "GET "+pathDirectory+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	// The write timeout starts with the answer, which may take seconds to encode on a busy machine.
	await(t, time.Minute, "the answer begins", func() bool { return node.metrics.answerBytes.Get() > 0 })
	time.Sleep(100 * time.Millisecond)
	if node.followers.Load() == 0 {
		t.Fatal("the answer fits into the socket buffers")
	}
	await(t, follow.TransferTimeout+time.Second, "the request ends", func() bool { return node.followers.Load() == 0 && node.listings.Load() == 0 })
}

// await fails the test unless the condition holds within the timeout.
func await(t *testing.T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Errorf("not within %v: %s", timeout, what)
}
