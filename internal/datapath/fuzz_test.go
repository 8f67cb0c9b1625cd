package datapath

import (
	"testing"
	"time"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/fuzzinput"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/wire"
)

// TestOversizedDatagramIsDropped guards the max_datagram setting (4 KiB by default).
func TestOversizedDatagramIsDropped(t *testing.T) {
	core := benchCore(t)
	for _, c := range []struct{ length, dropped int }{{4 << 10, 0}, {4<<10 + 1, 1}} {
		packet := &balancer.Packet{Kind: balancer.Request, Flow: benchKey(c.length), Data: make([]byte, c.length)}
		core.Step(benchNow, &balancer.Datagram{Packet: packet}, &balancer.Effects{})
		if got := core.Counters.Dropped[errkind.Oversized].Load(); got != uint64(c.dropped) {
			t.Errorf("%d bytes: %d dropped, want %d", c.length, got, c.dropped)
		}
	}
}

// FuzzPeerMessage guards against panics of the core on any message that decodes.
func FuzzPeerMessage(f *testing.F) {
	key := benchKey(1)
	request := newRequest(f, key, 3)
	const peer = 9
	messages := []*balancer.Message{
		{From: peer, Heartbeat: &balancer.Heartbeat{Sequence: 1, Revision: 9, Introduction: &balancer.Introduction{Address: benchBackend, Zone: "b"}}},
		{From: peer, SettingsRequest: &balancer.SettingsRequest{}},
		{From: peer, SettingsPart: &balancer.SettingsPart{Revision: 5, Count: 1, Changes: []settings.Change{{Path: "a/b/c/d/e/f", Key: "slots", After: "2"}}}},
		{From: peer, Copy: &balancer.Copy{Records: []balancer.Record{{Service: benchService, Backend: benchBackend, Refused: []balancer.RefusedCaller{{Index: 4}}}}}},
		{From: peer, CopyDone: &balancer.CopyDone{Sequence: 1}},
		{From: peer, Grant: &balancer.Grant{Partitions: []byte{1}}},
	}
	for kind := balancer.RelayToOwner; kind <= balancer.RelayAmbiguous; kind++ {
		for _, variant := range []balancer.Relay{{Backend: benchBackend}, {Error: errkind.SlotsFull}, {}} {
			relay := variant
			relay.Kind, relay.Data = kind, request
			messages = append(messages, &balancer.Message{From: peer, Relay: &relay})
		}
	}
	var datagrams [][]byte
	for _, message := range messages {
		datagram, err := wire.EncodeMessage(message)
		if err != nil {
			f.Fatal(err)
		}
		datagrams = append(datagrams, datagram)
	}
	fuzzinput.Add(f, datagrams...)
	core, decoder := benchCore(f), wire.NewDecoder()
	heartbeat := messages[0]
	f.Fuzz(func(t *testing.T, data []byte) {
		var effects balancer.Effects
		core.Step(benchNow, &balancer.PeerMessage{Message: heartbeat}, &effects)
		if message, _, err := decoder.DecodeMessage(data); err == nil {
			core.Step(benchNow+time.Millisecond, &balancer.PeerMessage{Message: message}, &effects)
		}
	})
}
