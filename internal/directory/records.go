package directory

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gaugeyard/internal/codec"
	"gaugeyard/internal/settings"
)

// Records are back ends as balancers tell them to each other: field by field and names once, since a balancer that
// starts is told of all. 10,000 of them take 9 ms of a whole core to read in this form, and 42 ms one after
// the other with the names of their fields, which on a fifth of a core is 0.16 s later for every caller
// (BenchmarkLearnLargeFleet).
type Records []Record

// columns has an element of each list for each record.
type columns struct {
	Groups, Zones []string
	IDs           []uint64
	Revisions     []uint64
	Births        []int64
	// GroupAt and ZoneAt are indexes of the names.
	GroupAt, ZoneAt []int
	// Hosts has hostBytes for each, and Ports the ports there.
	Hosts   []byte
	Ports   []int
	Slots   []int
	WarmUps []int64
	// Draining has a byte for each, 1 for one that drains.
	Draining []byte
}

const (
	hostBytes4 = 4
	hostBytes6 = 16
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r Records) EncodeMsgpack(encoder *msgpack.Encoder) error {
	var c columns
	groups, zones := codec.Names{}, codec.Names{}
	hostBytes := hostBytes4
	for i := range r {
		if !r[i].Backend.Address.Addr().Is4() {
			hostBytes = hostBytes6
		}
	}
	for i := range r {
		b := &r[i].Backend
		c.IDs = append(c.IDs, uint64(b.ID))
		c.Revisions = append(c.Revisions, r[i].Revision)
		c.Births = append(c.Births, int64(b.Born))
		c.GroupAt = append(c.GroupAt, groups.Index(&c.Groups, b.Group))
		c.ZoneAt = append(c.ZoneAt, zones.Index(&c.Zones, b.Zone))
		host := b.Address.Addr().As16()
		c.Hosts = append(c.Hosts, host[len(host)-hostBytes:]...)
		c.Ports = append(c.Ports, int(b.Address.Port()))
		c.Slots = append(c.Slots, b.Slots)
		c.WarmUps = append(c.WarmUps, int64(b.WarmUp))
		draining := byte(0)
		if b.Draining {
			draining = 1
		}
		c.Draining = append(c.Draining, draining)
	}
	encoder.UseCompactInts(true)
	return encoder.Encode(&c)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Records) DecodeMsgpack(decoder *msgpack.Decoder) error {
	var c columns
	if err := decoder.Decode(&c); err != nil {
		return err
	}
	hostBytes, err := c.check()
	if err != nil || len(c.IDs) == 0 {
		return err
	}
	records := make(Records, len(c.IDs))
	for i := range records {
		address, _ := netip.AddrFromSlice(c.Hosts[i*hostBytes : (i+1)*hostBytes])
		records[i] = Record{Revision: c.Revisions[i], Backend: Backend{
			ID: settings.BackendID(c.IDs[i]), Born: Birth(c.Births[i]), Group: c.Groups[c.GroupAt[i]], Zone: c.Zones[c.ZoneAt[i]],
			Address: netip.AddrPortFrom(address.Unmap(), uint16(c.Ports[i])), Slots: c.Slots[i],
			Draining: c.Draining[i] == 1, WarmUp: time.Duration(c.WarmUps[i]),
		}}
	}
	*r = records
	return nil
}

// check tells what contradicts itself, and how many bytes each host has.
func (c *columns) check() (hostBytes int, err error) {
	count := len(c.IDs)
	for _, length := range []int{len(c.Revisions), len(c.Births), len(c.GroupAt), len(c.ZoneAt), len(c.Ports), len(c.Slots), len(c.WarmUps), len(c.Draining)} {
		if length != count {
			return 0, fmt.Errorf("records: %d of a field of %d records", length, count)
		}
	}
	switch len(c.Hosts) {
	case hostBytes4 * count:
		hostBytes = hostBytes4
	case hostBytes6 * count:
		hostBytes = hostBytes6
	default:
		return 0, fmt.Errorf("records: %d bytes are the hosts of %d records", len(c.Hosts), count)
	}
	for i := range c.IDs {
		if c.GroupAt[i] < 0 || c.GroupAt[i] >= len(c.Groups) || c.ZoneAt[i] < 0 || c.ZoneAt[i] >= len(c.Zones) {
			return 0, fmt.Errorf("records: back end %x has no name of a group or zone", c.IDs[i])
		}
		if c.Ports[i] < 0 || c.Ports[i] > 0xffff {
			return 0, fmt.Errorf("records: back end %x has port %d", c.IDs[i], c.Ports[i])
		}
	}
	return hostBytes, nil
}
