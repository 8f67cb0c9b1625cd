// Package snapshot stores a copy of the set of back ends in the platform's store, next to the
// entries that the back ends write themselves. If those expire in an outage of the store and all
// balancers lose their state as well, the snapshot lists the back ends that were there before.
//
// A part is one entry of the store, with the back ends whose identifiers hash to it, a format
// version and a checksum. The writer is the balancer that writes parts. A reader may combine parts
// of different times, since each back end carries the store's revision of its own entry.
//
// The package does no I/O and reads no clock. It decides what is written and when, and which parts
// are valid. Package directory decides who may use the result and for how long.
//
// # Usage
//
//	var w snapshot.Writer
//	w.Observe(parts)                             // what a listing found
//	w.MarkChanged()                              // membership or draining changed
//	if w.Due(conditions) {
//		write, err := w.Next(count, records)      // send it to the store unless it has no parts
//		w.Done(now, write, snapshot.Outcome{...}) // whatever the outcome
//	}
//
//	read := snapshot.Read(parts)                 // after a listing
//	missing := read.Missing(listed)              // back ends to use for a limited time
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
	// format is the version of the format, the first byte of a part. Parts of other versions are
	// rejected; the next write replaces them.
	format = 2
	// checksumBytes is the length of the checksum at the end of a part.
	checksumBytes = 8
	// backendsPerPart is the maximum mean number of back ends in a part. It keeps a part, of about
	// 31 kB, far below a store's limit for one entry, and a change cheap to write.
	backendsPerPart = 1024
	// MaxParts is the maximum number of parts, enough for a million back ends.
	MaxParts = 1024
)

// errInvalidPart is the class of errors about a part's content.
var errInvalidPart = errs.Class("snapshot part")

// Stored is a part as the store holds it.
type Stored struct {
	Part     int
	Value    []byte
	Revision uint64
}

// content is the encoded form of a part, with each name once. Structures are encoded as arrays: the
// order of fields is part of the format.
type content struct {
	Part, Parts   int
	Groups, Zones []string
	Backends      []backend
}

// backend is a back end that accepted new flows when the part was written.
type backend struct {
	ID          uint64
	Revision    uint64
	Address     netip.AddrPort
	Group, Zone int
	Slots       int
	StartTime   directory.StartTime
}

// partCountFor returns the number of parts, a power of two, for a number of back ends.
func partCountFor(count int) int {
	return min(MaxParts, 1<<bits.Len(uint(max(count-1, 0)/backendsPerPart)))
}

// partOf returns the part that a back end belongs to. parts is a power of two.
func partOf(id settings.BackendID, parts int) int {
	var bytes [8]byte
	binary.BigEndian.PutUint64(bytes[:], uint64(id))
	return int(xxh3.Hash(bytes[:]) & uint64(parts-1))
}

// encode returns a part with the given back ends, which are in order of identifier, so that equal
// sets have equal encodings.
func encode(part, parts int, records []directory.Record) ([]byte, error) {
	encoded := content{Part: part, Parts: parts, Backends: make([]backend, len(records))}
	groups, zones := codec.NameTable{}, codec.NameTable{}
	for i := range records {
		b := &records[i].Backend
		encoded.Backends[i] = backend{
			ID: uint64(b.ID), Revision: records[i].Revision, Address: b.Address, Slots: b.Slots, StartTime: b.StartTime,
			Group: groups.Index(&encoded.Groups, b.Group), Zone: zones.Index(&encoded.Zones, b.Zone),
		}
	}
	var buffer bytes.Buffer
	buffer.WriteByte(format)
	encoder := msgpack.NewEncoder(&buffer)
	// Field names would take up most of a part.
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(&encoded); err != nil {
		return nil, errInvalidPart.Wrap(err)
	}
	return appendChecksum(buffer.Bytes()), nil
}

// appendChecksum returns a copy of the body followed by its checksum.
func appendChecksum(body []byte) []byte {
	return binary.BigEndian.AppendUint64(body[:len(body):len(body)], xxh3.Hash(body))
}

// decode decodes and validates a part. It returns an error for one that is truncated, corrupted or
// of another format.
func decode(value []byte) (*content, error) {
	if len(value) < 1+checksumBytes {
		return nil, errInvalidPart.New("%d bytes are too short for a part", len(value))
	}
	if value[0] != format {
		return nil, errInvalidPart.New("unsupported format %d, want %d", value[0], format)
	}
	body := value[:len(value)-checksumBytes]
	if binary.BigEndian.Uint64(value[len(body):]) != xxh3.Hash(body) {
		return nil, errInvalidPart.New("checksum mismatch")
	}
	decoded := &content{}
	if err := codec.Unmarshal(body[1:], decoded); err != nil {
		return nil, errInvalidPart.Wrap(err)
	}
	return decoded, errInvalidPart.Wrap(decoded.check())
}

// check returns an error for values that are out of range or contradict each other.
func (c *content) check() error {
	if c.Parts < 1 || c.Parts > MaxParts || bits.OnesCount(uint(c.Parts)) != 1 || c.Part < 0 || c.Part >= c.Parts {
		return fmt.Errorf("part number %d is out of range for %d parts", c.Part, c.Parts)
	}
	for i := range c.Backends {
		b := &c.Backends[i]
		switch {
		case b.Group < 0 || b.Group >= len(c.Groups) || b.Zone < 0 || b.Zone >= len(c.Zones):
			return fmt.Errorf("back end %x has a group or zone index out of range", b.ID)
		case !b.Address.IsValid() || b.Slots < 0:
			return fmt.Errorf("back end %x has an invalid address or slot count: %v, %d", b.ID, b.Address, b.Slots)
		case partOf(settings.BackendID(b.ID), c.Parts) != c.Part:
			return fmt.Errorf("back end %x does not belong to part %d", b.ID, c.Part)
		}
	}
	return nil
}

// records returns the back ends of a part that check accepted.
func (c *content) records() []directory.Record {
	records := make([]directory.Record, len(c.Backends))
	for i, b := range c.Backends {
		records[i] = directory.Record{Revision: b.Revision, Backend: directory.Backend{
			ID: settings.BackendID(b.ID), Group: c.Groups[b.Group], Zone: c.Zones[b.Zone], Address: b.Address, Slots: b.Slots, StartTime: b.StartTime,
		}}
	}
	return records
}
