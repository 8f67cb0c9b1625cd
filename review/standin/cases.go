package main

import (
	"context"
	"errors"
	"net/netip"
	"syscall"
	"time"
)

// weekMs is an idle timeout of seven days, in milliseconds.
const weekMs = 7 * 24 * 3600 * 1000

// runTimeout has the operators raise idleTimeoutMs and add a route, then kills all processes right after one more
// configuration. It checks CONFIG for the new route, and RECOVER.
func runTimeout(ctx context.Context, w *world) (broken bool, err error) {
	began := time.Now()
	sleep(ctx, 6*time.Second)
	if w.trouble {
		w.idleTimeoutMs = weekMs
	}
	w.routes[laterRoute] = feedService
	acknowledged := w.putConfiguration()
	if err := w.addClients(ctx, 1, laterRoute, feedService, false, true); err != nil {
		return false, err
	}
	sleep(ctx, 8*time.Second)
	sent, answered := w.judge.countRequests(laterRoute, acknowledged.Add(configApply), time.Now())
	w.record.say("CONFIG: of %d requests to the new route, sent later than %v after the acknowledgement, %d were answered", sent, configApply, answered)
	if sent == 0 {
		return false, errors.New("no request to the new route")
	}
	broken = answered < sent
	w.putConfiguration()
	sentBefore, answeredBefore := w.judge.countRequests(netip.AddrPort{}, began, time.Now())
	for _, b := range w.fleet.balancers {
		w.fleet.signal(b, syscall.SIGKILL)
	}
	w.record.say("all %d processes are killed", len(w.fleet.balancers))
	sleep(ctx, time.Second)
	for _, b := range w.fleet.balancers {
		<-b.done
		if err := w.fleet.start(b); err != nil {
			return false, err
		}
	}
	back := time.Now()
	w.record.say("all processes are started again")
	sleep(ctx, recovery+8*time.Second)
	until := time.Now().Add(-deadline)
	sent, answered = w.judge.countRequests(netip.AddrPort{}, back.Add(recovery), until)
	w.record.say("RECOVER: of %d requests before the fault %d were answered; of %d sent later than %v after the machines were back %d were answered; %d balancers are in",
		sentBefore, answeredBefore, sent, recovery, answered, w.router.countIn())
	if sent == 0 || 4*answeredBefore < sentBefore {
		return false, errors.New("too few requests")
	}
	return broken || 4*answered < sent, nil
}

// runForeign has another writer put entries of a service that the configuration does not name, at the addresses of
// three servers. These servers leave without saying draining and serve on. It checks FLOW.
func runForeign(ctx context.Context, w *world) (broken bool, err error) {
	// Flows that carry many requests which may run once.
	if err := w.addClients(ctx, 4, lookupRoute, feedService, true, false); err != nil {
		return false, err
	}
	sleep(ctx, 4*time.Second)
	leaving := make([]*server, 0, len(zones))
	for _, s := range w.serversOf(feedService) {
		if len(leaving) < len(zones) && s.zone == zones[len(leaving)] {
			leaving = append(leaving, s)
		}
	}
	if w.trouble {
		for i, s := range leaving {
			foreign := s.entry()
			foreign.Service = "inventory"
			key := "servers/i-" + []string{"5e000001", "5e000002", "5e000003"}[i]
			w.store.write(change{key, foreign})
			w.record.say("another writer puts %s: service %s, address %s", key, foreign.Service, foreign.Address)
		}
	}
	sleep(ctx, 6*time.Second)
	at := w.leaveSilently(leaving)
	sleep(ctx, 8*time.Second)
	w.judge.mutex.Lock()
	defer w.judge.mutex.Unlock()
	for _, r := range w.judge.resets {
		w.record.say("FLOW: %.3f s after the entries went, a client gets a reset of the system on the open flow %s of server %s, which lives", r.at.Sub(at).Seconds(), r.flow, r.server.name())
	}
	cut := 0
	for _, t := range w.judge.requests {
		if t.outcome == "reset" {
			cut++
		}
	}
	w.record.say("FLOW: %d open flows reset by the system, %d requests cut by that", len(w.judge.resets), cut)
	return len(w.judge.resets) > 0, nil
}

