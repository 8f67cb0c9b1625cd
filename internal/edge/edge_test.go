package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/net/netutil"

	"gaugeyard/internal/codec"
	"gaugeyard/internal/directory"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/follow"
	"gaugeyard/internal/fuzzinput"
	"gaugeyard/internal/peers"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/snapshot"
	"gaugeyard/internal/steering"
)

// TestLogLinesNeverBlock guards against callers that block on the output of the log.
func TestLogLinesNeverBlock(t *testing.T) {
	reader, writer := io.Pipe()
	defer reader.Close()
	lines := newLineWriter(writer)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 * logQueue {
			_, _ = lines.Write([]byte("a line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write of a log line blocks while the output is not read")
	}
	if dropped := lines.dropped.Load(); dropped < 8*logQueue {
		t.Errorf("%d lines were dropped and counted", dropped)
	}
}

// TestQueuedDatagramsAreBoundedAndExpire checks the limits of the startup queue.
func TestQueuedDatagramsAreBoundedAndExpire(t *testing.T) {
	var queue startupQueue
	if !queue.add(0, []byte("old")) {
		t.Fatal("the datagram is not queued")
	}
	for range 2 * maxQueued {
		queue.add(2*time.Second, []byte("new"))
	}
	released := queue.drain(2*time.Second, true)
	if len(released) != maxQueued-1 || string(released[0].datagram) != "new" {
		t.Errorf("%d datagrams are drained, the first %q", len(released), released[0].datagram)
	}
	if queue.add(2*time.Second, []byte("late")) {
		t.Error("a datagram is queued after the queue was closed")
	}
}

func TestConfigNamesEveryFault(t *testing.T) {
	_, faults := ParseConfig([]byte("zone: \"\"\ndata: here\nseeds: [there]\nadvertise: nowhere\nworkers: 1000\nready_path: x\nlink_mbps: -1\ncpu_share: .nan\nbounds: {grace: 99h, warm_up_overshoot: -1, warm_up_slack: .nan}\n"))
	text := errors.Join(faults...).Error()
	for _, field := range []string{"zone:", "data:", "ready:", "control:", "store:", "seeds[0]:", "advertise:", "peer_port:", "workers:", "ready_path:", "link_mbps:", "cpu_share:", "bounds.grace:", "bounds.warm_up_overshoot:", "bounds.warm_up_slack:"} {
		if !strings.Contains(text, "settings file: "+field) {
			t.Errorf("no fault names %s in\n%s", field, text)
		}
	}
}

// fakeSource is a store with the given answers.
type fakeSource struct {
	mutex   sync.Mutex
	listing *directory.Listing
	changes []*directory.Changes
	err     error
	// paged sources need more than one call for a listing. listed is called at the first, if not nil;
	// refusals is how many of the next ones fail.
	paged    bool
	listed   func()
	refusals int
	// parts are stored parts of the snapshot.
	parts []snapshot.Stored
}

// Page returns only the revision on the first page of a paged listing.
func (s *fakeSource) Page(_ context.Context, after string, maxBytes int64) (*Page, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.err != nil:
		return nil, s.err
	case s.paged && after == "":
		if s.listed != nil {
			s.listed()
		}
		return &Page{Listing: directory.Listing{Revision: s.listing.Revision}, Next: "first"}, nil
	case after != "" && s.refusals > 0:
		s.refusals--
		return nil, errors.New("too many calls")
	}
	return &Page{Listing: *s.listing, SnapshotParts: s.parts}, nil
}

func (s *fakeSource) Changes(context.Context, uint64, time.Duration) (*directory.Changes, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.err != nil {
		return nil, s.err
	}
	if len(s.changes) == 0 {
		return &directory.Changes{}, nil
	}
	next := s.changes[0]
	s.changes = s.changes[1:]
	return next, nil
}

func (s *fakeSource) Reconnect() {}

