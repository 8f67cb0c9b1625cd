package wire

import (
	"encoding/hex"
	"net/netip"
	"reflect"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/settings"
)

// wireMessages returns one message of each kind, with a different value in each
// number, text and address and at least two elements in each list.
func wireMessages(t *testing.T) map[string]*balancer.Message {
	t.Helper()
	address := func(last byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, last}), 8000+uint16(last))
	}
	refusals := func(first uint16) []balancer.Refusal {
		return []balancer.Refusal{
			{MessageID: first, Kind: errkind.SlotsFull, RemainingMilliseconds: 70_000 + uint32(first)},
			{MessageID: first + 1, Kind: errkind.NoBackend, RemainingMilliseconds: 70_001 + uint32(first)},
		}
	}
	header, err := RequestHeader(testFlow)
	if err != nil {
		t.Fatal(err)
	}
	data := datagram(t, header, message.Message{Code: codes.POST, Type: message.Confirmable, MessageID: 9, Token: []byte{1, 2}, Payload: []byte("x")})
	return map[string]*balancer.Message{
		"relay": {From: 2_000_000_001, Relay: &balancer.Relay{
			Kind: balancer.RelayRefuse, Hops: 2, OwnerHistoryComplete: true, Backend: address(1), Replaces: address(2),
			Refusals: refusals(300), Error: errkind.DeadlineTooShort, Data: data,
		}},
		"heartbeat": {From: 12, Heartbeat: &balancer.Heartbeat{
			Revision: 301, Absent: true, Leaving: true, Settled: true, DecidedWithout: true, Invalidations: 302,
			Introduction: &balancer.Introduction{Address: address(3), Zone: "zone-a"}, Sequence: 303,
		}},
		"settings request": {From: 13, SettingsRequest: &balancer.SettingsRequest{Have: 304}},
		"settings part": {From: 14, SettingsPart: &balancer.SettingsPart{
			Base: 305, Revision: 306, Index: 1, Count: 2,
			Changes: []settings.Change{
				{Path: "a/b", Key: settings.KeyAddress, Before: "192.0.2.1:80", After: "192.0.2.2:80"},
				{Path: "a/c", Key: settings.KeyRepeatable, Before: "true", After: "false"},
			},
		}},
		"copy": {From: 15, Copy: &balancer.Copy{Sequence: 307, Records: []balancer.Record{
			{Service: address(4), Backend: address(5), Callers: []netip.AddrPort{address(6), address(7)},
				Refused: []balancer.RefusedCaller{{Index: 1, Refusals: refusals(310)}, {Index: 2, Refusals: refusals(320)}}},
			{Service: address(8), Backend: address(9), Callers: []netip.AddrPort{address(10), address(11)},
				Refused: []balancer.RefusedCaller{{Index: 3, Refusals: refusals(330)}, {Index: 4, Refusals: refusals(340)}}},
		}}},
		"copy done": {From: 16, CopyDone: &balancer.CopyDone{Sequence: 308}},
		"grant":     {From: 17, Grant: &balancer.Grant{Partitions: []byte{0x5a, 0xa5}}},
	}
}

// wireBytes are the encoded messages of released versions, in hexadecimal.
var wireBytes = map[string]string{
	"relay": "0198ce77359401980302c3c4060a000001411fc4060a000002421f9293cd012c07ce0001129c93cd012d05ce0001129d08c4240d0a0d0a000d0a5155" +
		"49540a2112000c7f0000097f0000010fa01633420200090102ff78c0c0c0c0c0c0",
	"heartbeat":        "01980cc098cd012dc3c3c3c3cd012e92c4060a000003431fa67a6f6e652d61cd012fc0c0c0c0c0",
	"settings request": "01980dc0c091cd0130c0c0c0c0",
	"settings part": "01980ec0c0c095cd0131cd013201029294a3612f62a761646472657373ac3139322e302e322e313a3830ac3139322e302e322e323a383094a3612f63" +
		"aa72657065617461626c65a474727565a566616c7365c0c0c0",
	"copy": "01980fc0c0c0c092cd01339294c4060a000004441fc4060a000005451f92c4060a000006461fc4060a000007471f9292019293cd013607ce000112a6" +
		"93cd013705ce000112a792029293cd014007ce000112b093cd014105ce000112b194c4060a000008481fc4060a000009491f92c4060a00000a4a1fc4" +
		"060a00000b4b1f9292039293cd014a07ce000112ba93cd014b05ce000112bb92049293cd015407ce000112c493cd015505ce000112c5c0c0",
	"copy done": "019810c0c0c0c0c091cd0134c0",
	"grant":     "019811c0c0c0c0c0c091c4025aa5",
}

