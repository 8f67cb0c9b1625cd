package steering

import (
	"maps"
	"slices"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// deafTime is how long after a start under a known identifier the words of other balancers on the back end
// may be of the start before: until they have heard of it (0.6 s along the longest chains) and what they told
// earlier has faded (a tenth of a load is left after 6 s). A back end that has just started is slow for
// about as long anyway, and draws no rush by that.
const ignoreReportsTime = 6 * time.Second

// deaf tells whether what others say of the back end may be of the start before.
func (b *backendState) deaf(now time.Duration) bool { return now < b.deafUntil }

// noteStarts looks in a new view, of which these have changed, for back ends that started anew under their identifiers. Whatever was
// learned of one is of no worth then, and of its flows those are ended that are older than the start: their
// next request would be lost there, and a caller that may not repeat it would not know. Others may have
// opened there since and stay.
func (s *Steerer) handleRestarts(changed []settings.BackendID) {
	anew := map[settings.BackendID]*directory.Member{}
	for _, id := range changed {
		b, member := s.backends[id], s.view.Member(id)
		switch {
		case b == nil, member == nil:
		case member.Born.Differs(b.born):
			anew[id] = member
		case b.born == 0:
			b.born = member.Born
		}
	}
	if len(anew) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(anew)) {
		before, member := s.backends[id], anew[id]
		b := s.newState(member)
		b.deafUntil = s.pulse + ignoreReportsTime
		b.note(StartedAnew, s.pulse-before.progress, b.deafUntil)
	}
	for _, known := range s.flows {
		if member := anew[known.backend.id]; member != nil {
			known.backend.leave(known)
			known.member, known.backend = member, s.backends[member.ID]
			known.backend.join(known)
		}
	}
	s.resetAll(func(known *record) bool {
		member := anew[known.backend.id]
		return member != nil && known.started < member.StartedAfter
	})
}
