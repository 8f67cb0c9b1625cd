package emulator

import "time"

// Pauses of a balancer that others follow. The gap is too short for its followers to notice the first pause, and
// long enough for it to read and pass on an answer that the store gave before.
const (
	minFirstPause, maxFirstPause   = 800 * time.Millisecond, 1600 * time.Millisecond
	minPauseGap, maxPauseGap       = 20 * time.Millisecond, 250 * time.Millisecond
	minSecondPause, maxSecondPause = 3 * time.Second, 4 * time.Second
	// maxChangeDelay bounds the times between the first pause, a change that the store answers with, and the
	// changes that the answer lacks.
	maxChangeDelay = 50 * time.Millisecond
	pauseRounds    = 3
	pauseRoundTime = 8 * time.Second
)

// pauseSources pauses a balancer that others follow twice in a row while a route goes and servers leave, and does
// the same again with others.
func (w *world) pauseSources() {
	for round := range pauseRounds {
		w.At(faultStart+time.Duration(round)*pauseRoundTime, w.pauseSource)
	}
}

func (w *world) pauseSource() {
	w.operator.probeService = serviceFeed
	w.operator.publish()
	var leaving []*server
	for _, s := range w.incarnations {
		if s.service == serviceUpload && !s.draining && !s.crashed && len(leaving) < uploadServers {
			leaving = append(leaving, s)
			w.addServer(s.service, s.zone)
		}
	}
	w.After(contactBound/2, func() {
		source := w.randomSource()
		first := w.Between(minFirstPause, maxFirstPause)
		source.pause(first)
		answered := w.Between(0, maxChangeDelay)
		w.After(answered, w.operator.publish)
		w.After(answered+w.Between(0, maxChangeDelay), func() {
			w.operator.probeService = ""
			w.operator.publish()
			for _, s := range leaving {
				s.serveAfterDrain = longServeAfterDrain
				s.leave(false)
			}
		})
		w.After(first+w.Between(minPauseGap, maxPauseGap), func() { source.pause(w.Between(minSecondPause, maxSecondPause)) })
	})
}

// randomSource returns a balancer that reads the store or that others follow.
func (w *world) randomSource() *node {
	followed := map[*node]bool{}
	for _, n := range w.nodes {
		if upstream := w.nodeAt(n.upstream); upstream != nil {
			followed[upstream] = true
		}
	}
	var readers, others []*node
	for _, n := range w.nodes {
		switch {
		case !n.up || n.leaving:
		case n.followsStore:
			readers = append(readers, n)
		case followed[n]:
			others = append(others, n)
		}
	}
	if len(others) == 0 || len(readers) > 0 && w.Chance(0.5) {
		others = readers
	}
	return others[w.Random.IntN(len(others))]
}
