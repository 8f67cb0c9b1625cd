package steering

import "time"

// Callers retransmit an opening packet after these intervals.
const (
	firstCopyAfter  = 200 * time.Millisecond
	secondCopyAfter = 400 * time.Millisecond
)

// maxAttempt is the number of the last copy of an opening packet.
const maxAttempt = 2

// clampAttempt limits the number of a copy to maxAttempt.
func clampAttempt(attempt uint32) uint8 { return uint8(min(attempt, maxAttempt)) }

// hasBeenCopied reports whether the caller of a held opening packet has sent a later copy by now.
// The copy may have opened the flow through another balancer, and the answer of a second back end
// would divert the flow. If no other balancer received the copy, it came here as well.
func (p *Packet) hasBeenCopied() bool {
	switch p.Attempt {
	case 0:
		return p.Held >= firstCopyAfter
	case 1:
		return p.Held >= secondCopyAfter
	}
	return false
}
