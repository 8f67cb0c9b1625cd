package main

import (
	"encoding/binary"
	"hash/fnv"
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
	// idLength is the length of the server identifier in front of a forwarded packet.
	idLength = 8
)

// endpoints are the two addresses of a flow, as the client writes them.
type endpoints struct {
	client, route netip.AddrPort
}

// packet is one packet of the platform.
type packet struct {
	source, destination netip.AddrPort
	echo                uint32
	flags               byte
	sequence, ack       uint32
	data                []byte
}

// encode returns the datagram. The sum is one of the stand-ins; balancers cannot know it.
func (p *packet) encode() []byte {
	d := make([]byte, headLength, headLength+len(p.data))
	destination, source := p.destination.Addr().As4(), p.source.Addr().As4()
	copy(d, destination[:])
	binary.BigEndian.PutUint16(d[4:], p.destination.Port())
	binary.BigEndian.PutUint16(d[6:], p.source.Port())
	copy(d[8:], source[:])
	binary.BigEndian.PutUint32(d[12:], p.echo)
	binary.BigEndian.PutUint16(d[16:], uint16(len(p.data)))
	d[18] = p.flags
	binary.BigEndian.PutUint32(d[19:], p.sequence)
	binary.BigEndian.PutUint32(d[23:], p.ack)
	d = append(d, p.data...)
	binary.BigEndian.PutUint32(d[27:], sum(d))
	return d
}

// decode returns the packet of a datagram, and whether it is one.
func decode(d []byte) (packet, bool) {
	if len(d) < headLength || len(d) != headLength+int(binary.BigEndian.Uint16(d[16:])) {
		return packet{}, false
	}
	return packet{
		destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte(d[0:4])), binary.BigEndian.Uint16(d[4:])),
		source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(d[8:12])), binary.BigEndian.Uint16(d[6:])),
		echo:        binary.BigEndian.Uint32(d[12:]),
		flags:       d[18],
		sequence:    binary.BigEndian.Uint32(d[19:]),
		ack:         binary.BigEndian.Uint32(d[23:]),
		data:        append([]byte(nil), d[headLength:]...),
	}, true
}

// sum covers everything but the echo and the sum itself.
func sum(d []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write(d[:12])
	_, _ = h.Write(d[16:27])
	_, _ = h.Write(d[headLength:])
	return h.Sum32()
}

// intact reports whether the sum of a datagram holds.
func intact(d []byte) bool {
	return len(d) >= headLength && binary.BigEndian.Uint32(d[27:]) == sum(d)
}
