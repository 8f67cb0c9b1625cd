// Package wire encodes and decodes datagrams. Callers and back ends use CoAP
// (RFC 7252) behind a PROXY protocol v2 header; balancers use msgpack.
package wire

import (
	"bufio"
	"bytes"
	"net"
	"net/netip"
	"sync"

	"github.com/pires/go-proxyproto"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
)

const (
	// MaxDatagram is the largest datagram read from any socket, in bytes.
	MaxDatagram = 64 << 10
	// backendTLV is the PROXY protocol TLV that identifies the back end of an
	// answer. Its value is a netip.AddrPort in binary form. The type is from the
	// protocol's range for applications.
	backendTLV = proxyproto.PP2_TYPE_MIN_CUSTOM
	// fixedHeaderLength is the length of a v2 header before its addresses, in bytes.
	fixedHeaderLength = 16
	// maxOptions is the maximum number of CoAP options of a datagram.
	maxOptions = 64
	// minResponseCode is the lowest CoAP code of a response.
	minResponseCode = codes.Code(2 << 5)
)

// Header is the content of a PROXY header: the flow, and for an answer the back
// end. Backend is the zero value in front of a caller's datagram.
type Header struct {
	Flow    flow.Key
	Backend netip.AddrPort
}

// maxCachedHeaders is the maximum number of decoded headers that a Decoder caches.
const maxCachedHeaders = 1 << 16

// maxCachedLength is the length of the longest header that is cached, in bytes.
const maxCachedLength = 64

// Decoder decodes datagrams into packets. It caches decoded headers, because all
// datagrams of a flow begin with the same bytes. It is safe for concurrent use.
type Decoder struct {
	mutex    sync.RWMutex
	headers  map[[maxCachedLength]byte]Header
	messages sync.Pool
}

// NewDecoder returns an empty decoder.
func NewDecoder() *Decoder {
	decoder := &Decoder{headers: map[[maxCachedLength]byte]Header{}}
	decoder.messages.New = func() any {
		return &message.Message{Options: make(message.Options, 0, maxOptions)}
	}
	return decoder
}

// Decode decodes one datagram into packet, whose Data then aliases data. Errors
// are of kind Malformed.
func (d *Decoder) Decode(data []byte, packet *balancer.Packet) error {
	header, length, err := d.cachedHeader(data)
	if err != nil {
		return err
	}
	decoded := d.messages.Get().(*message.Message)
	defer d.messages.Put(decoded)
	if _, err := coder.DefaultCoder.Decode(data[length:], decoded); err != nil {
		return errkind.New(errkind.Malformed, "CoAP: %v", err)
	}
	*packet = balancer.Packet{
		Kind:        kindOf(decoded.Code, header.Backend.IsValid()),
		Flow:        header.Flow,
		Backend:     header.Backend,
		MessageID:   uint16(decoded.MessageID),
		Confirmable: decoded.Type == message.Confirmable,
		Continues:   isLaterBlock(decoded.Options, message.Block1) || isLaterBlock(decoded.Options, message.Block2),
		Observe:     decoded.Options.HasOption(message.Observe),
		Data:        data,
	}
	packet.Token.Length = uint8(copy(packet.Token.Bytes[:], decoded.Token))
	fromBackend := packet.Kind >= balancer.Answer
	if fromBackend != header.Backend.IsValid() {
		return errkind.New(errkind.Malformed, "code %v is not allowed in this direction", decoded.Code)
	}
	return nil
}

// kindOf returns the kind of a packet with the code, sent by a back end or a caller.
func kindOf(code codes.Code, fromBackend bool) balancer.PacketKind {
	switch {
	case code == codes.Empty && fromBackend:
		return balancer.Acknowledge
	case code == codes.Empty:
		return balancer.Control
	case code >= minResponseCode:
		return balancer.Answer
	}
	return balancer.Request
}

// blockNumberShift is the offset of the block number in a block option, in bits
// (RFC 7959).
const blockNumberShift = 4

// isLaterBlock reports whether the block option id is present and its block is not
// the first.
func isLaterBlock(options message.Options, id message.OptionID) bool {
	value, err := options.GetUint32(id)
	return err == nil && value>>blockNumberShift > 0
}