// runFrozen freezes the balancer that reads the store. Right after, the four servers of a service leave without
// saying draining and serve on. It checks DRAIN for the other balancers.
func runFrozen(ctx context.Context, w *world) (broken bool, err error) {
	calls := w.observeCalls()
	sleep(ctx, 8*time.Second)
	reader := w.fleet.balancers[calls.mostFrequent("/kv-watch")]
	w.record.say("balancer %d reads the store", reader.number)
	calls.forget()
	if err := calls.await(ctx, func(c call) bool { return c.balancer == reader.number && c.path == "/kv-watch" && c.events == 0 }); err != nil {
		return false, err
	}
	sleep(ctx, 40*time.Millisecond)
	w.freeze(reader)
	sleep(ctx, 30*time.Millisecond)
	leaving := w.serversOf(ingestService)
	acknowledged := w.leaveSilently(leaving)
	sleep(ctx, 4*time.Second)
	w.wake(reader)
	sleep(ctx, 3*time.Second)
	return w.checkDrain(leaving, acknowledged, reader), nil
}

// shots is how often runExpired plays its disruption at most.
const shots = 3

// runExpired kills the balancer that writes the snapshot and starts it again with seeds that are down. Meanwhile
// four of the fourteen servers of a service leave without saying draining and serve on, and configurations come in
// quick succession. It checks DRAIN for the balancers that were not killed. Four new servers start, and it does the
// same again.
func runExpired(ctx context.Context, w *world) (broken bool, err error) {
	calls := w.observeCalls()
	if err := w.addClients(ctx, 2, lookupRoute, feedService, false, false); err != nil {
		return false, err
	}
	if err := calls.await(ctx, func(c call) bool { return c.path == "/kv-txn" }); err != nil {
		return false, err
	}
	// The first 5 servers are in the first zone, the next 5 in the second one and the next 4 in the third one.
	for shot, fourth := range [shots]int{8, 9, 3} {
		feeds := w.serversOf(feedService)
		leaving := []*server{feeds[shot], feeds[5+shot], feeds[10+shot], feeds[fourth]}
		if broken, err := w.playExpired(ctx, calls, leaving); broken || err != nil {
			return broken, err
		}
		if shot == shots-1 {
			break
		}
		for i := range leaving {
			if _, err := w.addServer(feedService, i%len(zones)); err != nil {
				return false, err
			}
		}
		w.record.say("%d new servers of %s start", len(leaving), feedService)
		// By then the snapshot has the new servers.
		sleep(ctx, 10*time.Second)
	}
	return false, nil
}

func (w *world) playExpired(ctx context.Context, calls *calls, leaving []*server) (broken bool, err error) {
	writer := w.fleet.balancers[calls.mostFrequent("/kv-txn")]
	w.record.say("balancer %d writes the snapshot", writer.number)
	sleep(ctx, 2*time.Second)
	if w.trouble {
		w.fleet.kill(writer)
		w.record.say("balancer %d is killed", writer.number)
	}
	sleep(ctx, 200*time.Millisecond)
	acknowledged := w.leaveSilently(leaving)
	for time.Since(acknowledged) < 2200*time.Millisecond {
		sleep(ctx, 300*time.Millisecond)
		w.putConfiguration()
	}
	calls.forget()
	other := func(c call) bool { return c.balancer != writer.number || !w.trouble }
	if err := calls.await(ctx, func(c call) bool { return c.path == "/kv-watch" && other(c) && c.events > 0 }); err != nil {
		return false, err
	}
	w.putConfiguration()
	if w.trouble {
		writer.seeds = []string{writer.ip.String() + ":8166", w.fleet.address(9, 1).String() + ":8166", w.fleet.address(9, 2).String() + ":8166"}
		if err := w.fleet.start(writer); err != nil {
			return false, err
		}
		w.record.say("balancer %d is started again, with seeds that are down", writer.number)
	}
	sleep(ctx, 5*time.Second)
	return w.checkDrain(leaving, acknowledged, writer), nil
}

