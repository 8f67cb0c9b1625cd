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
