package follow

import (
	"testing"
	"time"
)

func TestAFirstListingWaitsForOthersOnceAndIsLeftWhenTheyTell(t *testing.T) {
	l := NewListing(time.Second, 0)
	if step := l.Next(time.Second, 0, true, 0); step != WaitForOthers {
		t.Errorf("beside a balancer of lower rank: %v", step)
	}
	if step := l.Next(time.Second+ListPoll, 7, true, 0); step != LeaveListing {
		t.Errorf("when that one has told: %v", step)
	}
	l = NewListing(time.Second, 0)
	if step := l.Next(time.Second, 0, false, 0); step != ReadOn {
		t.Errorf("beside nobody: %v", step)
	}
	if step := l.Next(time.Second+ListPoll, 0, true, 0); step != ReadOn {
		t.Errorf("after the first page: %v", step)
	}
	l = NewListing(time.Second, 0)
	if step := l.Next(time.Second+primaryListWait, 0, true, 0); step != ReadOn {
		t.Errorf("when its patience is over: %v", step)
	}
}

// TestAListingAnewIsLeftOnlyForWhatCameSince it began: it was begun because what was known
// before cannot be continued.
func TestAListingAnewIsLeftOnlyForWhatCameSince(t *testing.T) {
	l := NewListing(time.Second, 49)
	for page := range 5 {
		if step := l.Next(time.Second+time.Duration(page)*ListPoll, 49, true, 0); step != ReadOn {
			t.Errorf("page %d: %v", page, step)
		}
	}
	if step := l.Next(2*time.Second, 50, true, 0); step != LeaveListing {
		t.Errorf("when others told more: %v", step)
	}
}

// TestAPageIsAskedForAgain a few times in a row, unless it is the first.
func TestAPageIsAskedForAgain(t *testing.T) {
	l := NewListing(time.Second, 0)
	if _, again := l.Failed(time.Millisecond); again {
		t.Error("a first page is asked for again")
	}
	for range 3 {
		l.Next(time.Second, 0, false, 0)
		var waited []time.Duration
		for wait, again := l.Failed(time.Millisecond); again; wait, again = l.Failed(time.Millisecond) {
			waited = append(waited, wait)
		}
		if len(waited) != pageRetries || waited[0] != minRetry || waited[pageRetries-1] != maxRetry {
			t.Errorf("a page is asked for again after %v", waited)
		}
	}
	l.Next(time.Second, 0, false, 0)
	if _, again := l.Failed(PageTimeout); again {
		t.Error("a silent store is asked again")
	}
}

// TestAllButTheFirstByRankWaitLonger for a large listing: those few share the store's link while they read on.
func TestAllButTheFirstByRankWaitLonger(t *testing.T) {
	for _, test := range []struct {
		index int
		after time.Duration
		want  ListingStep
	}{
		{primaryPollers - 1, primaryListWait, ReadOn},
		{primaryPollers, primaryListWait, WaitForOthers},
		{primaryPollers, backupListWait, ReadOn},
	} {
		l := NewListing(time.Second, 0)
		if step := l.Next(time.Second+test.after, 0, true, test.index); step != test.want {
			t.Errorf("%+v: step %v", test, step)
		}
	}
}
