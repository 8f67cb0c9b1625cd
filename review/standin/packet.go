package main

import (
	"encoding/binary"
	"errors"
	"net/netip"
)

// Flags of a packet.
const (
	flagSYN = 64
	flagACK = 8
	flagFIN = 32
	flagRST = 128
)

const (
	headerLength = 31
	maxData      = 1200
	// idLength is the length of the server identifier in front of a packet to a server.
	idLength = 8
	// sumKey is the key of the checksum, which balancers do not know.
	sumKey = 0x5bd1e995
)

var errLength = errors.New("length does not match the header")

// packet is one packet of a flow, with the fields of PROTOCOL.md.
type packet struct {
	source, destination netip.AddrPort
	echo                uint32
	flags               byte
	sequence, ack       uint32
	data                []byte
}

func (p *packet) encode() []byte {
	d := make([]byte, headerLength, headerLength+len(p.data))
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
	binary.BigEndian.PutUint32(d[27:], checksum(d))
	return d
}

// decode returns the packet in d and whether its checksum is that of its sender. A reset of a balancer has the
// checksum 0.
func decode(d []byte) (p packet, authentic bool, err error) {
	if len(d) < headerLength || len(d) != headerLength+int(binary.BigEndian.Uint16(d[16:])) {
		return packet{}, false, errLength
	}
	p = packet{
		destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte(d[0:4])), binary.BigEndian.Uint16(d[4:])),
		source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(d[8:12])), binary.BigEndian.Uint16(d[6:])),
		echo:        binary.BigEndian.Uint32(d[12:]),
		flags:       d[18],
		sequence:    binary.BigEndian.Uint32(d[19:]),
		ack:         binary.BigEndian.Uint32(d[23:]),
		data:        append([]byte(nil), d[headerLength:]...),
	}
	return p, binary.BigEndian.Uint32(d[27:]) == checksum(d), nil
}

// checksum is a keyed FNV-1a hash of the packet except its echo and the checksum itself.
func checksum(d []byte) uint32 {
	sum := uint32(2166136261) ^ sumKey
	for i, b := range d {
		if i >= 12 && i < 16 || i >= 27 && i < headerLength {
			continue
		}
		sum = (sum ^ uint32(b)) * 16777619
	}
	return sum
}
