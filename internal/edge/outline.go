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
const manyBackends = 1024

// tellsOutline tells whether this balancer says that it has one for those that start. The beliefs lock is held.
func (n *Node) tellsOutline() bool {
	if n.directory.SettingsVersion() == 0 {
		return false
	}
	count, _ := n.directory.Live()
	return n.directory.Revision() == 0 || count >= manyBackends
}

// outlineTeacherOf returns who, by a hello, has an outline: the sender, or one of the ablest that it names.
func outlineTeacherOf(hello *peers.Hello) (control netip.AddrPort, found bool) {
	if hello.Outline {
		return hello.Control, true
	}
	return ablestOf(hello.Others, func(other *peers.Introduction) bool { return other.Outline })
}

// ablestOf returns one of the ablest of those that a condition holds for, drawn by chance since many are told the
// same names.
func ablestOf(others []peers.Introduction, condition func(other *peers.Introduction) bool) (control netip.AddrPort, found bool) {
	able := slices.DeleteFunc(slices.Clone(others), func(other peers.Introduction) bool { return !condition(&other) })
	if len(able) == 0 {
		return netip.AddrPort{}, false
	}
	most := slices.MaxFunc(able, func(a, b peers.Introduction) int { return cmp.Compare(a.Capacity, b.Capacity) }).Capacity
	able = slices.DeleteFunc(able, func(other peers.Introduction) bool { return other.Capacity < most })
	return able[rand.N(len(able))].Control, true
}

// serveOutline tells one that starts what it needs first.
func (n *Node) serveOutline(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("zone")
	if zone == "" {
		http.Error(w, "zone is missing", http.StatusBadRequest)
		return
	}
	if !n.settingsKnown() {
		sendAway(w)
		return
	}
	n.answerPeer(w, question{zone: zone})
}

// learnOutline asks another balancer for an outline, once. Where that fails the next hello names one again.
func (n *Node) learnOutline(ctx context.Context, control netip.AddrPort) {
	defer n.outlining.Store(false)
	ctx, cancel := ExpectAnswer(ctx, learnTimeout, follow.TransferTimeout, nil)
	defer cancel()
	answer, err := (&peerSource{n, control}).get(ctx, pathOutline+"?zone="+url.QueryEscape(n.config().Zone))
	if err == nil && answer.Listing == nil {
		err = errEmptyAnswer
	}
	if err != nil {
		n.log.Info("outline not told", "peer", control, "error", err)
		return
	}
	n.takeOutline(answer.Listing, control.String())
}

// takeOutline lets new flows be placed by an outline where no settings are known yet, and tells whether its settings
// are in force by it. Packets of flows whose back end is not in it wait for the rest.
func (n *Node) takeOutline(outline *directory.Listing, from string) (taken bool) {
	n.withDefaults(outline.Settings)
	outline.Prepared = n.prepare(outline.Settings, nil)
	n.beliefs.Lock()
	if n.directory.SettingsVersion() > 0 {
		n.beliefs.Unlock()
		return false
	}
	events := n.directory.TakeOutline(n.now(), outline)
	n.generation++
	n.setView()
	n.logEvents(events, from, 0)
	known := n.directory.SettingsVersion() > 0
	n.beliefs.Unlock()
	if known {
		n.handleHeld(false)
		n.announce()
	}
	return known
}
