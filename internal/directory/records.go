package directory

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gaugeyard/internal/codec"
	"gaugeyard/internal/settings"
)

// Records are back ends as balancers send them to each other. They are encoded by column, with each name once,
// since a starting balancer receives all of them and decodes this form several times faster than a list of
// structures (see BenchmarkLearnLargeFleet).
type Records []Record

// columns is the encoded form of records. Lists have one element for each record unless noted otherwise.
type columns struct {
	// Groups and Zones have each name once.
	Groups, Zones []string
	IDs           []uint64
	Revisions     []uint64
	Births        []int64
	// GroupAt and ZoneAt are indexes in Groups and Zones.
	GroupAt, ZoneAt []int
	// Hosts has 4 bytes for each record, or 16 bytes for each if any address is not IPv4.
	Hosts   []byte
	Ports   []int
	Slots   []int
	WarmUps []int64
	// Draining is 1 for draining back ends, else 0.
	Draining []byte
}

const (
	hostBytes4 = 4
	hostBytes6 = 16
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r Records) EncodeMsgpack(encoder *msgpack.Encoder) error {
	var c columns
	groups, zones := codec.NameTable{}, codec.NameTable{}
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
		c.Births = append(c.Births, int64(b.StartTime))
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
	hostBytes, err := c.validate()
	if err != nil || len(c.IDs) == 0 {
		return err
	}
	records := make(Records, len(c.IDs))
	for i := range records {
		address, _ := netip.AddrFromSlice(c.Hosts[i*hostBytes : (i+1)*hostBytes])
		records[i] = Record{Revision: c.Revisions[i], Backend: Backend{
			ID: settings.BackendID(c.IDs[i]), StartTime: StartTime(c.Births[i]), Group: c.Groups[c.GroupAt[i]], Zone: c.Zones[c.ZoneAt[i]],
			Address: netip.AddrPortFrom(address.Unmap(), uint16(c.Ports[i])), Slots: c.Slots[i],
			Draining: c.Draining[i] == 1, WarmUp: time.Duration(c.WarmUps[i]),
		}}
	}
	*r = records
	return nil
}

// validate returns the number of bytes of each host, or an error if the lists are inconsistent.
func (c *columns) validate() (hostBytes int, err error) {
	count := len(c.IDs)
	for _, length := range []int{len(c.Revisions), len(c.Births), len(c.GroupAt), len(c.ZoneAt), len(c.Ports), len(c.Slots), len(c.WarmUps), len(c.Draining)} {
		if length != count {
			return 0, fmt.Errorf("records: column of %d elements for %d records", length, count)
		}
	}
	switch len(c.Hosts) {
	case hostBytes4 * count:
		hostBytes = hostBytes4
	case hostBytes6 * count:
		hostBytes = hostBytes6
	default:
		return 0, fmt.Errorf("records: %d bytes of hosts for %d records", len(c.Hosts), count)
	}
	for i := range c.IDs {
		if c.GroupAt[i] < 0 || c.GroupAt[i] >= len(c.Groups) || c.ZoneAt[i] < 0 || c.ZoneAt[i] >= len(c.Zones) {
			return 0, fmt.Errorf("records: back end %x has an invalid group or zone index", c.IDs[i])
		}
		if c.Ports[i] < 0 || c.Ports[i] > 0xffff {
			return 0, fmt.Errorf("records: back end %x has invalid port %d", c.IDs[i], c.Ports[i])
		}
	}
	return hostBytes, nil
}
