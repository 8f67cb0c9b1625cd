package emulator

import "time"

const (
	// darkFor is how long a part of a split route says nothing.
	darkFor = 6 * time.Second
	// splitSettled is when the shares of the split scenarios are judged from: 4 s after the trouble, when
	// flows that went elsewhere are over and doubts have ended.
	splitSettled = troubleStart + darkFor + 4*time.Second
	// partServers is how many servers of each zone are the smaller part.
	partServers = 2
)

// splitFrom starts the smaller part's servers, which serve nothing else, and splits the lookups' route.
func (w *world) splitFrom(feed, part float64) {
	for _, zone := range w.zones {
		for range partServers {
			w.addServer(servicePart, zone)
		}
	}
	w.At(trafficStart, func() { w.splitLookups(feed, part) })
}

// splitLookups gives the lookups' route two parts, and judges the smaller one's share.
func (w *world) splitLookups(feed, part float64) {
	w.sharesFrom = splitSettled
	w.operator.lookups = []group{{serviceFeed, feed}, {servicePart, part}}
	w.operator.publish()
}

// partIncarnations are those of the smaller part that take flows.
func (w *world) partIncarnations() []*server {
	var list []*server
	for _, s := range w.incarnations {
		if s.service == servicePart && !s.crashed && !s.draining {
			list = append(list, s)
		}
	}
	return list
}

// splitDark lets all servers of one part stand still and go on.
func (w *world) splitDark() {
	w.splitFrom(70, 30)
	hang := func(hung bool) {
		for _, s := range w.partIncarnations() {
			s.hung, s.disturbed = hung, w.Now
		}
	}
	w.At(troubleStart, func() { hang(true) })
	w.At(troubleStart+darkFor, func() { hang(false) })
}

// splitMute lets all servers of one part take flows and reset all requests for a while.
func (w *world) splitMute() {
	w.splitFrom(70, 30)
	fail := func(part float64) {
		for _, s := range w.partIncarnations() {
			s.grey, s.failing = part, failReset
		}
	}
	w.At(troubleStart, func() { fail(1) })
	w.At(troubleStart+darkFor, func() { fail(0) })
}

// splitRelease replaces the servers of one part, one after the other.
func (w *world) splitRelease() {
	w.splitFrom(70, 30)
	w.At(troubleStart, func() {
		for i, s := range w.partIncarnations() {
			w.After(time.Duration(i)*time.Second, func() {
				w.addServer(s.service, s.zone)
				w.After(500*time.Millisecond, func() { s.leave(false) })
			})
		}
	})
}

// splitEmpty lets all servers of one part leave at once, and others come later.
func (w *world) splitEmpty() {
	w.splitFrom(70, 30)
	w.At(troubleStart, func() {
		for _, s := range w.partIncarnations() {
			s.leave(true)
			w.After(darkFor, func() { w.addServer(s.service, s.zone) })
		}
	})
}

// splitShift turns the weights round.
func (w *world) splitShift() {
	w.splitFrom(20, 80)
	w.At(troubleStart, func() { w.splitLookups(50, 50) })
	w.At(troubleStart+darkFor, func() { w.splitLookups(70, 30) })
}