// leaveSilently removes the entries of servers, which never say draining and serve on. It returns the time of the
// acknowledgement.
func (w *world) leaveSilently(leaving []*server) time.Time {
	var removals []change
	for _, s := range leaving {
		removals = append(removals, change{s.key(), nil})
	}
	at := w.store.write(removals...)
	for _, s := range leaving {
		w.record.say("server %s (%s, %s) removes its entry without saying draining, and serves on", s.name(), s.service, s.zone)
	}
	return at
}

// checkDrain reports whether new flows reached leaving servers later than the bound after the acknowledgement, through
// other balancers than the one that was disturbed.
func (w *world) checkDrain(leaving []*server, acknowledged time.Time, disturbed *balancer) bool {
	total, last := w.judge.openingsAfter(leaving, acknowledged, netip.AddrPort{})
	if total > 0 {
		w.record.say("DRAIN: %d new flows reached the leaving servers after the acknowledgement, the last one %.3f s after", total, last.Sub(acknowledged).Seconds())
	}
	late, last := w.judge.openingsAfter(leaving, acknowledged.Add(drainBound), disturbed.data())
	if late == 0 {
		return false
	}
	w.record.say("DRAIN: %d of them later than %v after, through other balancers than balancer %d, the last one %.3f s after", late, drainBound, disturbed.number, last.Sub(acknowledged).Seconds())
	return true
}

// runStale freezes the balancer that reads the store twice, with a short time between. In the first freeze the store
// answers its watch with a change. Right after that answer the operators drop a route, and two servers of four say
// draining. It checks CONFIG and DRAIN for the balancers that were not frozen.
func runStale(ctx context.Context, w *world) (broken bool, err error) {
	w.routes[laterRoute] = feedService
	w.putConfiguration()
	if err := w.addClients(ctx, 2, laterRoute, feedService, false, true); err != nil {
		return false, err
	}
	calls := w.observeCalls()
	sleep(ctx, 8*time.Second)
	reader := w.fleet.balancers[calls.mostFrequent("/kv-watch")]
	w.record.say("balancer %d reads the store", reader.number)
	calls.forget()
	if err := calls.await(ctx, func(c call) bool { return c.balancer == reader.number && c.path == "/kv-watch" && c.events == 0 }); err != nil {
		return false, err
	}
	asked := time.Now()
	sleepUntil(ctx, asked.Add(20*time.Millisecond))
	w.freeze(reader)
	sleepUntil(ctx, asked.Add(40*time.Millisecond))
	w.putConfiguration()
	sleepUntil(ctx, asked.Add(60*time.Millisecond))
	delete(w.routes, laterRoute)
	ingests := w.serversOf(ingestService)
	draining := []*server{ingests[0], ingests[2]}
	var drains []change
	for _, s := range draining {
		entry := s.entry()
		entry.State = "draining"
		drains = append(drains, change{s.key(), entry})
		w.record.say("server %s (%s, %s) says draining", s.name(), s.service, s.zone)
	}
	drained := w.store.write(drains...)
	dropped := w.putConfiguration()
	sleepUntil(ctx, asked.Add(1420*time.Millisecond))
	w.wake(reader)
	sleepUntil(ctx, asked.Add(1520*time.Millisecond))
	w.freeze(reader)
	sleepUntil(ctx, asked.Add(5*time.Second))
	w.wake(reader)
	sleep(ctx, 3*time.Second)
	broken = w.checkDrain(draining, drained, reader)
	late, last := w.judge.requestsRun(laterRoute, dropped.Add(configApply), reader.data())
	if late > 0 {
		w.record.say("CONFIG: %d flows of the dropped route, opened later than %v after the acknowledgement, were taken by servers through other balancers than balancer %d, the last one %.3f s after", late, configApply, reader.number, last.Sub(dropped).Seconds())
	}
	return broken || late > 0, nil
}

// freeze and wake stop and continue the process of a balancer, unless the disruption is left out.
func (w *world) freeze(b *balancer) {
	if w.trouble {
		w.fleet.signal(b, syscall.SIGSTOP)
		w.record.say("balancer %d stands still", b.number)
	}
}

func (w *world) wake(b *balancer) {
	if w.trouble {
		w.fleet.signal(b, syscall.SIGCONT)
		w.record.say("balancer %d wakes", b.number)
	}
}

func sleepUntil(ctx context.Context, at time.Time) { sleep(ctx, time.Until(at)) }
