package directory

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// TestRecordsRoundTrip encodes and decodes no records, and records with IPv4 and IPv6 addresses.
func TestRecordsRoundTrip(t *testing.T) {
	four := Records{
		{Backend{ID: 1 << 40, StartTime: 1_800_000_000_000, Group: "fonts", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2}, 9},
		{Backend{ID: 7, Group: "uploads", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.2:65535"), Slots: 1, Draining: true, WarmUp: time.Second}, 1 << 50},
	}
	six := append(slices.Clone(four), Record{Backend{ID: 3, Group: "fonts", Zone: "b", Address: netip.MustParseAddrPort("[2001:db8::1]:443"), Slots: 3}, 2})
	for _, sent := range []Records{nil, four, six} {
		data, err := msgpack.Marshal(&Listing{Revision: 5, Records: sent, Removed: sent})
		if err != nil {
			t.Fatal(err)
		}
		var read Listing
		if err := msgpack.Unmarshal(data, &read); err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(read.Records, sent) || !slices.Equal(read.Removed, sent) {
			t.Errorf("received %+v, sent %+v", read, sent)
		}
	}
}

// TestInconsistentRecordsAreRejected as a whole.
func TestInconsistentRecordsAreRejected(t *testing.T) {
	valid := columns{Groups: []string{"fonts"}, Zones: []string{"a"}, IDs: []uint64{1}, Revisions: []uint64{2}, Births: []int64{0},
		GroupAt: []int{0}, ZoneAt: []int{0}, Hosts: []byte{10, 0, 0, 1}, Ports: []int{80}, Slots: []int{2}, WarmUps: []int64{0}, Draining: []byte{0}}
	for name, change := range map[string]func(c *columns){
		"too few revisions": func(c *columns) { c.Revisions = nil },
		"too many births":   func(c *columns) { c.Births = []int64{0, 0} },
		"half of a host":    func(c *columns) { c.Hosts = c.Hosts[:2] },
		"no such group":     func(c *columns) { c.GroupAt = []int{1} },
		"a negative zone":   func(c *columns) { c.ZoneAt = []int{-1} },
		"a port too high":   func(c *columns) { c.Ports = []int{1 << 16} },
	} {
		broken := valid
		change(&broken)
		data, err := msgpack.Marshal(&broken)
		if err != nil {
			t.Fatal(err)
		}
		var read Records
		if err := msgpack.Unmarshal(data, &read); err == nil || len(read) > 0 {
			t.Errorf("%s: read %+v, %v", name, read, err)
		}
	}
}
