// Package snapshot keeps which back ends there are in the platform's store, beside the entries that these
// write themselves: when those lapse in an outage and all balancers lose what they knew as well, the
// snapshot says who was there before.
//
// Terms: a part is one entry of the store, with the back ends whose identifiers hash to it; the writer is
// the balancer that writes parts. Each part stands by itself: a reader that finds parts of different times
// believes nothing wrong by it, since each back end has the store's revision of its own entry. A part has a
// version of its format and a checksum.
//
// The package is pure: no clock, no calls. It decides what is written and when, and what is believed; who
// may believe it for how long is package directory's.
//
// # Usage
//
//	var w snapshot.Writer
//	w.Heard(parts)                                // what a listing found
//	w.Changed()                                   // membership or draining changed
//	if w.Due(state) {
//		write, err := w.Next(count, records)      // make the call, nothing to do where it has no parts
//		w.Done(now, write, snapshot.Outcome{...}) // whatever came of it
//	}
//
//	read := snapshot.Read(parts)                  // after a listing
//	missing := read.Missing(listed)               // whom to believe in for a moment
package snapshot

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/bits"
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"gaugeyard/internal/codec"
	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

const (
	// format is the version of the format, the first byte of a part. Others are refused: the next write
	// replaces them, seconds after the first balancer of this version leads.
	format = 2
	// checksumBytes is the length of the checksum at the end.
	checksumBytes = 8
	// perPart is how many back ends a part has at most, on average: about 31 kB, far below what a store's
	// entry may have, and little to write anew for one that changed.
	perPart = 1024
	// MaxParts is how many parts there are at most: enough for a million back ends.
	MaxParts = 1024
)

// errPart is the class of what is wrong with a part.
var errPart = errs.Class("snapshot part")

// Stored is a part as the store holds it.
type Stored struct {
	Part     int
	Value    []byte
	Revision uint64
}

// content is what a part says. Names are told once.
type content struct {
	Part, Parts   int
	Groups, Zones []string
	Backends      []backend
}

// backend is one that took new flows when the part was written.
type backend struct {
	ID          uint64
	Revision    uint64
	Address     netip.AddrPort
	Group, Zone int
	Slots       int
	Born        directory.Birth
}

// partsFor returns in how many parts back ends are divided, a power of two.
func partsFor(count int) int {
	return min(MaxParts, 1<<bits.Len(uint(max(count-1, 0)/perPart)))
}

// partOf returns the part of a back end.
func partOf(id settings.BackendID, parts int) int {
	var bytes [8]byte
	binary.BigEndian.PutUint64(bytes[:], uint64(id))
	return int(xxh3.Hash(bytes[:]) & uint64(parts-1))
}

// encode returns a part with the back ends, which are in order of identifier: equal ones are encoded alike.
func encode(part, parts int, records []directory.Record) ([]byte, error) {
	written := content{Part: part, Parts: parts, Backends: make([]backend, len(records))}
	groups, zones := codec.Names{}, codec.Names{}
	for i := range records {
		b := &records[i].Backend
		written.Backends[i] = backend{
			ID: uint64(b.ID), Revision: records[i].Revision, Address: b.Address, Slots: b.Slots, Born: b.Born,
			Group: groups.Index(&written.Groups, b.Group), Zone: zones.Index(&written.Zones, b.Zone),
		}
	}
	var buffer bytes.Buffer
	buffer.WriteByte(format)
	encoder := msgpack.NewEncoder(&buffer)
	// Names of fields would be most of a part.
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(&written); err != nil {
		return nil, errPart.Wrap(err)
	}
	return sealed(buffer.Bytes()), nil
}

// sealed returns a body with its checksum.
func sealed(body []byte) []byte {
	return binary.BigEndian.AppendUint64(body[:len(body):len(body)], xxh3.Hash(body))
}

// decode reads a part and says what is wrong with one that is torn, of another format or not ours.
func decode(value []byte) (*content, error) {
	if len(value) < 1+checksumBytes {
		return nil, errPart.New("%d bytes are too few", len(value))
	}
	if value[0] != format {
		return nil, errPart.New("format %d is not %d", value[0], format)
	}
	body := value[:len(value)-checksumBytes]
	if binary.BigEndian.Uint64(value[len(body):]) != xxh3.Hash(body) {
		return nil, errPart.New("the checksum is wrong")
	}
	read := &content{}
	if err := codec.Unmarshal(body[1:], read); err != nil {
		return nil, errPart.Wrap(err)
	}
	return read, errPart.Wrap(read.check())
}

// check tells what contradicts itself.
func (c *content) check() error {
	if c.Parts < 1 || c.Parts > MaxParts || bits.OnesCount(uint(c.Parts)) != 1 || c.Part < 0 || c.Part >= c.Parts {
		return fmt.Errorf("part %d of %d", c.Part, c.Parts)
	}
	for i := range c.Backends {
		b := &c.Backends[i]
		switch {
		case b.Group < 0 || b.Group >= len(c.Groups) || b.Zone < 0 || b.Zone >= len(c.Zones):
			return fmt.Errorf("back end %x has no name of a group or zone", b.ID)
		case !b.Address.IsValid() || b.Slots < 0:
			return fmt.Errorf("back end %x has the address %v and %d slots", b.ID, b.Address, b.Slots)
		case partOf(settings.BackendID(b.ID), c.Parts) != c.Part:
			return fmt.Errorf("back end %x is in part %d", b.ID, c.Part)
		}
	}
	return nil
}

// records returns the back ends of a checked part.
func (c *content) records() []directory.Record {
	records := make([]directory.Record, len(c.Backends))
	for i, b := range c.Backends {
		records[i] = directory.Record{Revision: b.Revision, Backend: directory.Backend{
			ID: settings.BackendID(b.ID), Group: c.Groups[b.Group], Zone: c.Zones[b.Zone], Address: b.Address, Slots: b.Slots, Born: b.Born,
		}}
	}
	return records
}
