// Package wire decodes and encodes datagrams: CoAP (RFC 7252) behind a PROXY
// protocol v2 header towards fabric and back ends, and msgpack between
// balancers. All formats come from libraries.
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
	// typeBackend is the PROXY protocol TLV that names the back end of an
	// answer; its value is netip.AddrPort in binary form. It is from the range
	// that the protocol leaves to applications.
	typeBackend = proxyproto.PP2_TYPE_MIN_CUSTOM
	// fixedHeader is the length of a v2 header before its addresses, in bytes.
	fixedHeader = 16
	// maxOptions is how many CoAP options a datagram may have.
	maxOptions = 64
	// firstResponse is the lowest CoAP code of a response.
	firstResponse = codes.Code(2 << 5)
)

// Header is what a PROXY header says: the flow, and for an answer its back end.
type Header struct {
	Flow    flow.Key
	Backend netip.AddrPort
}

// cacheLimit bounds the decoded headers kept by a Decoder.
const cacheLimit = 1 << 16

// maxCachedHeader is the longest header that is kept, in bytes.
const maxCachedHeader = 64

// Decoder turns datagrams into packets. Decoded headers are kept, because every
// datagram of a flow begins with the same bytes. Safe for use by many workers.
type Decoder struct {
	mutex    sync.RWMutex
	headers  map[[maxCachedHeader]byte]Header
	messages sync.Pool
}

// NewDecoder returns an empty decoder.
func NewDecoder() *Decoder {
	decoder := &Decoder{headers: map[[maxCachedHeader]byte]Header{}}
	decoder.messages.New = func() any {
		return &message.Message{Options: make(message.Options, 0, maxOptions)}
	}
	return decoder
}

// Decode reads one datagram into packet, which then refers to data. Errors are
// of kind Malformed.
func (d *Decoder) Decode(data []byte, packet *balancer.Packet) error {
	header, length, err := d.header(data)
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
		Continues:   laterBlock(decoded.Options, message.Block1) || laterBlock(decoded.Options, message.Block2),
		Observe:     decoded.Options.HasOption(message.Observe),
		Data:        data,
	}
	packet.Token.Length = uint8(copy(packet.Token.Bytes[:], decoded.Token))
	fromBackend := packet.Kind >= balancer.Answer
	if fromBackend != header.Backend.IsValid() {
		return errkind.New(errkind.Malformed, "code %v from the wrong side", decoded.Code)
	}
	return nil
}

func kindOf(code codes.Code, fromBackend bool) balancer.PacketKind {
	switch {
	case code == codes.Empty && fromBackend:
		return balancer.Acknowledge
	case code == codes.Empty:
		return balancer.Control
	case code >= firstResponse:
		return balancer.Answer
	}
	return balancer.Request
}

// blockNumberShift is where the block number starts in a block option (RFC 7959).
const blockNumberShift = 4

func laterBlock(options message.Options, id message.OptionID) bool {
	value, err := options.GetUint32(id)
	return err == nil && value>>blockNumberShift > 0
}

// header returns the PROXY header and its length.
func (d *Decoder) header(data []byte) (Header, int, error) {
	if len(data) < fixedHeader {
		return Header{}, 0, errkind.New(errkind.Malformed, "shorter than a PROXY header")
	}
	length := fixedHeader + int(data[14])<<8 + int(data[15])
	if length > len(data) {
		return Header{}, 0, errkind.New(errkind.Malformed, "truncated PROXY header")
	}
	if length > maxCachedHeader {
		header, err := ReadHeader(data[:length])
		return header, length, err
	}
	var key [maxCachedHeader]byte
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
	if len(d.headers) >= cacheLimit {
		clear(d.headers)
	}
	d.headers[key] = header
	return header, length, nil
}

// ReadHeader decodes a PROXY header.
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
		return Header{}, errkind.New(errkind.Malformed, "PROXY header without addresses")
	}
	records, err := decoded.TLVs()
	if err != nil {
		return Header{}, errkind.New(errkind.Malformed, "PROXY header: %v", err)
	}
	for _, record := range records {
		if record.Type != typeBackend {
			continue
		}
		header := Header{Flow: flow.Key{Caller: to, Service: from}}
		if err := header.Backend.UnmarshalBinary(record.Value); err != nil || !header.Backend.IsValid() {
			return Header{}, errkind.New(errkind.Malformed, "back end of an answer is not an address")
		}
		return header, nil
	}
	return Header{Flow: flow.Key{Caller: from, Service: to}}, nil
}

func unmapped(address *net.UDPAddr) netip.AddrPort {
	decoded := address.AddrPort()
	return netip.AddrPortFrom(decoded.Addr().Unmap(), decoded.Port())
}

// RequestHeader returns the header in front of a caller's datagram.
func RequestHeader(key flow.Key) ([]byte, error) {
	return formatHeader(key.Caller, key.Service, nil)
}

// AnswerHeader returns the header in front of an answer. A valid back end is
// named in it; an answer of a balancer has none.
func AnswerHeader(key flow.Key, backend netip.AddrPort) ([]byte, error) {
	if !backend.IsValid() {
		return formatHeader(key.Service, key.Caller, nil)
	}
	value, err := backend.MarshalBinary()
	if err != nil {
		return nil, err
	}
	return formatHeader(key.Service, key.Caller, []proxyproto.TLV{{Type: typeBackend, Value: value}})
}

func formatHeader(from, to netip.AddrPort, records []proxyproto.TLV) ([]byte, error) {
	header := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(from), net.UDPAddrFromAddrPort(to))
	if err := header.SetTLVs(records); err != nil {
		return nil, err
	}
	return header.Format()
}

// HeaderLength returns the length of the PROXY header in front of a datagram
// that was decoded before.
func HeaderLength(data []byte) int {
	return fixedHeader + int(data[14])<<8 + int(data[15])
}

// Split returns a datagram's PROXY header and what follows it.
func Split(data []byte) (Header, []byte, error) {
	if len(data) < fixedHeader || HeaderLength(data) > len(data) {
		return Header{}, nil, errkind.New(errkind.Malformed, "truncated PROXY header")
	}
	length := HeaderLength(data)
	header, err := ReadHeader(data[:length])
	return header, data[length:], err
}
