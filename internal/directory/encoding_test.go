package directory

import (
	"bytes"
	"encoding/hex"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gaugeyard/internal/settings"
)

// TestPeerMessageEncoding pins the bytes of a listing and of changes: balancers of different versions
// exchange them, so a renamed or moved field would make one version lose what the other sends.
func TestPeerMessageEncoding(t *testing.T) {
	records := Records{
		{Backend{ID: 1 << 40, StartTime: 1_800_000_000_000, Group: "fonts", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2}, 9},
		{Backend{ID: 7, Group: "uploads", Zone: "b", Address: netip.MustParseAddrPort("10.0.0.2:65535"), Slots: 1, Draining: true, WarmUp: time.Second}, 300},
	}
	tree := settings.Tree{"": settings.Values{}}
	if err := tree.Set("fonts", settings.KeyAddress, "192.0.2.1:80"); err != nil {
		t.Fatal(err)
	}
	current := &Settings{Version: 3, Revision: 4, Tree: tree}
	step := &Step{Base: 4, Version: 5, Revision: 6, Changes: settings.Diff(settings.Tree{"": settings.Values{}}, tree)}
	evacuations := []Evacuation{{Zone: "a", Active: true, Revision: 8}}
	for _, test := range []struct {
		name          string
		message, read any
		encoded       string
	}{
		{"listing", &Listing{
			Revision: 10, Settings: current, Records: records, Evacuations: evacuations, Unusable: []Removal{{ID: 3, Revision: 5}},
			Removed: records[:1], FromPeer: true, Expired: []settings.BackendID{1 << 40},
		}, &Listing{}, "88a85265766973696f6ecf000000000000000aa853657474696e677383a756657273696f6ecf0000000000000003a85265766973696f6ecf00000000" +
			"00000004a4547265659391a76164647265737391909a00a0000000a5666f6e7473000100ac3139322e302e322e313a3830a75265636f7264738ca647" +
			"726f75707392a5666f6e7473a775706c6f616473a55a6f6e657392a161a162a349447392cf000001000000000007a95265766973696f6e739209cd01" +
			"2ca642697274687392cf000001a3185c500000a747726f75704174920001a65a6f6e654174920001a5486f737473c4080a0000010a000002a5506f72" +
			"74739250cdffffa5536c6f7473920201a75761726d5570739200ce3b9aca00a8447261696e696e67c4020001ab45766163756174696f6e739183a45a" +
			"6f6e65a161a6416374697665c3a85265766973696f6e08a8556e757361626c659182a2494403a85265766973696f6e05a844657061727465648ca647" +
			"726f75707391a5666f6e7473a55a6f6e657391a161a349447391cf0000010000000000a95265766973696f6e739109a642697274687391cf000001a3" +
			"185c5000a747726f757041749100a65a6f6e6541749100a5486f737473c4040a000001a5506f7274739150a5536c6f74739102a75761726d55707391" +
			"00a8447261696e696e67c40100a4546f6c64c3a64c617073656491cf0000010000000000"},
		{"changes", &Changes{
			Revision: 10, Settings: current, Step: step, Records: records[1:], Removed: []Removal{{ID: 2, Revision: 7}},
			Unusable: []Removal{{ID: 3, Revision: 5}}, Evacuations: evacuations, FromPeer: true, Expired: []settings.BackendID{2},
		}, &Changes{}, "89a85265766973696f6ecf000000000000000aa853657474696e677383a756657273696f6ecf0000000000000003a85265766973696f6ecf00000000" +
			"00000004a4547265659391a76164647265737391909a00a0000000a5666f6e7473000100ac3139322e302e322e313a3830a45374657084a442617365" +
			"cf0000000000000004a756657273696f6ecf0000000000000005a85265766973696f6ecf0000000000000006a74368616e6765739391a76164647265" +
			"737391909600a5666f6e7473000100ac3139322e302e322e313a3830a75265636f7264738ca647726f75707391a775706c6f616473a55a6f6e657391" +
			"a162a34944739107a95265766973696f6e7391cd012ca64269727468739100a747726f757041749100a65a6f6e6541749100a5486f737473c4040a00" +
			"0002a5506f72747391cdffffa5536c6f74739101a75761726d55707391ce3b9aca00a8447261696e696e67c40101a4476f6e659182a2494402a85265" +
			"766973696f6e07a8556e757361626c659182a2494403a85265766973696f6e05ab45766163756174696f6e739183a45a6f6e65a161a6416374697665" +
			"c3a85265766973696f6e08a4546f6c64c3a64c61707365649102"},
	} {
		want, err := hex.DecodeString(test.encoded)
		if err != nil {
			t.Fatal(err)
		}
		got, err := msgpack.Marshal(test.message)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%s is encoded as\n%x, want\n%x", test.name, got, want)
		}
		if err := msgpack.Unmarshal(want, test.read); err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		if !reflect.DeepEqual(test.read, test.message) {
			t.Errorf("%s: read %+v, want %+v", test.name, test.read, test.message)
		}
	}
}
