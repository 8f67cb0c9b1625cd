package emulator

import "time"

// recordConfirmed reports to the directory when the store confirmed the state. A confirmation from a
// peer's changes is not evidence of the store's return: the peer reports that itself.
func (n *node) recordConfirmed(confirmedAt time.Duration, fromPeer bool) {
	if !fromPeer {
		n.directory.DetectStoreReturn(n.now(), n.now()-confirmedAt, n.confirmed.Staleness(n.now()))
	}
}

// captureStoreReturn returns a function that reports to another balancer, whose time of this call is at
// least capturedAt, when the store returned. Without a recent return, that function does nothing.
func (n *node) captureStoreReturn() func(requester *node, capturedAt time.Duration) {
	age, returning := n.directory.ReturnAge(n.now())
	return func(requester *node, capturedAt time.Duration) {
		if returning {
			requester.directory.ReceiveStoreReturn(capturedAt - age)
		}
	}
}
