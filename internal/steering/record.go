package steering

import (
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/flow"
)

const (
	// openTimeout is how long an opening flow counts as load; callers abandon it earlier.
	openTimeout = 2 * time.Second
	// idleTimeout is how long a flow may be idle before its pending request no longer counts as
	// load and the flow is no longer reset with its back end. The state of an unused back end is
	// held as long.
	idleTimeout = 15 * time.Second
	// closedRetention is how long a closed flow is stored for late packets.
	closedRetention = 3 * time.Second
	// minRetransmitDelay is the minimum age of a packet for its retransmission to count as evidence
	// that the back end is silent. A copy that comes sooner was queued here.
	minRetransmitDelay = 150 * time.Millisecond
)

// record is what this balancer stores of one flow. No other balancer depends on it: a flow without
// a record is forwarded by its tag.
type record struct {
	key     flow.Key
	member  *directory.Member
	backend *backendState
	// part is the part of the service that the flow's requests count for, nil when adopted.
	part *part
	// opening is set until the caller has acknowledged the back end's answer.
	opening bool
	// openSequence is the caller's sequence on its opening packet.
	openSequence uint32
	// previousTag is the tag of the back end that an earlier copy of the opening packet went to, 0
	// for none.
	previousTag directory.Tag
	// attempt is the number of the last copy of the opening packet that came here.
	attempt uint8
	// inquired is set once another balancer has inquired about the flow while it opened.
	inquired bool
	// closed is set once the caller has closed its side.
	closed bool
	// requestPending is set from a request until its answer begins, and requested once there was one.
	requestPending, requested bool
	// countedSilent is set once the record has counted as evidence that the back end is silent.
	countedSilent bool
	// unanswered is set once the pending request has counted as unanswered.
	unanswered bool
	// tracked is set while the flow is in the steerer's pendingRequests.
	tracked bool
	// sequence and acknowledged are the caller's newest positions.
	sequence, acknowledged uint32
	// responseStart is the caller's position in the data it received when it sent its last request.
	// responseLatency is the time until the answer began, 0 once it was classified.
	responseStart     uint32
	responseLatency   time.Duration
	started, lastSeen time.Duration
	// sentAt is when the opening packet or the last request was sent.
	sentAt time.Duration
}

// addRecord adds a new record, and reports whether there was room for it.
func (s *Steerer) addRecord(rec *record) bool {
	if s.config.MaxFlows > 0 && len(s.flows) >= s.config.MaxFlows {
		return false
	}
	s.flows[rec.key] = rec
	rec.backend.addRecord(rec)
	return true
}

// removeRecord removes a record; nil is allowed.
func (s *Steerer) removeRecord(rec *record) {
	if rec == nil {
		return
	}
	rec.backend.removeRecord(rec)
	rec.requestPending = false
	delete(s.flows, rec.key)
}

// isLateCopy reports whether an opening packet is a late copy of the one that opened this flow. It
// must not reach another back end, whose answer would mislead the caller. The initial sequence of
// an adopted flow is unknown, so any copy that may precede its positions counts as late.
func (r *record) isLateCopy(now time.Duration, packet *Packet) bool {
	if r.opening || r.closed {
		return false
	}
	if r.adopted() {
		return packet.Attempt > 0 && now-r.lastSeen <= openTimeout && (r.sequence == 0 || withinPositionWindow(packet.Sequence, r.sequence))
	}
	return r.openSequence == packet.Sequence
}

// adopted reports whether the flow was opened through another balancer.
func (r *record) adopted() bool {
	return r.part == nil
}

// recordCopy counts a copy of the opening packet as evidence that the back end is silent.
func (r *record) recordCopy(now time.Duration, attempt uint32) {
	r.attempt = max(r.attempt, clampAttempt(attempt))
	if attempt == 0 || r.countedSilent || now-r.sentAt < minRetransmitDelay {
		return
	}
	r.countedSilent = true
	r.backend.recordUnansweredFlow(now, r.sentAt)
}

