package steering

import (
	"testing"
	"time"

	"gaugeyard/internal/errkind"
)

// The copy may have opened the flow through another balancer.
func TestAHeldOpeningPacketThatWasCopiedIsNotPlaced(t *testing.T) {
	for _, test := range []struct {
		attempt uint32
		held    time.Duration
		placed  bool
	}{
		{0, 0, true}, {0, 150 * time.Millisecond, true}, {0, 200 * time.Millisecond, false}, {0, 900 * time.Millisecond, false},
		{1, 350 * time.Millisecond, true}, {1, 400 * time.Millisecond, false},
		{2, 900 * time.Millisecond, true},
	} {
		f := newFleet(t)
		packet := Packet{Flow: key(1, feedAddress), Kind: Open, Attempt: test.attempt, Sequence: 7, Held: test.held}
		decision := f.steerer.Steer(f.now, &packet)
		if decision.Action == Wait {
			packet.Waited = true
			decision = f.steerer.Steer(f.now+CopyWait, &packet)
		}
		if placed := decision.Action == Forward; placed != test.placed || !placed && decision.Reason != errkind.Stale {
			t.Errorf("copy %d, held for %v: %+v", test.attempt, test.held, decision)
		}
	}
}
