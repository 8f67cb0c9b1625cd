package edge

import (
	"testing"
	"time"

	"gaugeyard/internal/steering"
)

// TestAHeldOpeningPacketIsDroppedOnceCopiesFollow: another balancer may have placed one of these.
func TestAHeldOpeningPacketIsDroppedOnceCopiesFollow(t *testing.T) {
	var held holding
	held.keep(0, []byte("copied meanwhile"), steering.Open)
	held.keep(0, []byte("established"), steering.Established)
	held.keep(100*time.Millisecond, []byte("opening"), steering.Open)
	released := held.release(100*time.Millisecond + steering.HoldOpening)
	if len(released) != 2 || string(released[0]) != "established" || string(released[1]) != "opening" {
		t.Errorf("released are %q", released)
	}
}