// received processes what a packet acknowledges of the back end's data.
func (r *record) received(now time.Duration, packet *Packet) {
	r.lastSeen = now
	if r.opening {
		r.opening = false
		r.backend.pool.recordOpened(r.countedSilent)
		r.acknowledged = packet.Acknowledged
		r.sequence = packet.Sequence
		r.backend.recordResponse(now)
		r.backend.opening--
	}
	if sequenceAfter(packet.Acknowledged, r.acknowledged) {
		r.acknowledged = packet.Acknowledged
		if r.answeredAtUnknownTime(packet) {
			r.cancelRequest()
			r.countedSilent = false
			return
		}
		r.answered(now)
	}
}

// answeredAtUnknownTime reports whether the packet acknowledges data that the caller received
// through another balancer: it carries a new request or the end of the flow, and no request was
// pending here, or only an unanswered one. That is no response: the back end may have gone silent
// since.
func (r *record) answeredAtUnknownTime(packet *Packet) bool {
	return (packet.Payload > 0 || packet.Kind != Established) && (!r.requestPending || r.unanswered)
}

// sent processes the data that a packet carries. It reports whether the caller has retransmitted
// data because the back end is silent.
func (r *record) sent(now time.Duration, packet *Packet) (retransmitted bool) {
	if packet.Payload > 0 {
		retransmitted = r.request(now, packet)
	}
	if packet.Kind == Close && !r.closed {
		r.closed = true
		r.backend.flows--
		r.cancelRequest()
	}
	return retransmitted
}

// completesAnswer reports whether a packet shows that the answer to the last request is complete:
// the caller sends another request or ends the flow.
func (r *record) completesAnswer(packet *Packet) bool {
	return packet.Kind == Close || packet.Payload > 0 && sequenceAfter(packet.Sequence+uint32(packet.Payload), r.sequence)
}

// cancelRequest drops the pending request, if any, without recording an answer.
func (r *record) cancelRequest() {
	if !r.requestPending {
		return
	}
	r.requestPending = false
	r.backend.pending--
}

// request processes data of the caller: a new request, more of one, or a retransmission. It reports
// the first retransmission that counts as evidence that the back end is silent.
func (r *record) request(now time.Duration, packet *Packet) (retransmitted bool) {
	end := packet.Sequence + uint32(packet.Payload)
	if r.sequence != 0 && !sequenceAfter(end, r.sequence) {
		if r.requestPending && !r.countedSilent && now-r.sentAt >= minRetransmitDelay {
			r.countedSilent = true
			r.backend.recordUnansweredFlow(now, r.sentAt)
			return true
		}
		return false
	}
	r.sequence = end
	if r.requestPending || r.closed {
		return false
	}
	r.requestPending, r.unanswered = true, false
	r.sentAt, r.responseStart = now, r.acknowledged
	r.backend.pending++
	r.backend.pool.recordRequest()
	if !r.requested {
		// The first request was counted when the flow was placed.
		r.requested = true
		return false
	}
	r.backend.recent++
	r.backend.steady++
	if r.part != nil {
		r.part.requests++
	}
	return false
}

// answered records that the caller received data from the back end.
func (r *record) answered(now time.Duration) {
	r.countedSilent = false
	r.backend.recordResponse(now)
	if !r.requestPending {
		return
	}
	r.requestPending = false
	r.responseLatency = now - r.sentAt
	r.backend.recordAnswer(now, now-r.sentAt, r.sentAt < r.member.WarmUpUntil)
}

// sequenceAfter reports whether position a is after b, modulo 2^32.
func sequenceAfter(a, b uint32) bool {
	return int32(a-b) > 0
}

// Tick ages all counts by one second and removes expired flows. Call it about once a second.
func (s *Steerer) Tick(now time.Duration) {
	for _, rec := range s.flows {
		idle := now - rec.lastSeen
		switch {
		case rec.opening && idle > openTimeout,
			rec.closed && idle > closedRetention,
			idle > s.config.FlowLife,
			now-rec.started > 2*s.config.FlowLife:
			s.removeRecord(rec)
		case idle > idleTimeout:
			rec.cancelRequest()
		}
	}
	for id, state := range s.backends {
		if state.decay(now); state.idle(now) {
			delete(s.backends, id)
			delete(s.removed, id)
		}
	}
	for _, pool := range s.pools {
		pool.decay()
	}
	for _, baseline := range s.baselines {
		baseline.decay()
	}
	s.decayRotations()
	s.expireSearches(now)
}
