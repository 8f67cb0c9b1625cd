package follow

import (
	"testing"
	"time"
)

// TestAStartIsNoConfirmation: what a new process learns keeps its age, also where it is
// older than the process. Else a restart would make old beliefs look fresh to others.
func TestAStartIsNoConfirmation(t *testing.T) {
	var c Confirmation
	if age := c.Age(100 * time.Millisecond); age != neverConfirmed {
		t.Errorf("age %v before anything is known, want %v", age, neverConfirmed)
	}
	c.Note(50*time.Millisecond, 1600*time.Millisecond)
	if age := c.Age(250 * time.Millisecond); age != 1800*time.Millisecond {
		t.Errorf("age %v of what was 1.6 s old 0.2 s ago", age)
	}
}

// TestAConfirmationIsToldOnce to those who wait, and not for each small step.
func TestAConfirmationIsToldOnce(t *testing.T) {
	var c Confirmation
	if !c.Note(time.Second, 0) {
		t.Error("the first one is not told")
	}
	if c.Note(1100*time.Millisecond, 0) || c.Note(1200*time.Millisecond, 500*time.Millisecond) {
		t.Error("what is hardly newer, or older, is told")
	}
	if !c.Note(2*time.Second, 0) {
		t.Error("a newer one is not told")
	}
	if !c.Renews(2*time.Second, 300*time.Millisecond) || c.Renews(2*time.Second, 100*time.Millisecond) {
		t.Error("what it is worth to another depends on the other's age")
	}
}

func TestTheNewestConfirmationCounts(t *testing.T) {
	var c Confirmation
	c.Note(3*time.Second, 0)
	c.Note(4*time.Second, 2*time.Second)
	if age := c.Age(5 * time.Second); age != 2*time.Second {
		t.Errorf("age %v, want 2 s", age)
	}
	c.Note(5*time.Second, 500*time.Millisecond)
	if age := c.Age(5 * time.Second); age != 500*time.Millisecond {
		t.Errorf("age %v, want 0.5 s", age)
	}
}
