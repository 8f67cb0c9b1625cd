package follow

import (
	"net/netip"
	"testing"
	"time"
)

const bound = 4 * time.Second

var (
	upstream = netip.MustParseAddrPort("10.0.0.1:80")
	freshest = netip.MustParseAddrPort("10.0.0.2:80")
)

// running is a follower some time after its start.
func running() *Follower {
	f := New(bound, 0)
	f.settled = true
	return f
}

// step makes one call and gives it an outcome; it checks the kind.
func step(t *testing.T, f *Follower, state State, want Kind, outcome Outcome) Contact {
	t.Helper()
	call := f.Next(state)
	if call.Kind != want {
		t.Fatalf("call %v, want %v", call.Kind, want)
	}
	return f.Done(state, call, outcome)
}

// later is the state when all pauses after failures are over.
func (s State) afterRetries() State {
	s.Now += time.Minute
	return s
}

func TestAStartListsAndThenWatches(t *testing.T) {
	f := New(bound, 0)
	list := f.Next(State{Upstream: upstream})
	if list.Kind != ListStore {
		t.Fatalf("call %v", list.Kind)
	}
	f.Done(State{Revision: 5}, list, Outcome{})
	step(t, f, State{Revision: 5}, Pause, Outcome{})
	step(t, f, State{Revision: 5}, WatchStore, Outcome{})
	step(t, f, State{Revision: 5}, WatchStore, Outcome{})
}

// TestChangesThatFollowEachOtherAreReadTogether, also those that concern no back end, and
// beliefs grow no older by it.
func TestChangesThatFollowEachOtherAreReadTogether(t *testing.T) {
	f := running()
	state := State{Revision: 5}
	calls, confirmed := 0, state.Now
	for state.Now < 10*time.Second {
		call := f.Next(state)
		switch call.Kind {
		case Pause:
			state.Now += call.Wait * 3 / 2
		case WatchStore:
			if age := state.Now + call.Wait - confirmed; age > bound/storeWaitDivisor+bound/storeWaitDivisor/4 {
				t.Fatalf("beliefs may be %v old", age)
			}
			calls++
			state.Now += 10 * time.Millisecond
			state.Revision++
			confirmed = state.Now
		}
		f.Done(state, call, Outcome{})
	}
	if calls > 25 {
		t.Errorf("the store is asked %d times in 10 s", calls)
	}
}

// TestPartsOfManyChangesFollowAtOnce: 10,000 servers whose entries lapsed and are back are 20,000 changes in 40
// parts, and a change of settings may stand behind them. It is known within half of the contact bound.
func TestPartsOfManyChangesFollowAtOnce(t *testing.T) {
	const part, answer = 500, 50 * time.Millisecond
	f := running()
	state := State{Now: time.Second, Revision: 5}
	begin, left := state.Now, 20_000
	for left > 0 {
		call := f.Next(state)
		outcome := Outcome{}
		if call.Kind == Pause {
			state.Now += call.Wait
		} else {
			outcome.Changes = min(part, left)
			left -= outcome.Changes
			state.Revision += uint64(outcome.Changes)
			state.Now += answer
		}
		f.Done(state, call, outcome)
	}
	if took := state.Now - begin; took > bound/2 {
		t.Errorf("all are known after %v", took)
	}
	last := f.Next(state)
	state.Revision++
	f.Done(state, last, Outcome{Changes: 1})
	step(t, f, state, Pause, Outcome{})
}

func TestAnUpstreamIsFollowedWhileItIsOfUse(t *testing.T) {
	f := running()
	state := State{Revision: 5, Upstream: upstream}
	step(t, f, state, AskPeer, Outcome{Age: time.Second})
	step(t, f, state, AskPeer, Outcome{Result: Failed})
	step(t, f, state, WatchStore, Outcome{})
	step(t, f, state, AskPeer, Outcome{Age: MaxPeerAge(bound) + 1})
	step(t, f, state, WatchStore, Outcome{})
}

