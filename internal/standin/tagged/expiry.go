package tagged

import (
	"math/rand/v2"
	"slices"
	"time"
)

// reannounceTime is the time after an outage within which running servers rewrite their entries.
const reannounceTime = 2 * time.Second

// ExpireEntries silences the store for the given time, during which the entries of all servers
// expire. Running servers rewrite theirs at random times after the outage.
func (w *World) ExpireEntries(random *rand.Rand, length time.Duration) {
	w.SilenceStore(length)
	w.mutex.Lock()
	servers := slices.Clone(w.servers)
	w.mutex.Unlock()
	// The entries expire just before the store answers, so that no watch reports it earlier.
	time.AfterFunc(length-time.Millisecond, func() {
		for _, s := range servers {
			if s.state() != "" {
				w.store.Remove(s.key())
			}
		}
		w.logf("the entries of %d servers have expired", len(servers))
	})
	for _, s := range servers {
		time.AfterFunc(length+time.Duration(random.Int64N(int64(reannounceTime))), func() {
			// Skips servers that have left or stopped meanwhile.
			if state := s.state(); state != "" {
				s.announce(state)
			}
		})
	}
}
