package edge

import (
	"context"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gaugeyard/internal/codec"
	"gaugeyard/internal/directory"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/peers"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/steering"
)

// wireHello has a different value in each field and two elements in each list.
func wireHello() *peers.Hello {
	address := func(last byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, last}), 8000+uint16(last))
	}
	key := func(last byte) flow.Key { return flow.Key{Caller: address(last), Service: address(last + 1)} }
	return &peers.Hello{
		Control: address(1), Zone: "a", Started: 1_800_000_000_000_000_001, Leaving: true, StoreUnavailable: false, Revision: 301, HasSummary: true,
		StoreAge: 1_500_000_001,
		Introductions: []peers.Introduction{
			{Control: address(2), Zone: "b", HasView: true, HasSummary: false, Capacity: 3},
			{Control: address(3), Zone: "c", HasView: false, HasSummary: true, Capacity: 4},
		},
		ReplyRequested:      true,
		Loads:               []peers.Load{{Tag: 11, Requests: 12, Steady: 13, Answers: 14, AnswerMillis: 15}, {Tag: 16, Requests: 17, Steady: 18, Answers: 19, AnswerMillis: 20}},
		Failures:            []peers.Failure{{Tag: 21, Count: 22}, {Tag: 23, Count: 24}},
		Baselines:           []steering.Baseline{{Service: address(4), Length: 31, Latency: 32, FailureRate: 33}, {Service: address(5), Length: 34, Latency: 35, FailureRate: 36}},
		Suspects:            []settings.BackendID{41, 42},
		UnresponsiveReports: []steering.UnresponsiveReport{{Backend: 51, Callers: 52, Silence: 53, Down: 54}, {Backend: 55, Callers: 56, Silence: 57, Down: 58}},
		Full:                true,
		Capacity:            5,
		Inquiries:           []steering.Inquiry{{Flow: key(6), Acknowledged: 61, Backend: 62}, {Flow: key(8), Acknowledged: 63, Backend: 64}},
		Locations: []steering.Location{
			{Flow: key(10), Backend: 71, Acknowledged: 72, Opening: true},
			{Flow: key(12), Backend: 73, Acknowledged: 74, Opening: false},
		},
	}
}

// wireRecords have a different value in each field.
func wireRecords(first byte) directory.Records {
	var records directory.Records
	for i := first; i < first+2; i++ {
		records = append(records, directory.Record{Revision: uint64(i) + 100, Backend: directory.Backend{
			ID: settings.BackendID(i), StartTime: directory.StartTime(i) + 200, Group: "group-" + string('a'+rune(i%2)), Zone: "zone-" + string('c'+rune(i%2)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, i}), 9000+uint16(i)), Slots: int(i) + 50, Draining: i%2 == 1, WarmUp: time.Duration(i) + 400,
		}})
	}
	return records
}

func wireSettings() *directory.Settings {
	return &directory.Settings{Version: 7, Revision: 8, Tree: settings.Tree{
		"":          {settings.KeyFlowIdle: "15s"},
		"fonts":     {settings.KeyAddress: "192.0.2.1:80", settings.KeyRepeatable: "true"},
		"fonts/any": {},
	}}
}

// wireListing has a different value in each field that is sent.
func wireListing() *directory.Listing {
	return &directory.Listing{
		Revision: 9, Settings: wireSettings(), Records: wireRecords(1),
		Evacuations: []directory.Evacuation{{Zone: "a", Active: true, Revision: 11}, {Zone: "b", Active: false, Revision: 12}},
		Unusable:    []directory.Removal{{ID: 13, Revision: 14}},
		Removed:     wireRecords(21), FromPeer: true, Expired: []settings.BackendID{21, 15},
	}
}

