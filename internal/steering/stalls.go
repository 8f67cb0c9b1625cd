package steering

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"gaugeyard/internal/settings"
)

const (
	// stallLife is how long what another balancer told of a back end counts.
	stallLife = 700 * time.Millisecond
	// maxStalls bounds the balancers whose words on a back end are kept.
	maxStalls = 32
	// alarmInterval is the shortest time between two alarms.
	alarmInterval = 100 * time.Millisecond
)

// Stall is what one balancer knows of a back end that leaves callers without a sign of life.
type Stall struct {
	Backend settings.BackendID
	// Callers is how many different callers have sent data again in vain since the last sign of life
	// that this balancer saw, one of them just now; 0 where none has, and from one that contradicts others.
	Callers int
	// Silence is how long ago that sign of life was.
	Silence time.Duration
	// Lost is how much longer the balancer takes the back end for lost, 0 where it does not.
	Lost time.Duration
}

// heardStall is a Stall that another balancer told.
type heardStall struct {
	from    netip.AddrPort
	callers int
	// alive is when the other one last saw a sign of life, by the own clock, and at when it
	// was told.
	alive, at time.Duration
}

// raise asks the driver to tell the others at once, not too often.
func (s *Steerer) raise(now time.Duration) {
	if now-s.raised >= alarmInterval {
		s.raised, s.alarm = now, true
	}
}

// TakeAlarm tells, once, that other balancers should hear of Stalls at once.
func (s *Steerer) TakeAlarm() bool {
	alarm := s.alarm
	s.alarm = false
	return alarm
}

// Stalls returns what this balancer knows of back ends that leave callers without a sign of
// life, here or at others, at most count: lost ones first, then those that leave the most callers.
func (s *Steerer) Stalls(now time.Duration, count int) []Stall {
	var stalls []Stall
	for id, b := range s.backends {
		known := Stall{Backend: id, Silence: now - b.progress, Lost: max(b.lostUntil-now, 0)}
		switch {
		case b.freshStall(now):
			// Callers of earlier are no news: others would renew what they know by them.
			known.Callers = len(b.stalled)
			stalls = append(stalls, known)
		case known.Lost > 0:
			stalls = append(stalls, known)
		case len(b.stalls) > 0 && now-b.progress < stallLife:
			stalls = append(stalls, known)
		}
	}
	slices.SortFunc(stalls, func(a, b Stall) int {
		return cmp.Or(cmp.Compare(min(b.Lost, 1), min(a.Lost, 1)), cmp.Compare(b.Callers, a.Callers), cmp.Compare(a.Backend, b.Backend))
	})
	return stalls[:min(count, len(stalls))]
}

// HearStalls takes over what another balancer told of back ends. If this one knows better, it
// raises an alarm in turn.
func (s *Steerer) HearStalls(now time.Duration, from netip.AddrPort, stalls []Stall) {
	if now-s.resumed < resumeTime || s.config.Mechanisms.NoResets {
		// It waited while the process stood still.
		return
	}
	var lost []*backendState
	for _, stall := range stalls {
		member := s.view.Member(stall.Backend)
		if member == nil {
			continue
		}
		b := s.stateOf(member)
		if b.deaf(now) {
			continue
		}
		b.hearStall(heardStall{from, stall.Callers, now - stall.Silence, now})
		b.hearLost(now, &stall)
		if (stall.Callers > 0 || stall.Lost > 0) && now-b.progress < stallLife {
			s.raise(now)
		}
		if s.lost(now, b) {
			lost = append(lost, b)
		}
	}
	if len(lost) > 0 {
		s.endFlows(now, lost...)
	}
}

func (b *backendState) hearStall(heard heardStall) {
	at := slices.IndexFunc(b.stalls, func(h heardStall) bool { return h.from == heard.from })
	switch {
	case at >= 0:
		b.stalls[at] = heard
	case len(b.stalls) < maxStalls:
		b.stalls = append(b.stalls, heard)
	}
}

// hearLost takes over that another balancer takes the back end for lost, for no longer than that one does:
// one that has just started would else need callers of its own to find out. A sign of life that another
// balancer saw since then ends it.
func (b *backendState) hearLost(now time.Duration, stall *Stall) {
	alive := now - stall.Silence
	switch {
	case stall.Lost > 0 && now-b.progress >= lostSilence:
		b.lostUntil = max(b.lostUntil, now+min(stall.Lost, lostTime))
	case now < b.lostUntil && alive > b.lostUntil-lostTime && stall.Silence < lostSilence:
		b.lostUntil, b.stalled = 0, b.stalled[:0]
	}
}