// newTestNode returns a node on loopback that serves no HTTP.
func newTestNode(t testing.TB, source Source) *Node {
	t.Helper()
	config := Config{
		Node: "test", Zone: "a", Workers: 1, ReadyPath: "/ready", Bounds: defaultBounds,
		Data: netip.MustParseAddrPort("127.0.0.1:0"), Control: netip.MustParseAddrPort("127.0.0.1:1"),
		Defaults: map[settings.Key]string{settings.KeyLoadFactor: "1.5"},
	}
	node, err := New(config, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	node.adapter = Adapter{Source: source, Codec: noCodec{}}
	t.Cleanup(func() { _ = errors.Join(node.data.Close(), node.peer.Close()) })
	return node
}

type noCodec struct{}

func (noCodec) Headroom() int                                                 { return 0 }
func (noCodec) Decode([]byte, *steering.Packet) error                         { return errors.New("nothing is read") }
func (noCodec) Forward(b []byte, _ *directory.Member, _ directory.Tag) []byte { return b }
func (noCodec) Refusal(b []byte, _ flow.Key, _ uint32) []byte                 { return b[:1] }

func listing(t testing.TB, revision uint64) *directory.Listing {
	t.Helper()
	tree := settings.Tree{"": settings.Values{}}
	if err := tree.Set("fonts", settings.KeyAddress, "192.0.2.1:80"); err != nil {
		t.Fatal(err)
	}
	tree["fonts/any"] = settings.Values{}
	return &directory.Listing{
		Revision: revision,
		Settings: &directory.Settings{Version: 7, Revision: 1, Tree: tree},
		Records:  []directory.Record{{Backend: directory.Backend{ID: 9, Group: "fonts", Address: netip.MustParseAddrPort("10.0.0.1:80")}, Revision: 2}},
	}
}

func readiness(n *Node) int {
	recorder := httptest.NewRecorder()
	n.readyHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/ready", nil))
	return recorder.Code
}

// TestReadinessFollowsState checks readiness without settings, with settings and during a planned stop.
func TestReadinessFollowsState(t *testing.T) {
	source := &fakeSource{listing: listing(t, 5)}
	node := newTestNode(t, source)
	if code := readiness(node); code != http.StatusServiceUnavailable {
		t.Errorf("%d without settings", code)
	}
	if err := node.listStore(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	if code := readiness(node); code != http.StatusOK {
		t.Errorf("%d once settings are known", code)
	}
	service := node.directory.View().Settings.ServiceAt(netip.MustParseAddrPort("192.0.2.1:80"))
	if service == nil || service.LoadFactor != 1.5 {
		t.Errorf("the process's own default is not in force: %+v", service)
	}
	node.Leave()
	if code := readiness(node); code != http.StatusServiceUnavailable {
		t.Errorf("%d during a planned stop", code)
	}
}

// TestVersionZeroIsKnown guards against a balancer that never becomes ready since the operators' version is 0.
func TestVersionZeroIsKnown(t *testing.T) {
	zero := listing(t, 5)
	zero.Settings.Version = 0
	first := newTestNode(t, &fakeSource{listing: zero})
	if err := first.listStore(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	second := newTestNode(t, &fakeSource{})
	if !second.applySummary(first.directory.Summary("a"), "a peer") {
		t.Error("a summary with version 0 is not in force")
	}
	if readiness(first) != http.StatusOK || readiness(second) != http.StatusOK {
		t.Errorf("readiness %d after a listing, %d after a summary", readiness(first), readiness(second))
	}
}

// TestBalancersExchangeState checks that a balancer receives the full listing of another one, and later the changes
// alone.
func TestBalancersExchangeState(t *testing.T) {
	first := newTestNode(t, &fakeSource{listing: listing(t, 5)})
	plain := *first.config()
	plain.Defaults = nil
	first.current.Store(&plain)
	if err := first.listStore(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(first.controlHandler())
	defer server.Close()
	control := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	second := newTestNode(t, &fakeSource{err: errors.New("the store does not respond")})
	second.fetchListing(context.Background(), control)
	if second.revision() != 5 || readiness(second) != http.StatusOK {
		t.Fatalf("revision %d, readiness %d", second.revision(), readiness(second))
	}
	if values := second.directory.Listing().Settings.Tree["fonts/any"]; len(values) > 0 {
		t.Errorf("a settings node without values has %v", values)
	}
	first.apply(&directory.Changes{Revision: 6, Removed: []directory.Removal{{ID: 9, Revision: 6}}}, "store", first.now())
	answer, err := (&peerSource{second, control}).changes(context.Background(), peerRequest{after: 5, base: 1}, 0, time.Second)
	if err != nil || answer.Changes == nil || answer.Listing != nil || len(answer.Changes.Removed) != 1 {
		t.Errorf("answer %+v, %v", answer, err)
	}
	if _, err := (&peerSource{second, control}).get(context.Background(), pathChanges+"?after=x"); err == nil {
		t.Error("an invalid request is answered")
	}
}

// TestAConfirmationReachesFollowersAtOnce guards against staleness that grows along a chain of followers: a
// confirmation without changes goes to requests that wait and to those with an older confirmation.
func TestAConfirmationReachesFollowersAtOnce(t *testing.T) {
	first := newTestNode(t, &fakeSource{listing: listing(t, 5)})
	if err := first.listStore(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(first.controlHandler())
	defer server.Close()
	second := newTestNode(t, &fakeSource{})
	source := &peerSource{second, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	const wait = 10 * time.Second
	request := func(age time.Duration) (took, staleness time.Duration) {
		began := time.Now()
		answer, err := source.changes(context.Background(), peerRequest{after: 5, base: 1}, age, wait)
		if err != nil {
			t.Fatal(err)
		}
		return time.Since(began), second.now() - answer.ConfirmedAt
	}
	if took, staleness := request(time.Minute); took > wait/2 || staleness > wait/2 {
		t.Errorf("a follower with an older confirmation receives a newer one after %v: %v old", took, staleness)
	}
	// Make the last confirmation an old one.
	first.stateMutex.Lock()
	first.confirmed = follow.Confirmation{}
	first.confirmed.Update(first.now() - time.Minute)
	first.stateMutex.Unlock()
	time.AfterFunc(50*time.Millisecond, func() { first.apply(&directory.Changes{Revision: 5}, "store", first.now()) })
	if took, staleness := request(time.Minute); took > wait/2 || staleness > wait/2 {
		t.Errorf("a waiting follower receives a newer confirmation after %v: %v old", took, staleness)
	}
}

// TestALargeListingIsAbandonedWhenAPeerDelivers checks that a paged listing ends when a peer delivers the state first,
// and is finished otherwise.
func TestALargeListingIsAbandonedWhenAPeerDelivers(t *testing.T) {
	lower := netip.MustParseAddrPort("127.0.0.1:2")
	for number := uint16(2); peers.HashOf(lower) >= peers.HashOf(netip.MustParseAddrPort("127.0.0.1:1")); number++ {
		lower = netip.AddrPortFrom(lower.Addr(), number)
	}
	for _, delivers := range []bool{true, false} {
		source := &fakeSource{listing: listing(t, 5), paged: true}
		node := newTestNode(t, source)
		node.stateMutex.Lock()
		node.peers.Receive(node.now(), &peers.Hello{Control: lower, Zone: "a", Started: 1})
		node.stateMutex.Unlock()
		if delivers {
			// State that arrives before the listing begins must not end it.
			source.listed = func() { go node.replace(listing(t, 4), "a peer", node.now()) }
		}
		err := node.listStore(context.Background(), 0)
		if left := errors.Is(err, ErrListingAbandoned); left != delivers {
			t.Errorf("a peer delivers: %v, listing abandoned: %v (%v)", delivers, left, err)
		}
		if node.revision() == 0 {
			t.Error("no state is known")
		}
	}
}

// TestALargeListingAfterLostHistoryIsFinished checks that state which was known before does not end a listing, and that
// newer state from a peer does.
func TestALargeListingAfterLostHistoryIsFinished(t *testing.T) {
	node := newTestNode(t, &fakeSource{listing: listing(t, 5), paged: true})
	node.replace(listing(t, 4), "a peer", node.now())
	if err := node.listStore(context.Background(), 0); err != nil || node.revision() != 5 {
		t.Errorf("revision %d, %v", node.revision(), err)
	}
	node.adapter.Source = &fakeSource{listing: listing(t, 7), paged: true, listed: func() { node.replace(listing(t, 6), "a peer", node.now()) }}
	if err := node.listStore(context.Background(), 0); !errors.Is(err, ErrListingAbandoned) {
		t.Errorf("a listing that is not needed any more: %v", err)
	}
}

// TestAFailedPageIsRetried checks that a listing continues at the page that failed, and is abandoned after repeated
// failures.
func TestAFailedPageIsRetried(t *testing.T) {
	for refusals, want := range map[int]uint64{2: 5, 20: 0} {
		source := &fakeSource{listing: listing(t, 5), paged: true, refusals: refusals}
		node := newTestNode(t, source)
		if err := node.listStore(context.Background(), 0); node.revision() != want || (err == nil) != (want > 0) {
			t.Errorf("%d refusals: revision %d, %v", refusals, node.revision(), err)
		}
		if source.refusals > 0 && source.refusals < 10 {
			t.Errorf("%d calls for one page", 20-source.refusals)
		}
	}
}

// TestTooManyFollowersAreRejected checks the limit of concurrent requests.
func TestTooManyFollowersAreRejected(t *testing.T) {
	first := newTestNode(t, &fakeSource{listing: listing(t, 5)})
	if err := first.listStore(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(first.controlHandler())
	defer server.Close()
	source := &peerSource{first, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	first.followers.Store(maxFollowers)
	if _, err := source.list(context.Background()); !errors.Is(err, errPeerRejected) {
		t.Errorf("a request beyond the limit is served: %v", err)
	}
	first.followers.Store(0)
	if _, err := source.list(context.Background()); err != nil {
		t.Error(err)
	}
}

// FuzzPeerAnswer checks that any input from a peer is rejected or can be applied without a panic.
func FuzzPeerAnswer(f *testing.F) {
	var bodies [][]byte
	for _, answer := range []peerAnswer{
		{ConfirmedAt: time.Second, Listing: listing(&testing.T{}, 5)},
		{Changes: &directory.Changes{Revision: 3, Removed: []directory.Removal{{ID: 1, Revision: 3}}}},
	} {
		body, err := msgpack.Marshal(&answer)
		if err != nil {
			f.Fatal(err)
		}
		bodies = append(bodies, body)
	}
	encoded, err := encodeHello(&peers.Hello{Control: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "a"})
	if err != nil {
		f.Fatal(err)
	}
	fuzzinput.Add(f, append(bodies, encoded[1:])...)
	f.Fuzz(func(t *testing.T, body []byte) {
		var answer peerAnswer
		if codec.Unmarshal(body, &answer) == nil {
			d := directory.New(time.Minute)
			if answer.Listing != nil {
				d.Replace(0, answer.Listing)
			}
			if answer.Changes != nil {
				d.Apply(0, answer.Changes)
			}
			d.View()
		}
		var hello peers.Hello
		if codec.Unmarshal(body, &hello) == nil {
			table := peers.New(peers.Introduction{Control: netip.MustParseAddrPort("10.0.0.2:80"), Zone: "a"})
			table.Receive(0, &hello)
			table.Round(0, 1)
			table.Loads(0)
		}
	})
}

// TestResponseTimeouts checks that a long response may take longer than the time-out of its first byte, and that a
// response without progress times out.
func TestResponseTimeouts(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/silent" {
			<-release
			return
		}
		_, _ = w.Write([]byte("begun"))
		w.(http.Flusher).Flush()
		if r.URL.Path == "/stalls" {
			<-release
			return
		}
		time.Sleep(100 * time.Millisecond)
		_, _ = w.Write([]byte(" and ended"))
	}))
	defer server.Close()
	defer close(release)
	for _, test := range []struct {
		path        string
		first, rest time.Duration
		whole       bool
	}{
		{"/slow", 50 * time.Millisecond, 10 * time.Second, true},
		{"/silent", 50 * time.Millisecond, 10 * time.Second, false},
		{"/stalls", 10 * time.Second, 50 * time.Millisecond, false},
	} {
		ctx, cancel := WithResponseTimeout(context.Background(), test.first, test.rest, nil)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+test.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		var body []byte
		reply, err := NewHTTPClient().Do(request)
		if err == nil {
			body, err = io.ReadAll(reply.Body)
			_ = reply.Body.Close()
		}
		cancel()
		if whole := err == nil && string(body) == "begun and ended"; whole != test.whole {
			t.Errorf("%s: %q, %v", test.path, body, err)
		}
	}
}

// TestAnEditOfManyServicesIsSentInFewBytes guards against answers that are too long for narrow links.
func TestAnEditOfManyServicesIsSentInFewBytes(t *testing.T) {
	whole := func(services int, revision uint64) *directory.Settings {
		tree := settings.Tree{"": settings.Values{}}
		for i := range services {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 80)
			if err := tree.Set(settings.Path(fmt.Sprintf("service-%d", i)), settings.KeyAddress, address.String()); err != nil {
				t.Fatal(err)
			}
		}
		return &directory.Settings{Version: revision, Revision: revision, Tree: tree}
	}
	first := newTestNode(t, &fakeSource{})
	first.replace(&directory.Listing{Revision: 5, Settings: whole(1500, 5)}, "store", first.now())
	size := func(path string) int {
		recorder := httptest.NewRecorder()
		first.controlHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		if recorder.Code != http.StatusOK {
			t.Fatalf("%s: %d", path, recorder.Code)
		}
		return recorder.Body.Len()
	}
	if bytes := size(pathDirectory); bytes > 30_000 {
		t.Errorf("the full listing has %d bytes", bytes)
	}
	first.apply(&directory.Changes{Revision: 6, Settings: whole(1501, 6)}, "store", first.now())
	if bytes := size(pathChanges + "?after=5&settings=5&wait=0"); bytes > 300 {
		t.Errorf("an edit of one service has %d bytes", bytes)
	}
	first.apply(&directory.Changes{Revision: 7, Settings: whole(2901, 7)}, "store", first.now())
	if bytes := size(pathChanges + "?after=6&settings=6&wait=0"); bytes > 30_000 {
		t.Errorf("an edit of 1,400 services has %d bytes", bytes)
	}
}

// TestABalancerWithoutStateSendsUrgentRounds checks the interval of rounds until this balancer has state and has
// received a hello.
func TestABalancerWithoutStateSendsUrgentRounds(t *testing.T) {
	node := newTestNode(t, &fakeSource{})
	seed, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer seed.Close()
	changed := *node.config()
	changed.PeerPort = seed.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	changed.Seeds = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9")}
	node.current.Store(&changed)
	if wait := node.sendRound(); wait != peers.UrgentInterval {
		t.Errorf("without state, the next round is due in %v", wait)
	}
	buffer := make([]byte, maxDatagram)
	_ = seed.SetReadDeadline(time.Now().Add(5 * time.Second))
	length, _, err := seed.ReadFromUDPAddrPort(buffer)
	if err != nil {
		t.Fatal(err)
	}
	var hello peers.Hello
	if err := msgpack.Unmarshal(buffer[1:length], &hello); err != nil || !hello.ReplyRequested {
		t.Errorf("hello %+v, %v", hello, err)
	}
	node.replace(listing(t, 5), "store", node.now())
	if wait := node.sendRound(); wait != peers.UrgentInterval {
		t.Errorf("with state and before a hello is received, the next round is due in %v", wait)
	}
	node.receiveHello(context.Background(), &peers.Hello{Control: netip.MustParseAddrPort("127.0.0.1:10"), Zone: "a", Started: 1, Revision: 5})
	if wait := node.sendRound(); wait != peers.HelloInterval {
		t.Errorf("with state and after a hello is received, the next round is due in %v", wait)
	}
}

// TestANarrowLinkLimitsFullListings checks that full listings over a narrow link are limited and changes are not.
func TestANarrowLinkLimitsFullListings(t *testing.T) {
	node := newTestNode(t, &fakeSource{})
	node.replace(listing(t, 5), "store", node.now())
	code := func(path string) int {
		recorder := httptest.NewRecorder()
		node.controlHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		return recorder.Code
	}
	node.listings.Store(maxNarrowListings)
	if got := code(pathDirectory); got != http.StatusOK {
		t.Errorf("over a wide link: %d", got)
	}
	narrow := *node.config()
	narrow.LinkMbps = 10
	node.current.Store(&narrow)
	if got := code(pathDirectory); got != http.StatusServiceUnavailable {
		t.Errorf("over a narrow link: %d", got)
	}
	if got := code(pathChanges + "?after=5&settings=1&wait=0"); got != http.StatusOK {
		t.Errorf("changes over a narrow link: %d", got)
	}
}

// TestLinesOfFlowsAreBounded checks the limit per second, and that omitted lines are reported once.
func TestLinesOfFlowsAreBounded(t *testing.T) {
	var budget lineBudget
	written, reported := 0, 0
	for i := range 10 * maxFlowLines {
		allowed, omitted := budget.allow(3*time.Second + time.Duration(i)*time.Millisecond/2)
		if allowed {
			written++
		}
		reported += omitted
	}
	if written != maxFlowLines || reported != 0 {
		t.Errorf("%d lines are written, %d reported as omitted", written, reported)
	}
	for range 3 {
		allowed, omitted := budget.allow(4 * time.Second)
		if !allowed {
			t.Error("nothing is written in the next second")
		}
		reported += omitted
	}
	if reported != 9*maxFlowLines {
		t.Errorf("%d lines are reported as omitted", reported)
	}
}

// TestConnectionsAreBounded checks that connections beyond the limit wait until others have closed.
func TestConnectionsAreBounded(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	release, entered := make(chan struct{}), make(chan struct{}, 8)
	done := make(chan error, 1)
	go func() {
		done <- serveOn(ctx, netutil.LimitListener(listener, 2), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			entered <- struct{}{}
			<-release
		}))
	}()
	answered := make(chan struct{}, 8)
	for range 3 {
		go func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			if reply, err := client.Get("http://" + listener.Addr().String()); err == nil {
				_ = reply.Body.Close()
			}
			answered <- struct{}{}
		}()
	}
	<-entered
	<-entered
	select {
	case <-entered:
		t.Error("a third connection is served beside two")
	case <-time.After(200 * time.Millisecond):
	}
	close(release)
	for range 3 {
		<-answered
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

// TestABalancerFetchesFromANamedPeer guards against a start that depends on seeds which have no state themselves.
func TestABalancerFetchesFromANamedPeer(t *testing.T) {
	first := newTestNode(t, &fakeSource{})
	first.replace(listing(t, 5), "store", first.now())
	server := httptest.NewServer(first.controlHandler())
	defer server.Close()
	withState := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	second := newTestNode(t, &fakeSource{})
	seed := netip.MustParseAddrPort("127.0.0.1:2")
	second.receiveHello(context.Background(), &peers.Hello{Control: seed, Zone: "a", Started: 1, Introductions: []peers.Introduction{{Control: seed, Zone: "a"}}})
	if second.fetchingListing.Load() {
		t.Error("a listing is requested from a balancer without state")
	}
	second.receiveHello(context.Background(), &peers.Hello{Control: seed, Zone: "a", Started: 1, Introductions: []peers.Introduction{{Control: seed, Zone: "a"}, {Control: withState, Zone: "a", HasView: true}}})
	for deadline := time.Now().Add(10 * time.Second); second.revision() != 5; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("revision %d", second.revision())
		}
	}
}

