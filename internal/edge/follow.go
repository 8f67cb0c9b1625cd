package edge

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/netip"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/follow"
	"gaugeyard/internal/settings"
)

// firstByteTimeout bounds the wait for the first byte of a listing or summary from another balancer.
const firstByteTimeout = time.Second

// follow keeps the directory up to date until ctx ends, with the calls that package follow chooses.
// The known state stays in force whatever a call returns.
func (n *Node) follow(ctx context.Context) error {
	follower := follow.New(n.config().Bounds.Contact, follow.StartPause(n.config().LinkMbps, n.config().FirstStart))
	for ctx.Err() == nil {
		call := follower.Next(n.followState())
		if call.Kind == follow.Pause {
			pause(ctx, call.Wait/2+rand.N(call.Wait))
			follower.Done(n.followState(), call, follow.Outcome{})
			continue
		}
		n.recordSource(call)
		outcome, err := n.execute(ctx, call)
		if ctx.Err() != nil {
			break
		}
		n.recordContact(follower.Done(n.followState(), call, outcome), call, err)
	}
	return ctx.Err()
}

// followState returns the input to the choice of the next call.
func (n *Node) followState() follow.State {
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	now := n.now()
	return follow.StateOf(now, n.directory.Revision(), n.confirmed.Staleness(now), n.peers, n.config().Bounds.Contact)
}

// execute makes one call and applies its result.
func (n *Node) execute(ctx context.Context, call follow.Call) (follow.Outcome, error) {
	ctx, cancel := WithResponseTimeout(ctx, call.Timeout, max(call.Timeout, follow.TransferTimeout), func() { n.receiving.Store(true) })
	defer cancel()
	n.superseded.Store(false)
	n.receiving.Store(false)
	n.cancelCall.Store(&cancel)
	var outcome follow.Outcome
	var err error
	switch call.Kind {
	case follow.ListStore:
		err = n.listStore(ctx, n.maxListingBytes(call.Transfer))
	case follow.WatchStore:
		outcome.Changes, err = n.watchStore(ctx, call.Wait)
	case follow.QueryPeer:
		err = n.requestFromPeer(ctx, call)
	}
	switch {
	case err != nil && n.superseded.Load():
		outcome.Result = follow.Superseded
	case errors.Is(err, ErrListingAbandoned):
		outcome.Result = follow.Superseded
	case errors.Is(err, ErrHistoryLost):
		outcome.Result = follow.HistoryLost
	case errors.Is(err, ErrTooLong):
		outcome.Result = follow.TooLong
	case err != nil:
		outcome.Result = follow.Failed
	}
	if !connectionWorked(err) {
		n.dropIdleConnections()
	}
	return outcome, err
}

// connectionWorked reports whether a call that returned err received a response over its connection.
func connectionWorked(err error) bool {
	return err == nil || errors.Is(err, errPeerRejected) || errors.Is(err, errEmptyAnswer) ||
		errors.Is(err, ErrListingAbandoned) || errors.Is(err, ErrHistoryLost) || errors.Is(err, ErrTooLong)
}

// dropIdleConnections closes pooled connections to the store and to other balancers. Connections can break
// together without a reset, and each pooled one would cost a further call its time-out; a new connection
// costs one round trip.
func (n *Node) dropIdleConnections() {
	n.peerClient.CloseIdleConnections()
	n.adapter.Source.Reconnect()
}

// watchStore reads changes from the store, applies them and returns their number.
func (n *Node) watchStore(ctx context.Context, wait time.Duration) (count int, err error) {
	n.metrics.storeCalls.Inc()
	after, requestedAt := n.revision(), n.now()
	changes, err := n.adapter.Source.Changes(ctx, after, wait)
	if err != nil {
		return 0, err
	}
	n.apply(changes, "store", follow.FromWatch(requestedAt, n.now(), wait, changes.Revision > after))
	return changes.Count(), nil
}

