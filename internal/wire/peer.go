package wire

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/codec"
	"gaugeyard/internal/errkind"
)

// PeerVersion is the version of the protocol between balancers. It is the first
// byte of each datagram.
const PeerVersion = 1

// EncodeMessage encodes a message to a peer as a datagram.
func EncodeMessage(message *balancer.Message) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.WriteByte(PeerVersion)
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&buffer)
	encoder.UseCompactInts(true)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(message); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// EncodedSize returns the length of a message's datagram in bytes, or MaxDatagram
// if the message cannot be encoded.
func EncodedSize(message *balancer.Message) int {
	datagram, err := EncodeMessage(message)
	if err != nil {
		return MaxDatagram
	}
	return len(datagram)
}

// DecodeMessage decodes a datagram from a peer, with the packet of a relay. The
// returned kind is that of the error: WrongVersion, Malformed, or None.
func (d *Decoder) DecodeMessage(data []byte) (*balancer.Message, errkind.Kind, error) {
	if len(data) == 0 || data[0] != PeerVersion {
		return nil, errkind.WrongVersion, errkind.New(errkind.WrongVersion, "unsupported peer protocol version")
	}
	message := &balancer.Message{}
	if err := codec.Unmarshal(data[1:], message); err != nil {
		return nil, errkind.Malformed, errkind.New(errkind.Malformed, "peer message: %v", err)
	}
	if countBodies(message) != 1 {
		return nil, errkind.Malformed, errkind.New(errkind.Malformed, "peer message with %d bodies", countBodies(message))
	}
	if !isValid(message) {
		return nil, errkind.Malformed, errkind.New(errkind.Malformed, "peer message with values out of range")
	}
	if message.Relay == nil {
		return message, errkind.None, nil
	}
	message.Relay.Packet = &balancer.Packet{}
	if err := d.Decode(message.Relay.Data, message.Relay.Packet); err != nil {
		return nil, errkind.Malformed, err
	}
	return message, errkind.None, nil
}

// isValid reports whether the address of an introduction and all error kinds in a
// message are valid.
func isValid(m *balancer.Message) bool {
	if m.Heartbeat != nil && m.Heartbeat.Introduction != nil {
		return m.Heartbeat.Introduction.Address.IsValid()
	}
	if m.Relay != nil {
		return m.Relay.Error.Valid() && validRefusals(m.Relay.Refusals)
	}
	if m.Copy == nil {
		return true
	}
	for _, record := range m.Copy.Records {
		for _, refused := range record.Refused {
			if !validRefusals(refused.Refusals) {
				return false
			}
		}
	}
	return true
}

func validRefusals(refusals []balancer.Refusal) bool {
	for _, refusal := range refusals {
		if !refusal.Kind.Valid() {
			return false
		}
	}
	return true
}

// countBodies returns the number of pointers that are set; a valid message has one.
func countBodies(m *balancer.Message) int {
	count := 0
	for _, set := range []bool{
		m.Relay != nil, m.Heartbeat != nil, m.SettingsRequest != nil, m.SettingsPart != nil,
		m.Copy != nil, m.CopyDone != nil, m.Grant != nil,
	} {
		if set {
			count++
		}
	}
	return count
}