// TestACallAtAnotherEndsBeforeItsWordIsTooOld, so that a source which falls silent costs no
// more than its age and one short wait.
func TestACallAtAnotherEndsBeforeItsWordIsTooOld(t *testing.T) {
	for _, test := range []struct{ age, wait time.Duration }{
		{0, MaxPeerAge(bound)},
		{MaxPeerAge(bound) - 400*time.Millisecond, 400 * time.Millisecond},
		{MaxPeerAge(bound), minPeerWait},
	} {
		call := New(bound, 0).Next(State{Revision: 5, Upstream: upstream, UpstreamAge: test.age})
		if call.Kind != AskPeer || call.Wait != test.wait || call.Timeout != test.wait+peerSlack {
			t.Errorf("age %v: %+v, want a wait of %v", test.age, call, test.wait)
		}
	}
}

func TestLostHistoryIsListedAnew(t *testing.T) {
	f := running()
	state := State{Revision: 5}
	step(t, f, state, WatchStore, Outcome{Result: HistoryLost})
	if contact := step(t, f, state, ListStore, Outcome{Result: Failed}); contact != Lost {
		t.Errorf("contact %v", contact)
	}
	step(t, f, state, Pause, Outcome{})
	if contact := step(t, f, state.afterRetries(), ListStore, Outcome{}); contact != Regained {
		t.Errorf("contact %v", contact)
	}
	step(t, f, state.afterRetries(), WatchStore, Outcome{})
}

func TestAFailureIsToldOnceAndPeersAreAsked(t *testing.T) {
	f := running()
	state := State{Revision: 5, Freshest: freshest}
	if contact := step(t, f, state, WatchStore, Outcome{Result: Failed}); contact != Lost {
		t.Errorf("contact %v", contact)
	}
	if call := f.Next(state); call.Kind != AskPeer || call.Peer != freshest || call.Wait != 0 {
		t.Errorf("call %+v", call)
	}
	f.Done(state, Call{Kind: AskPeer}, Outcome{Result: Failed})
	if asked := countStoreCalls(t, f, State{Revision: 5}, 10*maxRetry); asked < 10 || asked > 15 {
		t.Errorf("the store is asked %d times in %v", asked, 10*maxRetry)
	}
}

// retries lets all calls fail for a time and counts those to the store.
func countStoreCalls(t *testing.T, f *Follower, state State, length time.Duration) (asked int) {
	t.Helper()
	for end := state.Now + length; state.Now < end; {
		call := f.Next(state)
		if call.Kind == Pause {
			if call.Wait <= 0 || call.Wait > maxPause {
				t.Fatalf("call %+v", call)
			}
			state.Now += call.Wait
		} else {
			asked++
		}
		if contact := f.Done(state, call, Outcome{Result: Failed}); contact != Unchanged {
			t.Errorf("contact %v", contact)
		}
	}
	return asked
}

// TestInAnOutageFewAskTheStore: those that others come before by rank ask seldom, and hear
// from those at once.
func TestInAnOutageFewAskTheStore(t *testing.T) {
	f := running()
	state := State{Revision: 5, Backup: true}
	step(t, f, state, WatchStore, Outcome{Result: Failed})
	if asked := countStoreCalls(t, f, state, 10*maxRetry); asked > 3 {
		t.Errorf("the store is asked %d times in %v", asked, 10*maxRetry)
	}
	f = running()
	step(t, f, state, WatchStore, Outcome{Result: Failed})
	step(t, f, state, Pause, Outcome{})
	state.Upstream = upstream
	if contact := step(t, f, state, AskPeer, Outcome{}); contact != Regained {
		t.Errorf("through another balancer: %v", contact)
	}
}