// wireChanges has a different value in each field that is sent.
func wireChanges() *directory.Changes {
	return &directory.Changes{
		Revision: 31, Settings: wireSettings(),
		Step: &directory.Step{Base: 32, Version: 33, Revision: 34, Changes: settings.Changes{
			{Path: "fonts", Key: settings.KeyAddress, Before: "192.0.2.1:80", After: "192.0.2.2:80"},
			{Path: "fonts", Key: settings.KeyRepeatable, Before: "true", After: ""},
		}},
		Records: wireRecords(41), Removed: []directory.Removal{{ID: 35, Revision: 36}, {ID: 37, Revision: 38}}, Unusable: []directory.Removal{{ID: 39, Revision: 40}},
		Evacuations: []directory.Evacuation{{Zone: "c", Active: true, Revision: 43}}, FromPeer: true, Expired: []settings.BackendID{35},
	}
}

// checkBytes compares encoded bytes with those of released versions.
func checkBytes(t *testing.T, what string, encoded []byte, want string) {
	t.Helper()
	if got := hex.EncodeToString(encoded); got != want {
		t.Errorf("%s: encoded as\n%s\nwant\n%s", what, got, want)
	}
}

// TestHelloBytes guards against hellos that other versions decode differently.
func TestHelloBytes(t *testing.T) {
	hello := wireHello()
	full, err := encodeHello(hello)
	if err != nil {
		t.Fatal(err)
	}
	short, err := encodeHello(hello.Short())
	if err != nil {
		t.Fatal(err)
	}
	empty, err := encodeHello(&peers.Hello{})
	if err != nil {
		t.Fatal(err)
	}
	checkBytes(t, "full hello", full, wantFullHello)
	checkBytes(t, "short hello", short, wantShortHello)
	checkBytes(t, "empty hello", empty, wantEmptyHello)
	var flags []byte
	for _, hello := range []*peers.Hello{{Leaving: true}, {StoreUnavailable: true}, {HasSummary: true}, {ReplyRequested: true}, {Full: true}} {
		encoded, err := encodeHello(hello)
		if err != nil {
			t.Fatal(err)
		}
		flags = append(flags, encoded...)
	}
	checkBytes(t, "hellos with one flag each", flags, wantFlagHellos)
}

// TestPeerAnswerBytes guards against answers that other versions decode differently.
func TestPeerAnswerBytes(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer peerAnswer
		want   string
	}{
		{"listing", peerAnswer{ConfirmedAt: 1, StoreReturned: true, StoreReturnedAt: 2, Listing: wireListing()}, wantListing},
		{"changes", peerAnswer{ConfirmedAt: 1, StoreReturned: true, StoreReturnedAt: 2, Changes: wireChanges()}, wantChanges},
		{"empty", peerAnswer{ConfirmedAt: 1, StoreReturned: true, StoreReturnedAt: 2}, wantEmptyAnswer},
	} {
		encoded, err := encodeAnswer(&test.answer)
		if err != nil {
			t.Fatal(err)
		}
		if encoded.compressed {
			t.Errorf("%s: compressed", test.name)
		}
		checkBytes(t, test.name, encoded.bytes, test.want)
		var decoded peerAnswer
		if err := codec.Unmarshal(encoded.bytes, &decoded); err != nil {
			t.Errorf("%s: %v", test.name, err)
		}
		again, err := encodeAnswer(&decoded)
		if err != nil {
			t.Fatal(err)
		}
		checkBytes(t, test.name+" decoded and encoded again", again.bytes, test.want)
	}
}

// TestPeerRequestBytes guards against requests and headers of answers that other versions read differently.
func TestPeerRequestBytes(t *testing.T) {
	var requests []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests = append(requests, r.Method+" "+r.RequestURI+" "+r.Header.Get("Accept-Encoding"))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	node := newTestNode(t, &fakeSource{})
	zoned := *node.config()
	zoned.Zone = "a b"
	node.current.Store(&zoned)
	control := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	source := &peerSource{node, control}
	_, _ = source.list(context.Background())
	_, _ = source.changes(context.Background(), peerRequest{after: 5, base: 6}, 7*time.Millisecond, 8*time.Millisecond)
	node.fetchSummary(context.Background(), control)
	want := "GET /v2/directory gzip\nGET /v2/changes?after=5&settings=6&age=7&wait=8 gzip\nGET /v2/outline?zone=a+b gzip"
	if got := strings.Join(requests, "\n"); got != want {
		t.Errorf("requests\n%s\nwant\n%s", got, want)
	}
}

