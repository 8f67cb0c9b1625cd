package wire

import (
	"math"
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/errkind"
)

// maxAnswerLength exceeds the length of every answer that a balancer encodes, in
// bytes without the PROXY header.
const maxAnswerLength = 128

// replyCodes maps each reply to its CoAP response code. codes.Empty means that no
// answer is sent.
var replyCodes = map[errkind.Reply]codes.Code{
	errkind.Silent:      codes.Empty,
	errkind.Unavailable: codes.ServiceUnavailable,
	errkind.Timeout:     codes.GatewayTimeout,
}

// EncodeAnswer returns the datagram, with its header, that answers a failed
// request, or nil if the kind is not answered. If packet.Confirmable is set, the
// request is still unacknowledged and is answered in its acknowledgement, otherwise
// in a separate message with messageID. If the kind has a retry time, retry is sent
// as Max-Age, rounded up to seconds.
func EncodeAnswer(packet *balancer.Packet, kind errkind.Kind, retry time.Duration, messageID uint16) ([]byte, error) {
	row := kind.Answer()
	code := replyCodes[row.Reply]
	if code == codes.Empty {
		return nil, nil
	}
	header, err := AnswerHeader(packet.Flow, netip.AddrPort{})
	if err != nil {
		return nil, err
	}
	answer := message.Message{
		Code:      code,
		Token:     packet.Token.Bytes[:packet.Token.Length],
		Type:      message.NonConfirmable,
		MessageID: int32(messageID),
	}
	if packet.Confirmable {
		answer.Type = message.Acknowledgement
		answer.MessageID = int32(packet.MessageID)
	}
	if row.HasMaxAge {
		seconds := uint32(math.Ceil(retry.Seconds()))
		buffer := make([]byte, 8)
		answer.Options, _, err = answer.Options.SetUint32(buffer, message.MaxAge, seconds)
		if err != nil {
			return nil, err
		}
	}
	datagram := make([]byte, len(header)+maxAnswerLength)
	copy(datagram, header)
	length, err := coder.DefaultCoder.Encode(answer, datagram[len(header):])
	if err != nil {
		return nil, err
	}
	return datagram[:len(header)+length], nil
}