// TestADeadConnectionIsFoundOutInTime: from any moment at which the store answers
// again, changes are known well within the bounds, also when a call or a peer hangs.
func TestADeadConnectionIsFoundOutInTime(t *testing.T) {
	for _, spare := range []bool{false, true} {
		f := running()
		state := State{Revision: 5, Backup: spare}
		watch := f.Next(state)
		f.Done(state, watch, Outcome{Result: Failed})
		if total := watch.Timeout + f.storeAfter - state.Now + PageTimeout/2; total > bound*3/4 {
			t.Errorf("%v until changes are known, others come before: %v", total, spare)
		}
	}
	for age := time.Duration(0); age <= MaxPeerAge(bound); age += MaxPeerAge(bound) / 16 {
		ask := running().Next(State{Revision: 5, Upstream: upstream, UpstreamAge: age})
		if total := age + ask.Timeout; total > bound/2 {
			t.Errorf("what is believed is %v old when a peer that hangs is given up", total)
		}
	}
}

// TestABalancerThatIsBehindAsksAnother instead of waiting for its own source.
func TestABalancerThatIsBehindAsksAnother(t *testing.T) {
	f := running()
	state := State{Revision: 5, Freshest: freshest}
	if contact := step(t, f, state, WatchStore, Outcome{Result: Overtaken}); contact != Unchanged {
		t.Errorf("contact %v", contact)
	}
	if call := f.Next(state); call.Kind != AskPeer || call.Peer != freshest {
		t.Errorf("call %+v", call)
	}
}

func TestLagNeedsTime(t *testing.T) {
	var lag Lag
	for _, moment := range []struct {
		at        time.Duration
		own, told uint64
		want      bool
	}{
		{0, 5, 5, false},
		{100 * time.Millisecond, 5, 6, false},
		{300 * time.Millisecond, 5, 6, false},
		{400 * time.Millisecond, 5, 5, false},
		{600 * time.Millisecond, 5, 7, true},
		{700 * time.Millisecond, 7, 8, false},
		{800 * time.Millisecond, 8, 8, false},
		{1500 * time.Millisecond, 8, 9, false},
	} {
		if got := lag.Note(moment.at, moment.own, moment.told); got != moment.want {
			t.Errorf("at %v: %v", moment.at, got)
		}
	}
}

// TestABalancerThatIsBehindLetsCallsEnd: hellos of others that know more come many
// times a second, and the transfer that would bring it needs time.
func TestABalancerThatIsBehindLetsCallsEnd(t *testing.T) {
	var lag Lag
	ended := 0
	longest, last := time.Duration(0), time.Duration(0)
	for now := time.Duration(0); now < 7*time.Second; now += 20 * time.Millisecond {
		if lag.Note(now, 5, 9) {
			ended++
			longest, last = max(longest, now-last), now
		}
	}
	if ended > 4 || longest < 2*time.Second {
		t.Errorf("%d calls were ended in 7 s, the longest had %v", ended, longest)
	}
	if lag.Note(7*time.Second, 9, 10) || !lag.Note(7*time.Second+initialLagTimeout, 9, 10) {
		t.Error("after progress the patience is short again")
	}
}

// TestContactIsRegainedThroughAPeerToo: one whose beliefs the store has confirmed lately.
func TestContactIsRegainedThroughAPeerToo(t *testing.T) {
	f := running()
	state := State{Revision: 5, Upstream: upstream}
	step(t, f, State{Revision: 5}, WatchStore, Outcome{Result: Failed})
	step(t, f, State{Revision: 5}, Pause, Outcome{})
	if contact := step(t, f, state, AskPeer, Outcome{Age: 2 * MaxPeerAge(bound)}); contact != Unchanged {
		t.Errorf("through a stale peer: %v", contact)
	}
	step(t, f, state.afterRetries(), WatchStore, Outcome{Result: Failed})
	if contact := step(t, f, state.afterRetries(), AskPeer, Outcome{}); contact != Regained {
		t.Errorf("through a fresh peer: %v", contact)
	}
}