// copyCodec decodes each datagram as a copy of an opening packet.
type copyCodec struct{ noCodec }

func (copyCodec) Decode(_ []byte, packet *steering.Packet) error {
	packet.Kind, packet.Attempt, packet.Sequence = steering.Open, 1, 7
	packet.Flow = flow.Key{Caller: netip.MustParseAddrPort("100.64.0.1:1024"), Service: netip.MustParseAddrPort("192.0.2.1:80")}
	return nil
}

// TestADelayedCopyIsSteeredAgain checks that a delayed copy reaches its back end.
func TestADelayedCopyIsSteeredAgain(t *testing.T) {
	node := newTestNode(t, &fakeSource{})
	node.adapter.Codec = copyCodec{}
	backend, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer backend.Close()
	known := listing(t, 5)
	if err := known.Settings.Tree.Set("fonts/any/0", settings.KeyDiscover, "fonts"); err != nil {
		t.Fatal(err)
	}
	known.Records[0].Backend.Address = backend.LocalAddr().(*net.UDPAddr).AddrPort()
	node.replace(known, "test", node.now())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go node.pulse(ctx)
	buffer := make([]byte, maxDatagram)
	for try := 1; ; try++ {
		stale := node.metrics.dropped[errkind.Stale].Get()
		node.handle(node.now(), []byte("copy"), &steering.Packet{}, make([]byte, maxDatagram))
		dropped := node.metrics.dropped[errkind.Stale].Get() > stale
		if node.delayed.Load() != 1 && (!dropped || try == 3) {
			t.Fatalf("%d datagrams are delayed", node.delayed.Load())
		}
		if err := backend.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		length, _, err := backend.ReadFromUDPAddrPort(buffer)
		if err != nil && try < 3 && node.metrics.dropped[errkind.Stale].Get() > stale {
			// The test process was paused meanwhile, so that the delayed datagram was dropped.
			continue
		}
		if err != nil || string(buffer[:length]) != "copy" {
			t.Fatalf("%q, %v", buffer[:length], err)
		}
		return
	}
}

// TestAnEmptyBoundKeepsItsDefault guards against an empty value from the deployment template that overrides the
// default.
func TestAnEmptyBoundKeepsItsDefault(t *testing.T) {
	config, _ := ParseConfig([]byte("bounds:\n  flow_life: 60s\n  warm_up_overshoot: \n  warm_up_slack: \n"))
	if config.Bounds.WarmUpOvershoot != 1 || config.Bounds.WarmUpSlack != 0 || config.Bounds.FlowLife != time.Minute {
		t.Errorf("%+v", config.Bounds)
	}
}
