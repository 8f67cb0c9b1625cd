package follow

import (
	"testing"
	"time"
)

// TestConfirmationOlderThanProcess: the state that a new process receives keeps its staleness, so that
// a restart does not make a stale state look fresh to others.
func TestConfirmationOlderThanProcess(t *testing.T) {
	var c Confirmation
	if staleness := c.Staleness(100 * time.Millisecond); staleness != neverConfirmed {
		t.Errorf("staleness %v before the first confirmation, want %v", staleness, neverConfirmed)
	}
	c.Update(50*time.Millisecond - 1600*time.Millisecond)
	if staleness := c.Staleness(250 * time.Millisecond); staleness != 1800*time.Millisecond {
		t.Errorf("staleness %v, want 1.8s", staleness)
	}
}

// TestConfirmationIsSentOnce to waiting followers, and not after each small renewal.
func TestConfirmationIsSentOnce(t *testing.T) {
	var c Confirmation
	if !c.Update(time.Second) {
		t.Error("the first confirmation is not sent")
	}
	if c.Update(1100*time.Millisecond) || c.Update(1200*time.Millisecond-500*time.Millisecond) {
		t.Error("a confirmation that is older, or newer by less than minRenewal, is sent")
	}
	if !c.Update(2 * time.Second) {
		t.Error("a newer confirmation is not sent")
	}
	if !c.IsNewerThan(2*time.Second, 300*time.Millisecond) || c.IsNewerThan(2*time.Second, 100*time.Millisecond) {
		t.Error("whether a confirmation is newer does not depend on the staleness of the other one")
	}
}

func TestNewestConfirmationCounts(t *testing.T) {
	var c Confirmation
	c.Update(3 * time.Second)
	c.Update(4*time.Second - 2*time.Second)
	if staleness := c.Staleness(5 * time.Second); staleness != 2*time.Second {
		t.Errorf("staleness %v, want 2 s", staleness)
	}
	c.Update(5*time.Second - 500*time.Millisecond)
	if staleness := c.Staleness(5 * time.Second); staleness != 500*time.Millisecond {
		t.Errorf("staleness %v, want 0.5 s", staleness)
	}
}
