// Package tagged plays the users' platform over loopback, in one process: its store
// over HTTP, its servers, routers and clients over UDP, and the operators. It stands
// in for the platform in tests and in the demo; it judges what clients were told
// against what servers ran. Each machine of the platform is an address of 127/8.
package tagged

import (
	"encoding/binary"
	"errors"
	"net/netip"
)

// Flags of a packet.
const (
	flagSYN = 64
	flagFIN = 32
	flagACK = 8
	flagRST = 128
)

const (
	headLength = 31
	// idLength is the length of the server's identifier before a packet.
	idLength = 8
)

var errShort = errors.New("packet shorter than its head")

// packet is one packet, as both ends write it.
type packet struct {
	source, destination netip.AddrPort
	echo                uint32
	flags               byte
	sequence, ack       uint32
	data                []byte
}

// encode returns the datagram of the packet. The stand-ins' sum is their own; no
// balancer may look at it.
func (p *packet) encode() []byte {
	d := make([]byte, headLength, headLength+len(p.data))
	destination, source := p.destination.Addr().As4(), p.source.Addr().As4()
	copy(d[0:], destination[:])
	binary.BigEndian.PutUint16(d[4:], p.destination.Port())
	binary.BigEndian.PutUint16(d[6:], p.source.Port())
	copy(d[8:], source[:])
	binary.BigEndian.PutUint32(d[12:], p.echo)
	binary.BigEndian.PutUint16(d[16:], uint16(len(p.data)))
	d[18] = p.flags
	binary.BigEndian.PutUint32(d[19:], p.sequence)
	binary.BigEndian.PutUint32(d[23:], p.ack)
	d = append(d, p.data...)
	binary.BigEndian.PutUint32(d[27:], sumOf(d))
	return d
}

func decode(d []byte) (packet, error) {
	if len(d) < headLength || len(d) != headLength+int(binary.BigEndian.Uint16(d[16:])) {
		return packet{}, errShort
	}
	return packet{
		destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte(d[0:4])), binary.BigEndian.Uint16(d[4:])),
		source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(d[8:12])), binary.BigEndian.Uint16(d[6:])),
		echo:        binary.BigEndian.Uint32(d[12:]),
		flags:       d[18],
		sequence:    binary.BigEndian.Uint32(d[19:]),
		ack:         binary.BigEndian.Uint32(d[23:]),
		data:        append([]byte(nil), d[headLength:]...),
	}, nil
}

// sumOf covers everything but the echo and the sum itself.
func sumOf(d []byte) uint32 {
	sum := uint32(2166136261)
	for i, b := range d {
		if i >= 12 && i < 16 || i >= 27 && i < headLength {
			continue
		}
		sum = (sum ^ uint32(b)) * 16777619
	}
	return sum
}

// intact tells whether the packet arrived as its sender wrote it.
func intact(d []byte) bool {
	return len(d) >= headLength && binary.BigEndian.Uint32(d[27:]) == sumOf(d)
}
