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

// A summary has the settings and a subset of the back ends. A balancer that has just started requests one first, so
// that it can place new flows while the full listing is read.

// minSummaryBackends is the number of back ends from which a summary is offered beside the full listing.
const minSummaryBackends = 1024

// offersSummary reports whether hellos of this balancer offer a summary. The state mutex must be held.
func (n *Node) offersSummary() bool {
	if !n.directory.HasSettings() {
		return false
	}
	count, _ := n.directory.Live()
	return n.directory.Revision() == 0 || count >= minSummaryBackends
}

// summarySource returns a balancer that offers a summary, by a hello: the sender, or one with the highest
// capacity among those that it names.
func summarySource(hello *peers.Hello) (control netip.AddrPort, found bool) {
	if hello.HasSummary {
		return hello.Control, true
	}
	return mostCapable(hello.Introductions, func(other *peers.Introduction) bool { return other.HasSummary })
}

// mostCapable returns one of the balancers with the highest capacity among those that meet a condition. The choice
// is random, since many receive the same candidates.
func mostCapable(others []peers.Introduction, condition func(other *peers.Introduction) bool) (control netip.AddrPort, found bool) {
	eligible := slices.DeleteFunc(slices.Clone(others), func(other peers.Introduction) bool { return !condition(&other) })
	if len(eligible) == 0 {
		return netip.AddrPort{}, false
	}
	maxCapacity := slices.MaxFunc(eligible, func(a, b peers.Introduction) int { return cmp.Compare(a.Capacity, b.Capacity) }).Capacity
	eligible = slices.DeleteFunc(eligible, func(other peers.Introduction) bool { return other.Capacity < maxCapacity })
	return eligible[rand.N(len(eligible))].Control, true
}

// serveSummary sends a summary to a balancer that has just started.
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
	n.answerPeer(w, peerRequest{zone: zone}, n.now())
}

// fetchSummary requests a summary from another balancer, once. After a failure the next hello that offers one starts
// another request.
func (n *Node) fetchSummary(ctx context.Context, control netip.AddrPort) {
	defer n.fetchingSummary.Store(false)
	ctx, cancel := WithResponseTimeout(ctx, firstByteTimeout, follow.TransferTimeout, nil)
	defer cancel()
	answer, err := (&peerSource{n, control}).get(ctx, pathSummary+"?zone="+url.QueryEscape(n.config().Zone))
	if err == nil && answer.Listing == nil {
		err = errEmptyAnswer
	}
	if err != nil {
		n.log.Info("no summary from peer", "peer", control, "error", err)
		return
	}
	n.applySummary(answer.Listing, control.String())
}

// applySummary installs a summary if no settings are known yet, and reports whether its settings are now in force.
// Packets of flows whose back end is not in it are queued for the full listing.
func (n *Node) applySummary(summary *directory.Listing, from string) (applied bool) {
	n.applyDefaults(summary.Settings)
	summary.Prepared = n.prepare(summary.Settings, nil)
	n.stateMutex.Lock()
	if n.directory.HasSettings() {
		n.stateMutex.Unlock()
		return false
	}
	events := n.directory.ApplySummary(n.now(), summary)
	n.generation++
	n.installView()
	n.logEvents(events, from, 0)
	known := n.directory.HasSettings()
	n.stateMutex.Unlock()
	if known {
		n.handleQueued(false)
		n.announce()
	}
	return known
}
