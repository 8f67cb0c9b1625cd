package wire

import (
	"net/netip"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/fuzzinput"
)

var (
	testFlow = flow.Key{
		Caller:  netip.MustParseAddrPort("127.0.0.9:4000"),
		Service: netip.MustParseAddrPort("127.0.0.1:5683"),
	}
	testBackend = netip.MustParseAddrPort("127.0.0.2:6000")
)

func datagram(t testing.TB, header []byte, m message.Message) []byte {
	t.Helper()
	buffer := make([]byte, len(header)+256)
	copy(buffer, header)
	length, err := coder.DefaultCoder.Encode(m, buffer[len(header):])
	if err != nil {
		t.Fatal(err)
	}
	return buffer[:len(header)+length]
}

func TestDecodeDirections(t *testing.T) {
	request, _ := RequestHeader(testFlow)
	answer, _ := AnswerHeader(testFlow, testBackend)
	cases := []struct {
		name      string
		header    []byte
		code      codes.Code
		kind      balancer.PacketKind
		wantError bool
	}{
		{"a request", request, codes.GET, balancer.Request, false},
		{"an acknowledgement of a notification", request, codes.Empty, balancer.Control, false},
		{"an answer", answer, codes.Content, balancer.Answer, false},
		{"an empty acknowledgement of a back end", answer, codes.Empty, balancer.Acknowledge, false},
		{"a caller that poses as a back end", request, codes.Content, 0, true},
		{"a back end that sends requests", answer, codes.GET, 0, true},
	}
	decoder := NewDecoder()
	for _, c := range cases {
		data := datagram(t, c.header, message.Message{Code: c.code, Type: message.Confirmable, MessageID: 7, Token: []byte{1, 2}})
		var packet balancer.Packet
		err := decoder.Decode(data, &packet)
		if (err != nil) != c.wantError {
			t.Errorf("%s: error %v", c.name, err)
			continue
		}
		if !c.wantError && (packet.Kind != c.kind || packet.Flow != testFlow || packet.MessageID != 7 || packet.Token.Length != 2) {
			t.Errorf("%s: decoded %+v", c.name, packet)
		}
	}
}

func TestRelayRoundTrip(t *testing.T) {
	header, _ := RequestHeader(testFlow)
	data := datagram(t, header, message.Message{Code: codes.POST, Type: message.Confirmable, MessageID: 9})
	sent := &balancer.Message{From: 5, Relay: &balancer.Relay{Kind: balancer.RelayPropose, Hops: 2, OwnerHistoryComplete: true, Backend: testBackend, Data: data,
		Refusals: []balancer.Refusal{{MessageID: 3, Kind: errkind.SlotsFull, RemainingMilliseconds: 10}}}}
	encoded, err := EncodeMessage(sent)
	if err != nil {
		t.Fatal(err)
	}
	got, _, err := NewDecoder().DecodeMessage(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if got.From != 5 || got.Relay.Backend != testBackend || got.Relay.Packet.Flow != testFlow || got.Relay.Refusals[0].MessageID != 3 {
		t.Errorf("decoded %+v", got.Relay)
	}
}

func TestEncodeAnswerSetsMaxAge(t *testing.T) {
	packet := &balancer.Packet{Kind: balancer.Request, Flow: testFlow, MessageID: 77, Confirmable: true, Token: flow.Token{Bytes: [8]byte{4}, Length: 1}}
	data, err := EncodeAnswer(packet, errkind.SlotsFull, 1500*time.Millisecond, 1)
	if err != nil {
		t.Fatal(err)
	}
	var decoded message.Message
	decoded.Options = make(message.Options, 0, 8)
	if _, err := coder.DefaultCoder.Decode(data[HeaderLength(data):], &decoded); err != nil {
		t.Fatal(err)
	}
	age, err := decoded.Options.GetUint32(message.MaxAge)
	if err != nil || age != 2 || decoded.Code != codes.ServiceUnavailable || decoded.MessageID != 77 || decoded.Type != message.Acknowledgement {
		t.Errorf("answer %v, Max-Age %d, %v", decoded.String(), age, err)
	}
}

func FuzzDecode(f *testing.F) {
	header, _ := RequestHeader(testFlow)
	request := datagram(f, header, message.Message{Code: codes.GET, Type: message.Confirmable, MessageID: 1})
	answer, _ := AnswerHeader(testFlow, testBackend)
	content := datagram(f, answer, message.Message{Code: codes.Content, Type: message.Acknowledgement, MessageID: 1, Payload: []byte("x")})
	fuzzinput.Add(f, request, content, header[:20], []byte{})
	decoder := NewDecoder()
	f.Fuzz(func(t *testing.T, data []byte) {
		var packet balancer.Packet
		if decoder.Decode(data, &packet) == nil && !packet.Flow.Caller.IsValid() {
			t.Error("a packet without a caller was accepted")
		}
	})
}

func FuzzDecodeMessage(f *testing.F) {
	heartbeat, _ := EncodeMessage(&balancer.Message{From: 1, Heartbeat: &balancer.Heartbeat{Revision: 4, Introduction: &balancer.Introduction{Address: testBackend, Zone: "a"}}})
	fuzzinput.Add(f, heartbeat, []byte{PeerVersion + 1, 0x80}, []byte{PeerVersion})
	decoder := NewDecoder()
	f.Fuzz(func(t *testing.T, data []byte) {
		message, _, err := decoder.DecodeMessage(data)
		if err == nil && message.Relay != nil && message.Relay.Packet == nil {
			t.Error("a relay without a packet was accepted")
		}
	})
}
