package follow

import (
	"testing"
	"time"
)

// TestFirstListingWaitsForPeers once, and is abandoned when a peer has sent the state.
func TestFirstListingWaitsForPeers(t *testing.T) {
	l := NewListing(time.Second, 0)
	if step := l.Next(time.Second, 0, true, 0); step != WaitForPeers {
		t.Errorf("with a balancer of lower rank: %v", step)
	}
	if step := l.Next(time.Second+ListPoll, 7, true, 0); step != AbandonListing {
		t.Errorf("after that balancer has sent the state: %v", step)
	}
	l = NewListing(time.Second, 0)
	if step := l.Next(time.Second, 0, false, 0); step != NextPage {
		t.Errorf("without another balancer: %v", step)
	}
	if step := l.Next(time.Second+ListPoll, 0, true, 0); step != NextPage {
		t.Errorf("after the first page: %v", step)
	}
	l = NewListing(time.Second, 0)
	if step := l.Next(time.Second+primaryListWait, 0, true, 0); step != NextPage {
		t.Errorf("after the wait: %v", step)
	}
}

// TestRepeatedListingIsAbandonedForNewerRevision: a listing after lost history is not abandoned for
// the revision that was known when it began.
func TestRepeatedListingIsAbandonedForNewerRevision(t *testing.T) {
	l := NewListing(time.Second, 49)
	for page := range 5 {
		if step := l.Next(time.Second+time.Duration(page)*ListPoll, 49, true, 0); step != NextPage {
			t.Errorf("page %d: %v", page, step)
		}
	}
	if step := l.Next(2*time.Second, 50, true, 0); step != AbandonListing {
		t.Errorf("after a newer revision was received: %v", step)
	}
}

// TestPageIsRetried a few times in a row, unless it is the first or the store did not respond.
func TestPageIsRetried(t *testing.T) {
	l := NewListing(time.Second, 0)
	if _, retry := l.Failed(time.Millisecond); retry {
		t.Error("a first page is retried")
	}
	for range 3 {
		l.Next(time.Second, 0, false, 0)
		var waited []time.Duration
		for wait, retry := l.Failed(time.Millisecond); retry; wait, retry = l.Failed(time.Millisecond) {
			waited = append(waited, wait)
		}
		if len(waited) != pageRetries || waited[0] != minRetry || waited[pageRetries-1] != maxRetry {
			t.Errorf("a page is retried after %v", waited)
		}
	}
	l.Next(time.Second, 0, false, 0)
	if _, retry := l.Failed(PageTimeout); retry {
		t.Error("a page is retried after a timeout")
	}
}

// TestBackupsWaitLonger for a large listing than the primary pollers, which share the store's link.
func TestBackupsWaitLonger(t *testing.T) {
	for _, test := range []struct {
		zoneRank int
		after    time.Duration
		want     ListingStep
	}{
		{primaryPollers - 1, primaryListWait, NextPage},
		{primaryPollers, primaryListWait, WaitForPeers},
		{primaryPollers, backupListWait, NextPage},
	} {
		l := NewListing(time.Second, 0)
		if step := l.Next(time.Second+test.after, 0, true, test.zoneRank); step != test.want {
			t.Errorf("%+v: step %v", test, step)
		}
	}
}
