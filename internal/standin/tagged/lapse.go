package tagged

import (
	"math/rand/v2"
	"slices"
	"time"
)

// returnTime is within what time after the store's return living servers have written their entries again.
const returnTime = 2 * time.Second

// LapseEntries lets the store answer nobody for a while, in which the entries of all servers lapse; those
// that live write theirs again one by one after its return.
func (w *World) LapseEntries(drawn *rand.Rand, length time.Duration) {
	w.StopStore(length)
	w.mutex.Lock()
	servers := slices.Clone(w.servers)
	w.mutex.Unlock()
	// The entries go just before the store answers, so that none is told of before.
	time.AfterFunc(length-time.Millisecond, func() {
		for _, s := range servers {
			if s.state() != "" {
				w.store.Remove(s.key())
			}
		}
		w.say("the entries of %d servers have lapsed", len(servers))
	})
	for _, s := range servers {
		time.AfterFunc(length+time.Duration(drawn.Int64N(int64(returnTime))), func() {
			// One that has left or ended meanwhile stays away.
			if state := s.state(); state != "" {
				s.announce(state)
			}
		})
	}
}
