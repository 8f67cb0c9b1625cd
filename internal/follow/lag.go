package follow

import "time"

const (
	// initialLagTimeout is how long another balancer must have had a newer revision before
	// a call is aborted: the store sends changes to all balancers at nearly the same time.
	initialLagTimeout = 400 * time.Millisecond
	// maxLagTimeout bounds that time. It doubles with each call aborted without progress,
	// since the update may need a long transfer over a slow link.
	maxLagTimeout = 3200 * time.Millisecond
)

// Lag detects that other balancers have had a newer revision for some time, so that the
// current call should be aborted. The zero value is ready to use.
type Lag struct {
	// ownRevision is the revision that others have been ahead of since then.
	ownRevision uint64
	since       time.Duration
	ahead       bool
	timeout     time.Duration
}

// Observe takes the own revision and one reported by another balancer. It reports whether
// the current call should be aborted.
func (l *Lag) Observe(now time.Duration, own, reported uint64) bool {
	if reported <= own {
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
