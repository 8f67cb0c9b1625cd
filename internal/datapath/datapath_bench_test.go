package datapath

import (
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"gaugeyard/examples"
	"gaugeyard/internal/balancer"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/membership"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/wire"
)

var (
	benchService = netip.MustParseAddrPort("127.0.0.1:5701")
	benchBackend = netip.MustParseAddrPort("127.0.0.1:5801")
)

// benchCore returns a core without peers that serves the Litera example settings.
func benchCore(b testing.TB) *balancer.Core {
	b.Helper()
	document, err := examples.Files.ReadFile("litera.yaml")
	if err != nil {
		b.Fatal(err)
	}
	tree, errs := settings.Parse(document)
	if len(errs) > 0 {
		b.Fatal(errs)
	}
	// The connection limit must not refuse flows of the benchmarks.
	if err := tree.Set("", settings.KeyConnections, "1000000"); err != nil {
		b.Fatal(err)
	}
	peer := netip.MustParseAddrPort("127.0.0.1:5611")
	core := balancer.New(balancer.Config{
		Self:           membership.Member{ID: membership.IDOf(peer, 1), Zone: "a", Address: peer},
		Measure:        wire.EncodedSize,
		BootstrapUntil: time.Hour,
	})
	var effects balancer.Effects
	core.Step(0, &balancer.SettingsRevision{Snapshot: settings.Resolve(tree, 1)}, &effects)
	for now := time.Duration(0); now < 3*time.Second; now += balancer.TickInterval {
		core.Step(now, &balancer.Tick{}, &effects)
	}
	return core
}

// benchNow is the time of the benchmarks' events, after the core's start.
const benchNow = 3 * time.Second

func benchKey(number int) flow.Key {
	address := netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)})
	return flow.Key{Caller: netip.AddrPortFrom(address, 4000), Service: benchService}
}

func encode(b testing.TB, header []byte, m message.Message) []byte {
	b.Helper()
	buffer := make([]byte, len(header)+128)
	copy(buffer, header)
	length, err := coder.DefaultCoder.Encode(m, buffer[len(header):])
	if err != nil {
		b.Fatal(err)
	}
	return buffer[:len(header)+length]
}

func newRequest(b testing.TB, key flow.Key, messageID int32) []byte {
	header, err := wire.RequestHeader(key)
	if err != nil {
		b.Fatal(err)
	}
	return encode(b, header, message.Message{Code: codes.GET, Type: message.Confirmable, MessageID: messageID, Token: []byte{1}})
}

// open opens a flow by its first datagram and closes that request.
func open(b *testing.B, core *balancer.Core, decoder *wire.Decoder, key flow.Key) {
	var packet balancer.Packet
	if err := decoder.Decode(newRequest(b, key, 1), &packet); err != nil {
		b.Fatal(err)
	}
	var effects balancer.Effects
	core.Step(benchNow, &balancer.Datagram{Packet: &packet}, &effects)
	if len(effects.List) != 1 || effects.List[0].Kind != balancer.ForwardToBackend {
		b.Fatalf("first datagram: %+v", effects.List)
	}
	// The answer closes the request, so that the flow has none pending.
	answer := packet
	answer.Kind = balancer.Answer
	answer.Backend = effects.List[0].To
	effects.Reset()
	core.Step(benchNow, &balancer.Datagram{Packet: &answer}, &effects)
}

// BenchmarkEstablished measures decoding, ownership, admission and forwarding of
// an acknowledgement of an established flow.
func BenchmarkEstablished(b *testing.B) {
	core, decoder := benchCore(b), wire.NewDecoder()
	const flows = 1000
	datagrams := make([][]byte, flows)
	for i := range datagrams {
		key := benchKey(i)
		open(b, core, decoder, key)
		header, _ := wire.RequestHeader(key)
		datagrams[i] = encode(b, header, message.Message{Code: codes.Empty, Type: message.Acknowledgement, MessageID: 7})
	}
	var packet balancer.Packet
	var effects balancer.Effects
	event := &balancer.Datagram{Packet: &packet}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if err := decoder.Decode(datagrams[i%flows], &packet); err != nil {
			b.Fatal(err)
		}
		effects.Reset()
		core.Step(benchNow, event, &effects)
		if len(effects.List) != 1 {
			b.Fatalf("effects: %+v", effects.List)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "datagrams/s")
}

// BenchmarkNotification measures decoding, ownership and delivery of a notification.
func BenchmarkNotification(b *testing.B) {
	core, decoder := benchCore(b), wire.NewDecoder()
	key := benchKey(1)
	open(b, core, decoder, key)
	header, err := wire.AnswerHeader(key, benchBackend)
	if err != nil {
		b.Fatal(err)
	}
	datagram := encode(b, header, message.Message{Code: codes.Content, Type: message.NonConfirmable, MessageID: 7, Token: []byte{9}, Payload: []byte("glyphs")})
	var packet balancer.Packet
	var effects balancer.Effects
	event := &balancer.Datagram{Packet: &packet}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if err := decoder.Decode(datagram, &packet); err != nil {
			b.Fatal(err)
		}
		effects.Reset()
		core.Step(benchNow, event, &effects)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "datagrams/s")
}

// BenchmarkNewFlow measures the first datagram of a flow and its answer.
func BenchmarkNewFlow(b *testing.B) {
	core, decoder := benchCore(b), wire.NewDecoder()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		open(b, core, decoder, benchKey(i))
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "flows/s")
}

// BenchmarkHold opens 300,000 flows and reports the memory per flow, and the time
// that the ticks of one second take.
func BenchmarkHold(b *testing.B) {
	const flows = 300_000
	for range b.N {
		core, decoder := benchCore(b), wire.NewDecoder()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range flows {
			open(b, core, decoder, benchKey(i))
		}
		decoder = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
		started := time.Now()
		var effects balancer.Effects
		for tick := range int(time.Second / balancer.TickInterval) {
			core.Step(benchNow+time.Duration(tick+1)*balancer.TickInterval, &balancer.Tick{}, &effects)
		}
		b.ReportMetric(float64(time.Since(started).Microseconds()), "µs/tick-second")
		if core.FlowCount() != flows {
			b.Fatalf("%d flows stored", core.FlowCount())
		}
	}
}