// TestANarrowLinkLeavesTheStoreToOthersFirst, once, and only while nothing is known.
func TestANarrowLinkLeavesTheStoreToOthersFirst(t *testing.T) {
	for _, test := range []struct {
		linkMbps   float64
		firstStart bool
		want       time.Duration
	}{{0, false, 0}, {200, false, 0}, {200, true, 0}, {10, false, narrowLinkDelay}, {10, true, fleetStartDelay}} {
		if got := StartPause(test.linkMbps, test.firstStart); got != test.want {
			t.Errorf("%+v: %v", test, got)
		}
	}
	f := New(bound, narrowLinkDelay)
	step(t, f, State{}, Pause, Outcome{})
	step(t, f, State{}, ListStore, Outcome{})
	told := New(bound, narrowLinkDelay)
	if call := told.Next(State{Revision: 7}); call.Kind != Pause || call.Wait != bound/batchDivisor {
		t.Errorf("one that others told: %+v", call)
	}
	step(t, told, State{Revision: 7}, WatchStore, Outcome{})
}

// TestOneThatOthersToldLooksForASourceFirst: when a fleet starts, most have learned from others
// before they know whom to follow.
func TestOneThatOthersToldLooksForASourceFirst(t *testing.T) {
	f := New(bound, 0)
	step(t, f, State{Revision: 7}, Pause, Outcome{})
	step(t, f, State{Revision: 7, Upstream: upstream}, AskPeer, Outcome{})
	followed := New(bound, 0)
	step(t, followed, State{Revision: 7, Upstream: upstream}, AskPeer, Outcome{})
	step(t, followed, State{Revision: 7}, WatchStore, Outcome{})
}

// outage is a state in which the source's word is old, at a balancer that index others of its zone
// come before.
func outageState(index, failing int) State {
	return State{Now: time.Minute, Revision: 5, Backup: true, ZoneRank: index, FailingPeers: failing}
}

// asksAfter returns how long after its source's word is old a balancer asks the store, a minute
// if it does not.
func storeTakeoverAfter(f *Follower, state State) time.Duration {
	for begin := state.Now; state.Now < begin+time.Minute; {
		call := f.Next(state)
		if call.Kind == WatchStore {
			return state.Now - begin
		}
		state.Now += call.Wait * 3 / 2
		f.Done(state, call, Outcome{})
	}
	return time.Minute
}

// TestTheFirstByRankAskInPlaceOfOthers, one after the other, and all within the bounds of drain
// and configuration unless several say that the store does not answer them either.
func TestTheFirstByRankAskInPlaceOfOthers(t *testing.T) {
	last := time.Duration(-1)
	for index := range primaryPollers {
		after := storeTakeoverAfter(running(), outageState(index, minFailingPeers))
		if after <= last || after > primaryPollers*takeoverStep*3/2 {
			t.Errorf("the one at %d asks after %v, the one before after %v", index, after, last)
		}
		last = after
	}
	rest := storeTakeoverAfter(running(), outageState(primaryPollers, minFailingPeers-1))
	if rest <= last || MaxPeerAge(bound)+peerSlack+rest > bound*3/4 {
		t.Errorf("another one asks after %v, the first ones up to %v", rest, last)
	}
	if rest := storeTakeoverAfter(running(), outageState(primaryPollers, minFailingPeers)); rest < outageRetry || rest > 2*outageRetry {
		t.Errorf("in an outage another one asks after %v", rest)
	}
	f := running()
	f.disconnected = true
	if asked := countStoreCalls(t, f, outageState(primaryPollers, minFailingPeers), 3*outageRetry); asked > 3 {
		t.Errorf("and %d times in %v", asked, 3*outageRetry)
	}
}

