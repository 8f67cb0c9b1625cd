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

// running returns a follower as it is some time after its start.
func running() *Follower {
	f := New(bound, 0)
	f.settled = true
	return f
}

// step makes one call with an outcome, and checks its kind.
func step(t *testing.T, f *Follower, state State, want Kind, outcome Outcome) Contact {
	t.Helper()
	call := f.Next(state)
	if call.Kind != want {
		t.Fatalf("call %v, want %v", call.Kind, want)
	}
	return f.Done(state, call, outcome)
}

// afterRetries returns the state after all delays that follow failures.
func (s State) afterRetries() State {
	s.Now += time.Minute
	return s
}

func TestStartListsThenWatches(t *testing.T) {
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

// TestConsecutiveChangesAreReadTogether, and the state becomes no staler by that.
func TestConsecutiveChangesAreReadTogether(t *testing.T) {
	f := running()
	state := State{Revision: 5}
	calls, confirmed := 0, state.Now
	for state.Now < 10*time.Second {
		call := f.Next(state)
		switch call.Kind {
		case Pause:
			state.Now += call.Wait * 3 / 2
		case WatchStore:
			if age := state.Now + call.Wait - confirmed; age > bound*5/16 {
				t.Fatalf("the state may be %v old", age)
			}
			calls++
			confirmed = FromStore(state.Now)
			state.Now += 10 * time.Millisecond
			state.Revision++
		}
		state.Staleness = state.Now - confirmed
		f.Done(state, call, Outcome{})
	}
	if calls > 25 {
		t.Errorf("%d requests to the store in 10 s, want at most 25", calls)
	}
}

// TestPartialResponsesAreReadAtOnce: 20,000 changes, of 10,000 servers whose entries expire and are written again,
// and a change of settings behind them must be known within half of the contact bound.
func TestPartialResponsesAreReadAtOnce(t *testing.T) {
	const part, responseTime = 500, 50 * time.Millisecond
	f := running()
	state := State{Now: time.Second, Revision: 5}
	begin, remaining := state.Now, 20_000
	for remaining > 0 {
		call := f.Next(state)
		outcome := Outcome{}
		if call.Kind == Pause {
			state.Now += call.Wait
		} else {
			outcome.Changes = min(part, remaining)
			remaining -= outcome.Changes
			state.Revision += uint64(outcome.Changes)
			state.Now += responseTime
		}
		f.Done(state, call, outcome)
	}
	if took := state.Now - begin; took > bound/2 {
		t.Errorf("all changes are known after %v", took)
	}
	last := f.Next(state)
	state.Revision++
	f.Done(state, last, Outcome{Changes: 1})
	step(t, f, state, Pause, Outcome{})
}

// TestUpstreamIsFollowed while it responds with a fresh state.
func TestUpstreamIsFollowed(t *testing.T) {
	f := running()
	state := State{Revision: 5, Upstream: upstream}
	state.Staleness = time.Second
	step(t, f, state, QueryPeer, Outcome{})
	step(t, f, state, QueryPeer, Outcome{Result: Failed})
	step(t, f, state, WatchStore, Outcome{})
	state.Staleness = MaxPeerStaleness(bound) + 1
	step(t, f, state, QueryPeer, Outcome{})
	step(t, f, state, WatchStore, Outcome{})
}

// TestPeerCallEndsBeforeStateIsStale, so that the state is hardly staler when an upstream stops responding. The
// own state counts as well, since the upstream's hello may have been read late.
func TestPeerCallEndsBeforeStateIsStale(t *testing.T) {
	for _, test := range []struct{ staleness, wait time.Duration }{
		{0, MaxPeerStaleness(bound)},
		{MaxPeerStaleness(bound) - 400*time.Millisecond, 400 * time.Millisecond},
		{MaxPeerStaleness(bound), minPeerWait},
	} {
		for _, state := range []State{
			{Revision: 5, Upstream: upstream, UpstreamStaleness: test.staleness},
			{Revision: 5, Upstream: upstream, Staleness: test.staleness},
			{Revision: 5, Upstream: upstream, Staleness: test.staleness, UpstreamStaleness: test.staleness / 2},
		} {
			call := New(bound, 0).Next(state)
			if call.Kind != QueryPeer || call.Wait != test.wait || call.Timeout != test.wait+peerSlack {
				t.Errorf("%+v: %+v, want a wait of %v", state, call, test.wait)
			}
		}
	}
}

// TestCatchUpDoesNotDelayStore: a balancer with a newer revision may be silent, and the store still responds.
func TestCatchUpDoesNotDelayStore(t *testing.T) {
	for _, test := range []struct {
		staleness    time.Duration
		disconnected bool
		timeout      time.Duration
	}{
		{0, false, maxCatchUpTime},
		{MaxPeerStaleness(bound) - 400*time.Millisecond, false, 400*time.Millisecond + peerSlack},
		{time.Minute, false, minPeerWait + peerSlack},
		{time.Minute, true, maxCatchUpTime},
	} {
		f := running()
		f.catchUp, f.disconnected = true, test.disconnected
		call := f.Next(State{Revision: 5, Freshest: freshest, Staleness: test.staleness})
		if call.Kind != QueryPeer || call.Peer != freshest || call.Timeout != test.timeout {
			t.Errorf("%+v: %+v", test, call)
		}
	}
}

// TestStoreIsWatchedBeforeStateIsStale: followers of a balancer that watches the store must find its state fresh, whatever
// delays the answers and whenever there are changes, and the store must not be polled for that.
func TestStoreIsWatchedBeforeStateIsStale(t *testing.T) {
	const everyThird = 3
	for _, responseTime := range []time.Duration{0, 10 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond} {
		// changeAt is the part of the wait after which there is a change, 0 for no changes.
		for _, changeAt := range []float64{0, 0.01, 0.3, 0.6, 0.9, 1} {
			f := running()
			state, confirmedAt := State{Now: time.Minute, Revision: 5}, time.Minute
			calls := 0
			for state.Now < 2*time.Minute {
				call := f.Next(state)
				if call.Kind == Pause {
					// The driver varies pauses by half.
					state.Now += call.Wait * 3 / 2
					state.Staleness = state.Now - confirmedAt
					f.Done(state, call, Outcome{})
					continue
				}
				calls++
				changed := changeAt > 0 && calls%everyThird == 0
				requestedAt, took := state.Now, call.Wait
				if changed {
					took = time.Duration(changeAt * float64(call.Wait))
					state.Revision++
				}
				state.Now += took + responseTime
				if age := state.Now - confirmedAt; age > MaxPeerStaleness(bound) {
					t.Fatalf("responses take %v, a change after %v of the wait: the state is %v old", responseTime, changeAt, age)
				}
				confirmedAt = FromWatch(requestedAt, state.Now, call.Wait, changed)
				state.Staleness = state.Now - confirmedAt
				f.Done(state, call, Outcome{})
			}
			if most := int(time.Minute/f.longestWatch()) + 1; changeAt == 0 && responseTime < 100*time.Millisecond && calls > most {
				t.Errorf("responses take %v: %d requests in a minute, want at most %d", responseTime, calls, most)
			}
		}
	}
}

// TestFollowersStayThroughOneUnansweredWatch guards against a fleet that polls the store at once since one watch of the
// balancer that it follows was not answered: the repeated request must confirm the state before that.
func TestFollowersStayThroughOneUnansweredWatch(t *testing.T) {
	for _, contactBound := range []time.Duration{4 * time.Second, 5 * time.Second, 6 * time.Second, 8 * time.Second} {
		f := New(contactBound, 0)
		f.settled = true
		const responseTime = 20 * time.Millisecond
		state, confirmedAt := State{Now: time.Minute, Revision: 5}, time.Minute
		for i := range 20 {
			call := f.Next(state)
			if call.Kind == Pause {
				// The driver varies pauses by half.
				state.Now += call.Wait * 3 / 2
				state.Staleness = state.Now - confirmedAt
				f.Done(state, call, Outcome{})
				continue
			}
			requestedAt, outcome := state.Now, Outcome{}
			if i == 10 {
				state.Now += call.Timeout
				outcome.Result = Failed
			} else {
				state.Now += call.Wait + responseTime
				if f.disconnected {
					// There were changes meanwhile.
					state.Now = requestedAt + responseTime
				}
				if age := state.Now - confirmedAt; age > MaxPeerStaleness(contactBound) {
					t.Errorf("contact bound %v, call %d: the state is %v old", contactBound, i, age)
				}
				confirmedAt = FromWatch(requestedAt, state.Now, call.Wait, false)
			}
			state.Staleness = state.Now - confirmedAt
			f.Done(state, call, outcome)
		}
	}
}

// TestWatchAnswerIsDatedByItsRequest, and one without changes by the end of its wait if that can have been its time.
func TestWatchAnswerIsDatedByItsRequest(t *testing.T) {
	const sentAt, wait = 10 * time.Second, 900 * time.Millisecond
	for _, test := range []struct {
		readAt  time.Duration
		changed bool
		want    time.Duration
	}{
		{sentAt + wait + 5*time.Millisecond, false, sentAt + wait},
		{sentAt + 5*time.Second, false, sentAt + wait},
		{sentAt + wait - time.Millisecond, false, sentAt},
		{sentAt + 300*time.Millisecond, true, sentAt},
		{sentAt + wait + 5*time.Millisecond, true, sentAt},
		{sentAt + 5*time.Second, true, sentAt},
	} {
		if got := FromWatch(sentAt, test.readAt, wait, test.changed); got != test.want {
			t.Errorf("%+v: %v", test, got)
		}
	}
}

// TestPeerAnswerIsDatedByItsRequest: neither a pause of the peer after it built an answer nor one of this process before it
// read the answer makes the state look fresher. The time for which the peer held the request does not count.
func TestPeerAnswerIsDatedByItsRequest(t *testing.T) {
	const sentAt, held, staleness, readAt = 10 * time.Second, 900 * time.Millisecond, 300 * time.Millisecond, 13 * time.Second
	var c Confirmation
	c.Update(FromPeer(sentAt, held, staleness))
	if got, want := c.Staleness(readAt), readAt-sentAt-held+staleness; got != want {
		t.Errorf("staleness %v, want %v", got, want)
	}
}

func TestLostHistoryIsListed(t *testing.T) {
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

// TestFailureIsReportedOnce, and peers are queried until the store responds.
func TestFailureIsReportedOnce(t *testing.T) {
	f := running()
	state := State{Revision: 5, Freshest: freshest}
	if contact := step(t, f, state, WatchStore, Outcome{Result: Failed}); contact != Lost {
		t.Errorf("contact %v", contact)
	}
	if call := f.Next(state); call.Kind != QueryPeer || call.Peer != freshest || call.Wait != 0 {
		t.Errorf("call %+v", call)
	}
	f.Done(state, Call{Kind: QueryPeer}, Outcome{Result: Failed})
	if calls := countStoreCalls(t, f, State{Revision: 5}, 10*maxRetry); calls < 10 || calls > 15 {
		t.Errorf("%d requests to the store in %v, want 10 to 15", calls, 10*maxRetry)
	}
}

// countStoreCalls lets all calls fail for a time and counts those to the store.
func countStoreCalls(t *testing.T, f *Follower, state State, length time.Duration) (calls int) {
	t.Helper()
	for end := state.Now + length; state.Now < end; {
		call := f.Next(state)
		if call.Kind == Pause {
			if call.Wait <= 0 || call.Wait > maxPause {
				t.Fatalf("call %+v", call)
			}
			state.Now += call.Wait
		} else {
			calls++
		}
		if contact := f.Done(state, call, Outcome{Result: Failed}); contact != Unchanged {
			t.Errorf("contact %v", contact)
		}
	}
	return calls
}

// TestBackupsPollRarelyInOutage, and regain contact at once through a balancer of lower rank.
func TestBackupsPollRarelyInOutage(t *testing.T) {
	f := running()
	state := State{Revision: 5, Backup: true}
	step(t, f, state, WatchStore, Outcome{Result: Failed})
	if calls := countStoreCalls(t, f, state, 10*maxRetry); calls > 3 {
		t.Errorf("%d requests to the store in %v, want at most 3", calls, 10*maxRetry)
	}
	f = running()
	step(t, f, state, WatchStore, Outcome{Result: Failed})
	step(t, f, state, Pause, Outcome{})
	state.Upstream = upstream
	if contact := step(t, f, state, QueryPeer, Outcome{}); contact != Regained {
		t.Errorf("through another balancer: contact %v", contact)
	}
}

// TestHangingCallIsDetectedInTime: changes are known within the bounds even if a call to the store or to a
// peer hangs.
func TestHangingCallIsDetectedInTime(t *testing.T) {
	for _, backup := range []bool{false, true} {
		f := running()
		state := State{Revision: 5, Backup: backup}
		watch := f.Next(state)
		f.Done(state, watch, Outcome{Result: Failed})
		if total := watch.Timeout + f.storeAfter - state.Now + PageTimeout/2; total > bound*3/4 {
			t.Errorf("%v until changes are known, backup %v", total, backup)
		}
	}
	for age := time.Duration(0); age <= MaxPeerStaleness(bound); age += MaxPeerStaleness(bound) / 16 {
		for _, state := range []State{{Revision: 5, Upstream: upstream, UpstreamStaleness: age}, {Revision: 5, Upstream: upstream, Staleness: age}} {
			query := running().Next(state)
			if total := age + query.Timeout; total > bound/2 {
				t.Errorf("the state is %v old when a call to a peer that hangs times out", total)
			}
		}
	}
}

// TestLaggingBalancerQueriesFreshest instead of waiting for its own upstream.
func TestLaggingBalancerQueriesFreshest(t *testing.T) {
	f := running()
	state := State{Revision: 5, Freshest: freshest}
	if contact := step(t, f, state, WatchStore, Outcome{Result: Superseded}); contact != Unchanged {
		t.Errorf("contact %v", contact)
	}
	if call := f.Next(state); call.Kind != QueryPeer || call.Peer != freshest {
		t.Errorf("call %+v", call)
	}
}

// TestLagNeedsTime: a call is aborted only after others were ahead for some time without a break.
func TestLagNeedsTime(t *testing.T) {
	var lag Lag
	for _, moment := range []struct {
		at            time.Duration
		own, reported uint64
		want          bool
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
		if got := lag.Observe(moment.at, moment.own, moment.reported); got != moment.want {
			t.Errorf("at %v: %v", moment.at, got)
		}
	}
}

// TestLaggingBalancerAllowsTransfers: others that are ahead report it many times a second, and a long
// transfer of the update must not be aborted each time.
func TestLaggingBalancerAllowsTransfers(t *testing.T) {
	var lag Lag
	aborted := 0
	longest, last := time.Duration(0), time.Duration(0)
	for now := time.Duration(0); now < 7*time.Second; now += 20 * time.Millisecond {
		if lag.Observe(now, 5, 9) {
			aborted++
			longest, last = max(longest, now-last), now
		}
	}
	if aborted > 4 || longest < 2*time.Second {
		t.Errorf("%d calls were aborted in 7 s, the longest after %v", aborted, longest)
	}
	if lag.Observe(7*time.Second, 9, 10) || !lag.Observe(7*time.Second+initialLagTimeout, 9, 10) {
		t.Error("the timeout is not reset after progress")
	}
}

// TestContactIsRegainedThroughFreshPeer, but not through one with a stale state.
func TestContactIsRegainedThroughFreshPeer(t *testing.T) {
	f := running()
	state := State{Revision: 5, Upstream: upstream}
	step(t, f, State{Revision: 5}, WatchStore, Outcome{Result: Failed})
	step(t, f, State{Revision: 5}, Pause, Outcome{})
	state.Staleness = 2 * MaxPeerStaleness(bound)
	if contact := step(t, f, state, QueryPeer, Outcome{}); contact != Unchanged {
		t.Errorf("through a stale peer: %v", contact)
	}
	state.Staleness = 0
	step(t, f, state.afterRetries(), WatchStore, Outcome{Result: Failed})
	if contact := step(t, f, state.afterRetries(), QueryPeer, Outcome{}); contact != Regained {
		t.Errorf("through a fresh peer: %v", contact)
	}
}

// TestNarrowLinkDelaysFirstListing once, and only without state.
func TestNarrowLinkDelaysFirstListing(t *testing.T) {
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
	synced := New(bound, narrowLinkDelay)
	if call := synced.Next(State{Revision: 7}); call.Kind != Pause || call.Wait != bound/batchDivisor {
		t.Errorf("with state received from a peer: %+v", call)
	}
	step(t, synced, State{Revision: 7}, WatchStore, Outcome{})
}

// TestDiscoversUpstreamBeforePolling: when a fleet starts, most balancers receive the state from a peer before
// they know whom to follow, and must not poll the store at once.
func TestDiscoversUpstreamBeforePolling(t *testing.T) {
	f := New(bound, 0)
	step(t, f, State{Revision: 7}, Pause, Outcome{})
	step(t, f, State{Revision: 7, Upstream: upstream}, QueryPeer, Outcome{})
	followed := New(bound, 0)
	step(t, followed, State{Revision: 7, Upstream: upstream}, QueryPeer, Outcome{})
	step(t, followed, State{Revision: 7}, WatchStore, Outcome{})
}

// outageState is the state of a balancer whose upstream is stale.
func outageState(zoneRank, peersWithoutStore int) State {
	return State{Now: time.Minute, Revision: 5, Backup: true, ZoneRank: zoneRank, PeersWithoutStore: peersWithoutStore}
}

// storeTakeoverAfter returns how long after its upstream is stale a balancer polls the store, a minute if it
// does not.
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

// TestTakeoverByRank: primaries poll the store one after the other, and backups within the bounds of drain and
// configuration, unless several peers report that the store does not respond.
func TestTakeoverByRank(t *testing.T) {
	last := time.Duration(-1)
	for rank := range primaryPollers {
		after := storeTakeoverAfter(running(), outageState(rank, minPeersWithoutStore))
		if after <= last || after > primaryPollers*takeoverStep*3/2 {
			t.Errorf("rank %d polls after %v, the one before after %v", rank, after, last)
		}
		last = after
	}
	backup := storeTakeoverAfter(running(), outageState(primaryPollers, minPeersWithoutStore-1))
	if backup <= last || MaxPeerStaleness(bound)+peerSlack+backup > bound*3/4 {
		t.Errorf("a backup polls after %v, the last primary after %v", backup, last)
	}
	if backup := storeTakeoverAfter(running(), outageState(primaryPollers, minPeersWithoutStore)); backup < outageRetry || backup > 2*outageRetry {
		t.Errorf("in an outage a backup polls after %v", backup)
	}
	f := running()
	f.disconnected = true
	if calls := countStoreCalls(t, f, outageState(primaryPollers, minPeersWithoutStore), 3*outageRetry); calls > 3 {
		t.Errorf("in an outage a backup polls %d times in %v", calls, 3*outageRetry)
	}
}

// TestPollerContinues without a pause while the store responds to it.
func TestPollerContinues(t *testing.T) {
	f := running()
	state := outageState(5, 0)
	step(t, f, state, Pause, Outcome{})
	state.Now += time.Second
	for range 5 {
		step(t, f, state, WatchStore, Outcome{})
		state.Now += bound / 4
	}
	state.Upstream = upstream
	step(t, f, state, QueryPeer, Outcome{})
}

// TestFreshestIsQueriedMeanwhile: while the store is left to others, also after a long time.
func TestFreshestIsQueriedMeanwhile(t *testing.T) {
	f := running()
	state := outageState(primaryPollers, minPeersWithoutStore)
	for range 10 {
		step(t, f, state, Pause, Outcome{})
		state.Now += maxPause
	}
	state.Freshest = freshest
	if call := f.Next(state); call.Kind != QueryPeer || call.Peer != freshest {
		t.Errorf("call %+v", call)
	}
}

// TestLongListingIsDelayedOnce by a balancer behind a narrow link that has no state.
func TestLongListingIsDelayedOnce(t *testing.T) {
	f := New(bound, narrowLinkDelay)
	step(t, f, State{}, Pause, Outcome{})
	call := f.Next(State{})
	if call.Kind != ListStore || call.Transfer != LongTransfer {
		t.Fatalf("the first listing: %+v", call)
	}
	f.Done(State{}, call, Outcome{Result: TooLong})
	if call = f.Next(State{}); call.Kind != Pause || call.Wait != longListingDelay {
		t.Errorf("after a listing that was too long: %+v", call)
	}
	if call = f.Next(State{}); call.Kind != ListStore || call.Transfer != 0 {
		t.Errorf("the second listing: %+v", call)
	}
	for _, pause := range []time.Duration{0, fleetStartDelay} {
		wide := New(bound, pause)
		wide.Next(State{})
		if call := wide.Next(State{}); call.Transfer != 0 {
			t.Errorf("start pause %v: %+v", pause, call)
		}
	}
}

// listsAfter returns how long after its start a balancer lists the store if it receives no state.
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

// TestStartDefersToPeers: a starting balancer leaves the store to more capable peers, and in a large zone to
// those of lower rank, for a bounded time.
func TestStartDefersToPeers(t *testing.T) {
	for _, test := range []struct {
		name       string
		state      State
		startPause time.Duration
		from, to   time.Duration
	}{
		{"lowest rank", State{}, 0, 0, 0},
		{"lowest rank of a large zone", State{ZoneSize: minLargeZone}, 0, 0, 0},
		{"backup of a small zone", State{Backup: true, ZoneSize: minLargeZone - 1}, 0, 0, 0},
		{"backup of a large zone", State{Backup: true, ZoneSize: minLargeZone}, 0, maxDeferral, maxDeferral + startPollInterval},
		{"with a more capable peer", State{Backup: true, MoreCapable: true}, narrowLinkDelay, maxDeferral, maxDeferral + startPollInterval},
		{"narrow link, no peers", State{Alone: true}, narrowLinkDelay, peerDiscoveryTime, peerDiscoveryTime + startPollInterval},
		{"wide link, no peers", State{Alone: true}, 0, 0, 0},
	} {
		if after := listsAfter(New(bound, test.startPause), test.state); after < test.from || after > test.to {
			t.Errorf("%s: lists after %v, want %v to %v", test.name, after, test.from, test.to)
		}
	}
	if restart := New(bound, 0).Next(State{Revision: 5, MoreCapable: true, Upstream: upstream}); restart.Kind != QueryPeer {
		t.Errorf("with state received from a peer: %+v", restart)
	}
}
