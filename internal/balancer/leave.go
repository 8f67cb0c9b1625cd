package balancer

import (
	"sync/atomic"
	"time"
)

const (
	// leaveCopyLimit is how long a leaving node waits for its flows to be copied.
	leaveCopyTimeout = 60 * time.Second
	// leaveSettle is how long a node stays after its announcement, so that every
	// view and the fabric have changed.
	leaveMinStay = 3 * time.Second
	// leaveQuiet is how long the fabric must have sent nothing before the end.
	leaveQuietTime = time.Second
	// leaveLimit is how long a node stays after its announcement at most.
	leaveMaxStay = 30 * time.Second
)

// leaveState is the progress of a planned stop.
type leaveState struct {
	started     bool
	startedAt   time.Duration
	announced   bool
	announcedAt time.Duration
	finished    atomic.Bool
	lastTraffic atomic.Int64
}

// traffic notes that the fabric still sends datagrams here.
func (l *leaveState) recordTraffic(now time.Duration) {
	l.lastTraffic.Store(int64(now))
}

func (c *Core) startLeave(now time.Duration, effects *Effects) {
	if c.leave.started {
		return
	}
	c.leave.started = true
	c.leave.startedAt = now
	c.copier.walks = 0
	c.copier.interrupted = true
	// Grants are sent once more, in case one was lost.
	clear(c.copier.granted[:])
	effects.add(Effect{Kind: StateChanged, Subject: "self", State: "leaving: copying flows to successors"})
	if c.config.Mechanisms.NoPlannedLeave {
		c.leave.finished.Store(true)
	}
}

// advanceLeave takes a planned stop forward: first every flow gets to its
// successor, then peers are told, then the last relayed datagrams pass.
func (c *Core) advanceLeave(now time.Duration, effects *Effects) {
	l := &c.leave
	switch {
	case !l.started || l.finished.Load():
	case !l.announced && (c.copyComplete(now) || now-l.startedAt > leaveCopyTimeout):
		l.announced = true
		l.announcedAt = now
		c.detector.Withdraw()
		c.refreshView(now, effects)
		c.sendHeartbeats(now, effects)
		effects.add(Effect{Kind: StateChanged, Subject: "self", State: "leaving: announced, passing datagrams on"})
	case l.announced && now-l.announcedAt >= leaveMinStay && c.fabricQuiet(now):
		l.finished.Store(true)
		effects.add(Effect{Kind: StateChanged, Subject: "self", State: "left"})
	}
}

// copied tells whether every flow that this node holds is held by another, and
// no earlier change is still being made good.
func (c *Core) copyComplete(now time.Duration) bool {
	return len(c.view.Members) < 2 || c.copier.isSettled(minLeaveWalks) && c.peersSettled(now)
}

// quiet tells whether the fabric has stopped to send datagrams here.
func (c *Core) fabricQuiet(now time.Duration) bool {
	silent := now-time.Duration(c.leave.lastTraffic.Load()) >= leaveQuietTime
	return silent || now-c.leave.announcedAt >= leaveMaxStay
}

// Finished tells whether a planned stop is over and the process may end.
func (c *Core) Finished() bool {
	return c.leave.finished.Load()
}