// TestPeerAnswerHeaders guards against headers of answers that other versions do not find.
func TestPeerAnswerHeaders(t *testing.T) {
	body, err := encodeAnswer(&peerAnswer{})
	if err != nil {
		t.Fatal(err)
	}
	reply := httpReply(body)
	reply.Header = http.Header{"Gaugeyard-Age": {"3"}, "Gaugeyard-Return-Age": {"4"}, "Gaugeyard-Held": {"20"}}
	if answer, err := readAnswer(reply, 100, 130); err != nil || answer.ConfirmedAt != 117 || !answer.StoreReturned || answer.StoreReturnedAt != 116 {
		t.Errorf("answer %+v, %v", answer, err)
	}
	// An earlier version does not send how long it held the request.
	reply = httpReply(body)
	reply.Header = http.Header{"Gaugeyard-Age": {"3"}}
	if answer, err := readAnswer(reply, 100, 130); err != nil || answer.ConfirmedAt != 97 || answer.StoreReturned {
		t.Errorf("answer of an earlier version %+v, %v", answer, err)
	}
	for _, header := range []http.Header{{}, {"Gaugeyard-Held": {"20"}}, {"Gaugeyard-Age": {"3"}, "Gaugeyard-Held": {"x"}}, {"Gaugeyard-Age": {"3s"}}} {
		reply = httpReply(body)
		reply.Header = header
		if answer, err := readAnswer(reply, 100, 130); err == nil {
			t.Errorf("headers %v: %+v", header, answer)
		}
	}
	node := newTestNode(t, &fakeSource{})
	node.replace(listing(t, 5), "store", node.now())
	node.receiveStoreReturn(&peerAnswer{StoreReturned: true, StoreReturnedAt: node.now() - time.Millisecond})
	recorder := httptest.NewRecorder()
	node.answerPeer(recorder, peerRequest{}, node.now())
	for _, name := range []string{"Gaugeyard-Age", "Gaugeyard-Return-Age", "Gaugeyard-Held"} {
		if recorder.Header().Get(name) == "" {
			t.Errorf("no %s in the headers %v", name, recorder.Header())
		}
	}
}