// requestFromPeer requests changes from a peer and applies the answer.
func (n *Node) requestFromPeer(ctx context.Context, call follow.Call) error {
	request, staleness := n.requestWithStaleness()
	answer, err := (&peerSource{n, call.Peer}).changes(ctx, request, staleness, call.Wait)
	if errors.Is(err, errPeerRejected) {
		n.stateMutex.Lock()
		n.peers.RecordRefusal(n.now(), call.Peer)
		n.stateMutex.Unlock()
	}
	if err != nil {
		return err
	}
	n.recordPeerAnswer(call.Peer, answer)
	switch {
	case answer.Listing != nil:
		n.receiveStoreReturn(answer)
		n.replace(answer.Listing, call.Peer.String(), answer.ConfirmedAt)
	case answer.Changes != nil:
		n.receiveStoreReturn(answer)
		n.applyFromPeer(answer, request, call.Peer.String())
	default:
		return errEmptyAnswer
	}
	return nil
}

// recordPeerAnswer updates the peer's entry in the peer table with the staleness and revision of its answer.
func (n *Node) recordPeerAnswer(peer netip.AddrPort, answer *peerAnswer) {
	revision := uint64(0)
	switch {
	case answer.Listing != nil:
		revision = answer.Listing.Revision
	case answer.Changes != nil:
		revision = answer.Changes.Revision
	}
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	now := n.now()
	n.peers.RecordAnswer(now, peer, now-answer.ConfirmedAt, revision)
}

// recordSource records the upstream of a call and logs it when it changes.
func (n *Node) recordSource(call follow.Call) {
	source := "store"
	if call.Kind == follow.QueryPeer {
		source = call.Peer.String()
	}
	n.followsStore.Store(source == "store")
	if n.source == source {
		return
	}
	n.log.Info("following", "from", source, "before", n.source, "revision", n.revision())
	n.source = source
}

// recordContact logs and counts the outcome of a call, and a loss or return of the store.
func (n *Node) recordContact(contact follow.Contact, call follow.Call, err error) {
	switch {
	case errors.Is(err, ErrListingAbandoned), err != nil && n.superseded.Load():
		n.log.Info("overtaken by peers", "call", call.Kind.String(), "revision", n.revision())
	case errors.Is(err, ErrTooLong):
		n.log.Info("long listing left to others", "bytes_at_most", n.maxListingBytes(call.Transfer))
	case errors.Is(err, ErrHistoryLost):
		n.log.Info("store history lost", "revision", n.revision())
	case err != nil && call.Kind == follow.QueryPeer:
		n.log.Warn("peer lost", "peer", call.Peer, "revision", n.revision(), "error", err)
	case err != nil:
		n.metrics.storeFailures.Inc()
	}
	switch contact {
	case follow.Lost:
		n.storeLostAt = n.now()
		n.storeUnavailable.Store(true)
		n.changed.wake()
		n.announce()
		n.log.Warn("store lost", "revision", n.revision(), "call", call.Kind.String(), "error", err)
	case follow.Regained:
		n.storeUnavailable.Store(false)
		// Other balancers wait for this hello.
		n.announce()
		n.log.Info("store regained", "through", n.source, "revision", n.revision(), "after_ms", (n.now() - n.storeLostAt).Milliseconds())
	}
}

// replace installs a listing that the store confirmed at a time, and logs the changes.
func (n *Node) replace(listing *directory.Listing, from string, confirmedAt time.Duration) {
	n.applyDefaults(listing.Settings)
	listing.Prepared = n.prepare(listing.Settings, nil)
	n.stateMutex.Lock()
	first := n.directory.Revision() == 0
	n.advanceConfirmedAt()
	n.publish(n.directory.Replace(n.now(), listing), from, listing.Revision, confirmedAt)
	n.stateMutex.Unlock()
	if n.settingsKnown() {
		n.handleQueued(true)
	}
	if first {
		n.announce()
	}
}

// apply applies changes that the store confirmed at a time, and logs them.
func (n *Node) apply(changes *directory.Changes, from string, confirmedAt time.Duration) {
	n.applyDefaults(changes.Settings)
	changes.Prepared = n.prepare(changes.Settings, changes.Step)
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	n.advanceConfirmedAt()
	n.detectStoreReturn(confirmedAt, changes.FromPeer)
	events := n.directory.Apply(n.now(), changes)
	n.publish(events, from, changes.Revision, confirmedAt)
}

