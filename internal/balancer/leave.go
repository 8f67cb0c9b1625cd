package balancer

import (
	"sync/atomic"
	"time"
)

const (
	// leaveCopyTimeout is the maximum time to wait for flows to be copied.
	leaveCopyTimeout = 60 * time.Second
	// leaveMinStay is the minimum time that a node stays after its announcement, so
	// that peers and the fabric stop using it.
	leaveMinStay = 3 * time.Second
	// leaveQuietTime is how long the fabric must have sent no datagram.
	leaveQuietTime = time.Second
	// leaveMaxStay is the time after the announcement from which a node no longer
	// waits for the fabric to be quiet.
	leaveMaxStay = 30 * time.Second
)

// leaveState is the progress of a graceful shutdown.
type leaveState struct {
	started     bool
	startedAt   time.Duration
	announced   bool
	announcedAt time.Duration
	finished    atomic.Bool
	lastTraffic atomic.Int64
}

// recordTraffic records that the fabric sent a datagram to this node.
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
	// Send all grants again, in case one was lost.
	clear(c.copier.granted[:])
	effects.add(Effect{Kind: StateChanged, Subject: "self", State: "leaving: copying flows to successors"})
	if c.config.Mechanisms.NoPlannedLeave {
		c.leave.finished.Store(true)
	}
}

// advanceLeave advances a graceful shutdown: it waits until all flows are copied,
// announces the departure to peers, and relays datagrams until the fabric is quiet.
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
		effects.add(Effect{Kind: StateChanged, Subject: "self", State: "leaving: announced, relaying datagrams"})
	case l.announced && now-l.announcedAt >= leaveMinStay && c.fabricQuiet(now):
		l.finished.Store(true)
		effects.add(Effect{Kind: StateChanged, Subject: "self", State: "left"})
	}
}

// copyComplete reports whether another node holds every flow of this node and all
// peers are settled after the last change of view.
func (c *Core) copyComplete(now time.Duration) bool {
	return len(c.view.Members) < 2 || c.copier.isSettled(minLeaveWalks) && c.peersSettled(now)
}

// fabricQuiet reports whether the fabric has stopped sending datagrams to this
// node, or leaveMaxStay has passed.
func (c *Core) fabricQuiet(now time.Duration) bool {
	quiet := now-time.Duration(c.leave.lastTraffic.Load()) >= leaveQuietTime
	return quiet || now-c.leave.announcedAt >= leaveMaxStay
}

// Finished reports whether a graceful shutdown is complete and the process may
// exit.
func (c *Core) Finished() bool {
	return c.leave.finished.Load()
}