const (
	wantFullHello = "" +
		"0adc0013c4060a000001411fa161cf18fae27693b40001c3c2cd012dc3ce59682f019295c4060a000002421fa162c3c20395c4060a000003431fa163" +
		"c2c304c392950b0c0d0e0f951011121314929215169217189294c4060a000004441f1f202194c4060a000005451f22232492292a9294333435369437" +
		"38393ac305929392c4060a000006461fc4060a000007471f3d3e9392c4060a000008481fc4060a000009491f3f40929492c4060a00000a4a1fc4060a" +
		"00000b4b1f4748c39492c4060a00000c4c1fc4060a00000d4d1f494ac2"
	wantShortHello = "" +
		"0adc0013c4060a000001411fa161cf18fae27693b40001c3c2cd012dc3ce59682f01c0c3c0c0c092292a929433343536943738393ac205929392c406" +
		"0a000006461fc4060a000007471f3d3e9392c4060a000008481fc4060a000009491f3f40929492c4060a00000a4a1fc4060a00000b4b1f4748c39492" +
		"c4060a00000c4c1fc4060a00000d4d1f494ac2"
	wantEmptyHello = "0adc0013c4020000a000c2c200c200c0c2c0c0c0c0c0c200c0c0"
	wantFlagHellos = "" +
		"0adc0013c4020000a000c3c200c200c0c2c0c0c0c0c0c200c0c00adc0013c4020000a000c2c300c200c0c2c0c0c0c0c0c200c0c00adc0013c4020000" +
		"a000c2c200c300c0c2c0c0c0c0c0c200c0c00adc0013c4020000a000c2c200c200c0c3c0c0c0c0c0c200c0c00adc0013c4020000a000c2c200c200c0" +
		"c2c0c0c0c0c0c300c0c0"
	wantListing = "" +
		"82a74368616e676573c0a74c697374696e6788a85265766973696f6ecf0000000000000009a853657474696e677383a756657273696f6ecf00000000" +
		"00000007a85265766973696f6ecf0000000000000008a4547265659393a9666c6f775f69646c65a761646472657373aa72657065617461626c659190" +
		"dc001200a0000100a331357300a5666f6e7473000201ac3139322e302e322e313a383002a47472756505a42f616e790000a75265636f7264738ca647" +
		"726f75707392a767726f75702d62a767726f75702d61a55a6f6e657392a67a6f6e652d64a67a6f6e652d63a3494473920102a95265766973696f6e73" +
		"926566a642697274687392ccc9cccaa747726f75704174920001a65a6f6e654174920001a5486f737473c4080a0100010a010002a5506f72747392cd" +
		"2329cd232aa5536c6f7473923334a75761726d55707392cd0191cd0192a8447261696e696e67c4020100ab45766163756174696f6e739283a45a6f6e" +
		"65a161a6416374697665c3a85265766973696f6e0b83a45a6f6e65a162a6416374697665c2a85265766973696f6e0ca8556e757361626c659182a249" +
		"440da85265766973696f6e0ea844657061727465648ca647726f75707392a767726f75702d62a767726f75702d61a55a6f6e657392a67a6f6e652d64" +
		"a67a6f6e652d63a3494473921516a95265766973696f6e7392797aa642697274687392ccddccdea747726f75704174920001a65a6f6e654174920001" +
		"a5486f737473c4080a0100150a010016a5506f72747392cd233dcd233ea5536c6f7473924748a75761726d55707392cd01a5cd01a6a8447261696e69" +
		"6e67c4020100a4546f6c64c3a64c617073656492150f"
	wantChanges = "" +
		"82a74368616e67657389a85265766973696f6ecf000000000000001fa853657474696e677383a756657273696f6ecf0000000000000007a852657669" +
		"73696f6ecf0000000000000008a4547265659393a9666c6f775f69646c65a761646472657373aa72657065617461626c659190dc001200a0000100a3" +
		"31357300a5666f6e7473000201ac3139322e302e322e313a383002a47472756505a42f616e790000a45374657084a442617365cf0000000000000020" +
		"a756657273696f6ecf0000000000000021a85265766973696f6ecf0000000000000022a74368616e6765739392a761646472657373aa726570656174" +
		"61626c6591909800a5666f6e7473000200ac3139322e302e322e323a383001a0a75265636f7264738ca647726f75707392a767726f75702d62a76772" +
		"6f75702d61a55a6f6e657392a67a6f6e652d64a67a6f6e652d63a349447392292aa95265766973696f6e7392cc8dcc8ea642697274687392ccf1ccf2" +
		"a747726f75704174920001a65a6f6e654174920001a5486f737473c4080a0100290a01002aa5506f72747392cd2351cd2352a5536c6f7473925b5ca7" +
		"5761726d55707392cd01b9cd01baa8447261696e696e67c4020100a4476f6e659282a2494423a85265766973696f6e2482a2494425a8526576697369" +
		"6f6e26a8556e757361626c659182a2494427a85265766973696f6e28ab45766163756174696f6e739183a45a6f6e65a163a6416374697665c3a85265" +
		"766973696f6e2ba4546f6c64c3a64c61707365649123a74c697374696e67c0"
	wantEmptyAnswer = "82a74368616e676573c0a74c697374696e67c0"
)
