package emulator

import "time"

// noteConfirmed lets the directory know that the store confirmed age ago what is believed, unless another
// balancer has told together with it what lapsed.
func (n *node) noteConfirmed(age time.Duration, told bool) {
	if !told {
		n.directory.DetectStoreReturn(n.now(), age, n.confirmed.Age(n.now()))
	}
}

// tellReturn takes down when the store returned, for another balancer that is told what lapsed.
func (n *node) tellReturn() func(asker *node) {
	age, returning := n.directory.ReturnAge(n.now())
	return func(asker *node) {
		if returning {
			asker.directory.ReceiveStoreReturn(asker.now() - age)
		}
	}
}