// cachedHeader returns the PROXY header of a datagram and its length in bytes.
func (d *Decoder) cachedHeader(data []byte) (Header, int, error) {
	if len(data) < fixedHeaderLength {
		return Header{}, 0, errkind.New(errkind.Malformed, "datagram is shorter than a PROXY header")
	}
	length := fixedHeaderLength + int(data[14])<<8 + int(data[15])
	if length > len(data) {
		return Header{}, 0, errkind.New(errkind.Malformed, "truncated PROXY header")
	}
	if length > maxCachedLength {
		header, err := ReadHeader(data[:length])
		return header, length, err
	}
	var key [maxCachedLength]byte
	copy(key[:], data[:length])
	d.mutex.RLock()
	header, known := d.headers[key]
	d.mutex.RUnlock()
	if known {
		return header, length, nil
	}
	header, err := ReadHeader(data[:length])
	if err != nil {
		return Header{}, 0, err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.headers) >= maxCachedHeaders {
		clear(d.headers)
	}
	d.headers[key] = header
	return header, length, nil
}

// ReadHeader decodes a PROXY header. Errors are of kind Malformed.
func ReadHeader(data []byte) (Header, error) {
	decoded, err := proxyproto.Read(bufio.NewReader(bytes.NewReader(data)))
	if err != nil {
		return Header{}, errkind.New(errkind.Malformed, "PROXY header: %v", err)
	}
	source, destination, ok := decoded.UDPAddrs()
	if !ok {
		return Header{}, errkind.New(errkind.Malformed, "PROXY header is not for UDP")
	}
	from, to := unmapped(source), unmapped(destination)
	if !from.IsValid() || !to.IsValid() || from.Port() == 0 || to.Port() == 0 {
		return Header{}, errkind.New(errkind.Malformed, "PROXY header has no addresses")
	}
	records, err := decoded.TLVs()
	if err != nil {
		return Header{}, errkind.New(errkind.Malformed, "PROXY header: %v", err)
	}
	for _, record := range records {
		if record.Type != backendTLV {
			continue
		}
		header := Header{Flow: flow.Key{Caller: to, Service: from}}
		if err := header.Backend.UnmarshalBinary(record.Value); err != nil || !header.Backend.IsValid() {
			return Header{}, errkind.New(errkind.Malformed, "PROXY header: the back end of an answer is not an address")
		}
		return header, nil
	}
	return Header{Flow: flow.Key{Caller: from, Service: to}}, nil
}

// unmapped returns the address with an IPv4-mapped IPv6 address as IPv4.
func unmapped(address *net.UDPAddr) netip.AddrPort {
	decoded := address.AddrPort()
	return netip.AddrPortFrom(decoded.Addr().Unmap(), decoded.Port())
}

// RequestHeader returns the header in front of a caller's datagram.
func RequestHeader(key flow.Key) ([]byte, error) {
	return formatHeader(key.Caller, key.Service, nil)
}

// AnswerHeader returns the header in front of an answer. It identifies the back
// end if that is valid; an answer of a balancer has none.
func AnswerHeader(key flow.Key, backend netip.AddrPort) ([]byte, error) {
	if !backend.IsValid() {
		return formatHeader(key.Service, key.Caller, nil)
	}
	value, err := backend.MarshalBinary()
	if err != nil {
		return nil, err
	}
	return formatHeader(key.Service, key.Caller, []proxyproto.TLV{{Type: backendTLV, Value: value}})
}

func formatHeader(from, to netip.AddrPort, records []proxyproto.TLV) ([]byte, error) {
	header := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(from), net.UDPAddrFromAddrPort(to))
	if err := header.SetTLVs(records); err != nil {
		return nil, err
	}
	return header.Format()
}

// HeaderLength returns the length of a datagram's PROXY header in bytes. The
// datagram must have been decoded without error.
func HeaderLength(data []byte) int {
	return fixedHeaderLength + int(data[14])<<8 + int(data[15])
}

// Split returns a datagram's PROXY header and the bytes after it. Errors are of
// kind Malformed.
func Split(data []byte) (Header, []byte, error) {
	if len(data) < fixedHeaderLength || HeaderLength(data) > len(data) {
		return Header{}, nil, errkind.New(errkind.Malformed, "truncated PROXY header")
	}
	length := HeaderLength(data)
	header, err := ReadHeader(data[:length])
	return header, data[length:], err
}
