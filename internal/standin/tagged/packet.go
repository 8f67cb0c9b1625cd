// Package tagged simulates the users' platform over loopback in one process: its store
// over HTTP, its servers, routers and clients over UDP, and the operators. Tests and the
// demo run balancers against it. It checks what clients received against what servers
// ran. Each machine of the platform has an address in 127/8.
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
	headerLength = 31
	// idLength is the length of the server identifier that balancers prepend to a packet.
	idLength = 8
)

var errShortPacket = errors.New("packet length does not match its header")

// packet is one packet of the platform's transport protocol.
type packet struct {
	source, destination netip.AddrPort
	tag                 uint32
	flags               byte
	sequence, ack       uint32
	data                []byte
}

// encode returns the datagram of the packet. Its checksum is private to the stand-ins;
// balancers must not read it.
func (p *packet) encode() []byte {
	d := make([]byte, headerLength, headerLength+len(p.data))
	destination, source := p.destination.Addr().As4(), p.source.Addr().As4()
	copy(d[0:], destination[:])
	binary.BigEndian.PutUint16(d[4:], p.destination.Port())
	binary.BigEndian.PutUint16(d[6:], p.source.Port())
	copy(d[8:], source[:])
	binary.BigEndian.PutUint32(d[12:], p.tag)
	binary.BigEndian.PutUint16(d[16:], uint16(len(p.data)))
	d[18] = p.flags
	binary.BigEndian.PutUint32(d[19:], p.sequence)
	binary.BigEndian.PutUint32(d[23:], p.ack)
	d = append(d, p.data...)
	binary.BigEndian.PutUint32(d[27:], checksum(d))
	return d
}

func decode(d []byte) (packet, error) {
	if len(d) < headerLength || len(d) != headerLength+int(binary.BigEndian.Uint16(d[16:])) {
		return packet{}, errShortPacket
	}
	return packet{
		destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte(d[0:4])), binary.BigEndian.Uint16(d[4:])),
		source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(d[8:12])), binary.BigEndian.Uint16(d[6:])),
		tag:         binary.BigEndian.Uint32(d[12:]),
		flags:       d[18],
		sequence:    binary.BigEndian.Uint32(d[19:]),
		ack:         binary.BigEndian.Uint32(d[23:]),
		data:        append([]byte(nil), d[headerLength:]...),
	}, nil
}

// checksum returns the FNV-1a hash of the datagram except its tag and the checksum itself.
func checksum(d []byte) uint32 {
	sum := uint32(2166136261)
	for i, b := range d {
		if i >= 12 && i < 16 || i >= 27 && i < headerLength {
			continue
		}
		sum = (sum ^ uint32(b)) * 16777619
	}
	return sum
}

// hasValidChecksum reports whether the packet arrived unchanged, but for its tag.
func hasValidChecksum(d []byte) bool {
	return len(d) >= headerLength && binary.BigEndian.Uint32(d[27:]) == checksum(d)
}
