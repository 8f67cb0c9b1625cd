package snapshot

import (
	"encoding/hex"
	"net/netip"
	"slices"
	"testing"

	"gaugeyard/internal/directory"
)

// TestEncodedBytesStay guards the format that other versions read and write: a part in which every
// field is filled keeps its bytes, and the bytes decode to the same back ends.
func TestEncodedBytesStay(t *testing.T) {
	records := []directory.Record{
		{Revision: 0x1122, Backend: directory.Backend{
			ID: 0x0102030405060708, StartTime: 0x1718191a1b1c1d1e, Group: "feed", Zone: "zone-a", Slots: 3,
			Address: netip.MustParseAddrPort("10.1.2.3:8080"),
		}},
		{Revision: 0x334455667788, Backend: directory.Backend{
			ID: 0x0102030405060709, StartTime: -2, Group: "upload", Zone: "zone-b", Slots: 300,
			Address: netip.MustParseAddrPort("[2001:db8::1]:443"),
		}},
	}
	// Both back ends hash to this part.
	const part, parts = 23, 64
	const want = "0295174092a466656564a675706c6f616492a67a6f6e652d61a67a6f6e652d629297cf0102030405060708cf0000000000001122c4060a010203901f000003d31718191a1b1c1d1e97cf0102030405060709cf0000334455667788c41220010db8000000000000000000000001bb010101cd012cd3fffffffffffffffe5202d796b7946c61"
	value, err := encode(part, parts, records)
	if err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(value); got != want {
		t.Errorf("encoded as\n%s, want\n%s", got, want)
	}
	stored, err := hex.DecodeString(want)
	if err != nil {
		t.Fatal(err)
	}
	reading := Read([]Stored{{part, stored, 1}})
	if len(reading.Errors) > 0 || !slices.Equal(reading.records, records) {
		t.Errorf("read %+v, errors %v", reading.records, reading.Errors)
	}
}