// applyFromPeer applies changes that another balancer sent in answer to a request. Where possible the
// received bytes are cached for followers that send the same request, which saves encoding them again.
func (n *Node) applyFromPeer(answer *peerAnswer, request peerRequest, from string) {
	changes := answer.Changes
	n.applyDefaults(changes.Settings)
	changes.Prepared = n.prepare(changes.Settings, changes.Step)
	if generation, forwardable := n.applyPrepared(answer, request, from); forwardable {
		// The mutex of the cache is acquired before stateMutex, so stateMutex is not held here.
		n.answerCache.put(generation, request, answer.received)
		n.metrics.answersForwarded.Inc()
	}
}

// applyPrepared applies prepared changes. It reports whether the answer may be forwarded to followers,
// and the generation that it belongs to.
func (n *Node) applyPrepared(answer *peerAnswer, request peerRequest, from string) (generation uint64, forwardable bool) {
	changes := answer.Changes
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	forwardable = n.changesRequest() == request && changes.Settings == nil
	n.advanceConfirmedAt()
	n.detectStoreReturn(answer.ConfirmedAt, changes.FromPeer)
	events := n.directory.Apply(n.now(), changes)
	n.publish(events, from, changes.Revision, answer.ConfirmedAt)
	step := changes.Step
	return n.generation, forwardable && (step == nil || step.Revision == n.directory.SettingsRevision())
}

// changesRequest returns the request for changes after the known state. The state mutex must be held.
func (n *Node) changesRequest() peerRequest {
	return peerRequest{after: n.directory.Revision(), base: n.directory.SettingsRevision()}
}

// publish installs the known state in the steerer and wakes followers that wait for changes. The events are
// of an answer that is complete up to a revision and that the store confirmed at a time. The state mutex must
// be held.
func (n *Node) publish(events []directory.Event, from string, revision uint64, confirmedAt time.Duration) {
	// An answer that could not be applied confirms nothing about the known state.
	if n.directory.Revision() >= revision && n.confirmed.Update(confirmedAt) {
		n.changed.wake()
	}
	if n.viewRevision.Swap(n.directory.Revision()) == n.directory.Revision() && len(events) == 0 {
		return
	}
	n.generation++
	n.recordMembership(events)
	n.installView()
	n.changed.wake()
	n.logEvents(events, from, n.now()-confirmedAt)
}

// installView gives the steerer a view of the known state. The state mutex must be held.
func (n *Node) installView() {
	view := n.directory.View()
	n.steeringMutex.Lock()
	n.steerer.SetView(view)
	observed := n.takeObservations()
	n.steeringMutex.Unlock()
	n.handleObservations(n.now(), &observed, make([]byte, maxDatagram))
}

// advanceConfirmedAt records in the directory when the store last confirmed the known state. The state mutex must be held.
func (n *Node) advanceConfirmedAt() { n.directory.AdvanceConfirmedAt(n.now() - n.staleness()) }

// staleness returns the time since the store last confirmed the known state. The state mutex must be held.
func (n *Node) staleness() time.Duration {
	return n.confirmed.Staleness(n.now())
}

// applyDefaults adds the process's own defaults to the root of the operators' tree. A nil next is allowed.
func (n *Node) applyDefaults(next *directory.Settings) {
	if next == nil {
		return
	}
	// Other nodes may share the root's values.
	root := maps.Clone(n.config().Defaults)
	if root == nil {
		root = settings.Values{}
	}
	maps.Copy(root, next.Tree[""])
	next.Tree[""] = root
}

// requestWithStaleness returns the request for changes from another balancer, and the staleness of the
// known state.
func (n *Node) requestWithStaleness() (peerRequest, time.Duration) {
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	return n.changesRequest(), n.staleness()
}

func (n *Node) revision() uint64 {
	n.stateMutex.Lock()
	defer n.stateMutex.Unlock()
	return n.directory.Revision()
}

// pause waits for length or until ctx ends.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
