package follow

import "time"

const (
	// overtakenAfter is how long another balancer must have known more before a call
	// is given up: the store tells all within a moment of each other.
	initialLagTimeout = 400 * time.Millisecond
	// maxOvertaken bounds that time, which doubles with each call given up without
	// progress: what brings the news may be a long transfer over a narrow link.
	maxLagTimeout = 3200 * time.Millisecond
)

// Lag notices that others have known more for a while, so that the source that is
// asked at present must be cut off. The zero value is ready.
type Lag struct {
	// own is the revision that others are ahead of since then.
	ownRevision uint64
	since       time.Duration
	ahead       bool
	timeout     time.Duration
}

// Note takes the own revision and one that another balancer told. It returns true
// when the present call should be given up.
func (l *Lag) Note(now time.Duration, own, told uint64) bool {
	if told <= own {
		if l.ahead && l.ownRevision != own {
			l.ahead = false
		}
		return false
	}
	if !l.ahead || l.ownRevision != own {
		*l = Lag{ownRevision: own, since: now, ahead: true, timeout: initialLagTimeout}
		return false
	}
	if now-l.since < l.timeout {
		return false
	}
	l.since, l.timeout = now, min(2*l.timeout, maxLagTimeout)
	return true
}
