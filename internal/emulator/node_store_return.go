package emulator

import "time"

// recordConfirmed reports to the directory how long ago the store confirmed the state. A
// confirmation from a peer's changes is not evidence of the store's return: the peer reports that
// itself.
func (n *node) recordConfirmed(staleness time.Duration, fromPeer bool) {
	if !fromPeer {
		n.directory.DetectStoreReturn(n.now(), staleness, n.confirmed.Staleness(n.now()))
	}
}

// captureStoreReturn returns a function that reports to another balancer when the store returned, as
// known at this call. Without a recent return, that function does nothing.
func (n *node) captureStoreReturn() func(requester *node) {
	age, returning := n.directory.ReturnAge(n.now())
	return func(requester *node) {
		if returning {
			requester.directory.ReceiveStoreReturn(requester.now() - age)
		}
	}
}