// unsetField returns the path of a field that the message leaves at its zero value,
// empty if there is none. It skips the other bodies of the message and what is not encoded.
func unsetField(value reflect.Value, path string) string {
	switch value.Kind() {
	case reflect.Pointer:
		return unsetField(value.Elem(), path)
	case reflect.Slice:
		if value.Len() == 0 {
			return path
		}
		for i := range value.Len() {
			if unset := unsetField(value.Index(i), path); unset != "" && value.Type().Elem().Kind() != reflect.Uint8 {
				return unset
			}
		}
		return ""
	case reflect.Struct:
		if value.Type() == reflect.TypeFor[netip.AddrPort]() {
			break
		}
		for i := range value.NumField() {
			field := value.Type().Field(i)
			isOtherBody := value.Type() == reflect.TypeFor[balancer.Message]() && value.Field(i).IsZero()
			if isOtherBody || field.Tag.Get("msgpack") == "-" {
				continue
			}
			if unset := unsetField(value.Field(i), path+"."+field.Name); unset != "" {
				return unset
			}
		}
		return ""
	}
	if value.IsZero() {
		return path
	}
	return ""
}

// TestMessageBytes guards against messages that balancers of other versions decode
// differently.
func TestMessageBytes(t *testing.T) {
	decoder := NewDecoder()
	messages := wireMessages(t)
	if bodies := reflect.TypeFor[balancer.Message]().NumField() - 1; len(messages) != bodies || len(wireBytes) != bodies {
		t.Errorf("%d messages and %d encodings for %d kinds", len(messages), len(wireBytes), bodies)
	}
	for name, sent := range messages {
		if unset := unsetField(reflect.ValueOf(sent), name); unset != "" {
			t.Errorf("%s has no value", unset)
		}
		encoded, err := EncodeMessage(sent)
		if err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(encoded); got != wireBytes[name] {
			t.Errorf("%s: encoded as\n%s\nwant\n%s", name, got, wireBytes[name])
		}
		stored, err := hex.DecodeString(wireBytes[name])
		if err != nil {
			t.Fatal(err)
		}
		received, _, err := decoder.DecodeMessage(stored)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if received.Relay != nil {
			received.Relay.Packet = nil // not encoded
		}
		if !reflect.DeepEqual(received, sent) {
			t.Errorf("%s: decoded as %+v, want %+v", name, received, sent)
		}
	}
}

// TestHeartbeatFlagBytes guards against heartbeats whose flags have changed places,
// which a heartbeat with all flags set does not show.
func TestHeartbeatFlagBytes(t *testing.T) {
	for _, c := range []struct {
		name      string
		heartbeat balancer.Heartbeat
		want      string
	}{
		{"absent", balancer.Heartbeat{Absent: true}, "019801c09800c3c2c2c200c000c0c0c0c0c0"},
		{"leaving", balancer.Heartbeat{Leaving: true}, "019801c09800c2c3c2c200c000c0c0c0c0c0"},
		{"settled", balancer.Heartbeat{Settled: true}, "019801c09800c2c2c3c200c000c0c0c0c0c0"},
		{"decided without", balancer.Heartbeat{DecidedWithout: true}, "019801c09800c2c2c2c300c000c0c0c0c0c0"},
	} {
		encoded, err := EncodeMessage(&balancer.Message{From: 1, Heartbeat: &c.heartbeat})
		if err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(encoded); got != c.want {
			t.Errorf("%s: encoded as %s, want %s", c.name, got, c.want)
		}
	}
}
