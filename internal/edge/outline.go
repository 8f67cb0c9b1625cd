package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"slices"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/follow"
	"gaugeyard/internal/peers"
)

// An outline goes ahead of everything at a start: settings and some back ends, so that new flows are placed while the
// rest is read. After all of 986 balancers were killed settings were known 0.67 s (first), 1.39 s (middle) and
// 1.78 s (last) after their starts, since 10,000 back ends were read from the store, told and put in force before.

// manyBackends is from how many back ends on everything takes so long to tell that an outline goes ahead.
const minSummaryBackends = 1024

// tellsOutline tells whether this balancer says that it has one for those that start. The beliefs lock is held.
func (n *Node) offersSummary() bool {
	if n.directory.SettingsVersion() == 0 {
		return false
	}
	count, _ := n.directory.Live()
	return n.directory.Revision() == 0 || count >= minSummaryBackends
}

// outlineTeacherOf returns who, by a hello, has an outline: the sender, or one of the ablest that it names.
func summarySource(hello *peers.Hello) (control netip.AddrPort, found bool) {
	if hello.Outline {
		return hello.Control, true
	}
	return mostCapable(hello.Others, func(other *peers.Introduction) bool { return other.Outline })
}

// ablestOf returns one of the ablest of those that a condition holds for, drawn by chance since many are told the
// same names.
func mostCapable(others []peers.Introduction, condition func(other *peers.Introduction) bool) (control netip.AddrPort, found bool) {
	eligible := slices.DeleteFunc(slices.Clone(others), func(other peers.Introduction) bool { return !condition(&other) })
	if len(eligible) == 0 {
		return netip.AddrPort{}, false
	}
	maxCapacity := slices.MaxFunc(eligible, func(a, b peers.Introduction) int { return cmp.Compare(a.Capacity, b.Capacity) }).Capacity
	eligible = slices.DeleteFunc(eligible, func(other peers.Introduction) bool { return other.Capacity < maxCapacity })
	return eligible[rand.N(len(eligible))].Control, true
}

// serveOutline tells one that starts what it needs first.
func (n *Node) serveSummary(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("zone")
	if zone == "" {
		http.Error(w, "zone is missing", http.StatusBadRequest)
		return
	}
	if !n.settingsKnown() {
		rejectPeer(w)
		return
	}
	n.answerPeer(w, peerRequest{zone: zone})
}

// learnOutline asks another balancer for an outline, once. Where that fails the next hello names one again.
func (n *Node) fetchSummary(ctx context.Context, control netip.AddrPort) {
	defer n.fetchingSummary.Store(false)
	ctx, cancel := ExpectAnswer(ctx, firstByteTimeout, follow.TransferTimeout, nil)
	defer cancel()
	answer, err := (&peerSource{n, control}).get(ctx, pathSummary+"?zone="+url.QueryEscape(n.config().Zone))
	if err == nil && answer.Listing == nil {
		err = errEmptyAnswer
	}
	if err != nil {
		n.log.Info("outline not told", "peer", control, "error", err)
		return
	}
	n.applySummary(answer.Listing, control.String())
}

// takeOutline lets new flows be placed by an outline where no settings are known yet, and tells whether its settings
// are in force by it. Packets of flows whose back end is not in it wait for the rest.
func (n *Node) applySummary(summary *directory.Listing, from string) (applied bool) {
	n.applyDefaults(summary.Settings)
	summary.Prepared = n.prepare(summary.Settings, nil)
	n.stateMutex.Lock()
	if n.directory.SettingsVersion() > 0 {
		n.stateMutex.Unlock()
		return false
	}
	events := n.directory.TakeOutline(n.now(), summary)
	n.generation++
	n.installView()
	n.logEvents(events, from, 0)
	known := n.directory.SettingsVersion() > 0
	n.stateMutex.Unlock()
	if known {
		n.handleQueued(false)
		n.announce()
	}
	return known
}