// TestOneThatOthersLeanOnGoesOn: it asks without a pause while it is answered.
func TestOneThatOthersLeanOnGoesOn(t *testing.T) {
	f := running()
	state := outageState(5, 0)
	step(t, f, state, Pause, Outcome{})
	state.Now += time.Second
	for range 5 {
		step(t, f, state, WatchStore, Outcome{})
		state.Now += bound / storeWaitDivisor
	}
	state.Upstream = upstream
	step(t, f, state, AskPeer, Outcome{})
}

// TestWhoKnowsMoreIsAskedMeanwhile: while the store is left to others, and also long after.
func TestWhoKnowsMoreIsAskedMeanwhile(t *testing.T) {
	f := running()
	state := outageState(primaryPollers, minFailingPeers)
	for range 10 {
		step(t, f, state, Pause, Outcome{})
		state.Now += maxPause
	}
	state.Freshest = freshest
	if call := f.Next(state); call.Kind != AskPeer || call.Peer != freshest {
		t.Errorf("call %+v", call)
	}
}

// TestALongListingIsLeftToOthersOnce by a balancer behind a narrow link that knows nothing yet.
func TestALongListingIsLeftToOthersOnce(t *testing.T) {
	f := New(bound, narrowLinkDelay)
	step(t, f, State{}, Pause, Outcome{})
	call := f.Next(State{})
	if call.Kind != ListStore || call.Transfer != LongTransfer {
		t.Fatalf("the first listing: %+v", call)
	}
	f.Done(State{}, call, Outcome{Result: TooLong})
	if call = f.Next(State{}); call.Kind != Pause || call.Wait != longListingDelay {
		t.Errorf("after a long one: %+v", call)
	}
	if call = f.Next(State{}); call.Kind != ListStore || call.Transfer != 0 {
		t.Errorf("the second listing: %+v", call)
	}
	for _, pause := range []time.Duration{0, fleetStartDelay} {
		wide := New(bound, pause)
		wide.Next(State{})
		if call := wide.Next(State{}); call.Transfer != 0 {
			t.Errorf("a balancer that waits for %v: %+v", pause, call)
		}
	}
}

// listsAfter returns how long after its start a balancer that nobody tells anything lists the store.
func listsAfter(f *Follower, state State) time.Duration {
	for state.Now < time.Minute {
		call := f.Next(state)
		if call.Kind == ListStore {
			return state.Now
		}
		state.Now += call.Wait
	}
	return time.Minute
}

// TestAStartLeavesTheStoreToTheAble, and to the first by rank where all are alike, for a bounded time.
func TestAStartLeavesTheStoreToTheAble(t *testing.T) {
	for _, test := range []struct {
		name       string
		state      State
		startPause time.Duration
		from, to   time.Duration
	}{
		{"an able one", State{}, 0, 0, 0},
		{"the first of a large zone", State{ZoneSize: minLargeZone}, 0, 0, 0},
		{"another one of a small zone", State{Backup: true, ZoneSize: minLargeZone - 1}, 0, 0, 0},
		{"another one of a large zone", State{Backup: true, ZoneSize: minLargeZone}, 0, maxDeferral, maxDeferral + startPollInterval},
		{"one that knows an able one", State{Backup: true, MoreCapable: true}, narrowLinkDelay, maxDeferral, maxDeferral + startPollInterval},
		{"one behind a narrow link that knows nobody", State{Alone: true}, narrowLinkDelay, peerDiscoveryTime, peerDiscoveryTime + startPollInterval},
		{"one behind a wide link that knows nobody", State{Alone: true}, 0, 0, 0},
	} {
		if after := listsAfter(New(bound, test.startPause), test.state); after < test.from || after > test.to {
			t.Errorf("%s lists after %v, want %v to %v", test.name, after, test.from, test.to)
		}
	}
	if restart := New(bound, 0).Next(State{Revision: 5, MoreCapable: true, Upstream: upstream}); restart.Kind != AskPeer {
		t.Errorf("one that was told: %+v", restart)
	}
}
