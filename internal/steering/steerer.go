package steering

import (
	"maps"
	"slices"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

const (
	// CopyWait is how long a copy of an opening packet waits if another balancer may have placed
	// the flow: a few times the 2 to 12 ms that an answer and the caller's next packet need, and much
	// less than the 200 ms until a retransmission.
	CopyWait = 20 * time.Millisecond
	// PulseInterval is how often a driver calls Pulse.
	PulseInterval = 125 * time.Millisecond
	// pauseThreshold is the time without a pulse after which the process counts as paused. Routers
	// take longer to reroute copies.
	pauseThreshold = 400 * time.Millisecond
	// pulseSlack is how late a pulse may be before the process counts as short of CPU. For lagTime
	// after that, missing responses may be its own delay.
	pulseSlack = 30 * time.Millisecond
	lagTime    = 150 * time.Millisecond
	// resumeTime is how long after a pause arriving packets may have been queued.
	resumeTime = 50 * time.Millisecond
)

// Steerer makes the decisions of one balancer. It is not safe for concurrent use.
type Steerer struct {
	config   Config
	view     *directory.View
	flows    map[flow.Key]*record
	backends map[settings.BackendID]*backendState
	// removed holds the states in backends whose entries were removed. They are few, so that each
	// view is checked for these only.
	removed map[settings.BackendID]*backendState
	// rotations are by service name.
	rotations map[string]*rotation
	// baselines describe typical responses.
	baselines map[baselineKey]*answerBaseline
	// membership is this balancer's position in its zone, and pools are by the name that back ends
	// announce.
	membership Membership
	pools      map[string]*poolState
	// placement, candidates and latencies are buffers reused by each placement.
	placement  placementState
	candidates []candidate
	latencies  []float64
	// events are observations that the driver has not taken yet.
	events []BackendEvent
	// running is set by the first call, at startedAt. pulse is the time of the last pulse, and
	// resumed the end of the last pause.
	running                   bool
	startedAt, pulse, resumed time.Duration
	// lastLate is when a pulse was last late.
	lastLate time.Duration
	// resets are ended flows that the driver has not taken yet. urgentReport is set when
	// unresponsive back ends should be reported to others at once, and urgentAt is when it was
	// last set.
	resets       []Reset
	urgentReport bool
	urgentAt     time.Duration
	// pending are the flows with a pending request, and lastScan is when they were last searched
	// for unanswered ones.
	pending  pendingRequests
	lastScan time.Duration
	// searches are for flows that may be pinned to another back end than their tags name, and
	// inquiries are those to other balancers that the driver has not taken yet.
	searches  map[flow.Key]search
	inquiries []Inquiry
	// searchTokens is how many more searches were allowed at searchTokensAt.
	searchTokens   float64
	searchTokensAt time.Duration
}

// New returns a steerer without settings and back ends.
func New(config Config) *Steerer {
	return &Steerer{
		config:    config,
		view:      &directory.View{},
		flows:     map[flow.Key]*record{},
		backends:  map[settings.BackendID]*backendState{},
		removed:   map[settings.BackendID]*backendState{},
		rotations: map[string]*rotation{},
		baselines: map[baselineKey]*answerBaseline{},
		pools:     map[string]*poolState{},
		searches:  map[flow.Key]search{},
		resumed:   -resumeTime,
		lastLate:  -lagTime,

		searchTokens: searchBurst,
	}
}

// Pulse shows that the process runs. A driver calls it every PulseInterval.
func (s *Steerer) Pulse(now time.Duration) {
	s.detectPause(now)
	if now-s.pulse > PulseInterval+pulseSlack {
		s.lastLate = now
	}
	s.pulse = now
	s.resetReplaced()
	if now-s.lastScan >= unansweredCheckInterval && !s.config.Mechanisms.NoFaults {
		s.lastScan = now
		s.checkUnanswered(now)
	}
}

// lagging reports whether the process was short of CPU recently, so that responses may be waiting
// in its own queue.
func (s *Steerer) lagging(now time.Duration) bool {
	return now-s.pulse > PulseInterval+pulseSlack || now-s.lastLate < lagTime
}

// detectPause updates the times of the last pulse and the last pause.
func (s *Steerer) detectPause(now time.Duration) {
	switch {
	case !s.running:
		s.running, s.pulse, s.startedAt = true, now, now
	case now-s.pulse > pauseThreshold:
		s.pulse, s.resumed = now, now
	}
}

// Reconfigure changes the configuration.
func (s *Steerer) Reconfigure(config Config) { s.config = config }

// SetView replaces the view of the desired state by a newer one.
func (s *Steerer) SetView(view *directory.View) {
	changed, known := view.ChangedSince(s.view)
	if !known {
		changed = slices.Collect(maps.Keys(s.backends))
	}
	s.view = view
	s.handleRestarts(changed)
	for _, id := range changed {
		s.updateRemoved(id, view.Member(id))
	}
	s.findReplacements()
	s.resetReplaced()
}

// updateRemoved updates removed, and ended, for a back end that changed in the view. member is nil once no flow can be
// pinned to it.
func (s *Steerer) updateRemoved(id settings.BackendID, member *directory.Member) {
	b := s.backends[id]
	if b == nil {
		return
	}
	delete(s.removed, id)
	if member == nil || member.Removed {
		s.removed[id] = b
		return
	}
	b.ended, b.replacements = false, nil
}

// TakeEvents returns the observations since the last call, or nil.
func (s *Steerer) TakeEvents() []BackendEvent {
	if len(s.events) == 0 {
		return nil
	}
	events := s.events
	s.events = nil
	return events
}

// Flows returns how many flows are recorded.
func (s *Steerer) Flows() int { return len(s.flows) }

// Steer decides on one packet. now must never decrease.
func (s *Steerer) Steer(now time.Duration, packet *Packet) Decision {
	s.detectPause(now)
	if packet.Kind == Open {
		return s.steerOpen(now, packet)
	}
	return s.steerEstablished(now, packet)
}

// steerOpen places an opening packet. A copy goes to the back end of the earlier packet, so that
// only one answers, unless that one may take no new flow or is silent.
func (s *Steerer) steerOpen(now time.Duration, packet *Packet) Decision {
	if s.view.Settings == nil {
		return drop(errkind.NotReady)
	}
	if now-s.resumed < resumeTime && !s.config.Mechanisms.NoStandstill {
		// The packet was queued while the process was paused, and a copy has gone through another
		// balancer. A second back end must not answer.
		return drop(errkind.Stale)
	}
	service := s.view.Settings.ServiceAt(packet.Flow.Service)
	if service == nil {
		return refuse(errkind.NoRoute)
	}
	rec := s.flows[packet.Flow]
	if rec != nil && s.opensAnew(now, rec, packet) {
		s.removeRecord(rec)
		rec = nil
	}
	switch {
	case rec == nil && packet.hasBeenCopied():
		return drop(errkind.Stale)
	case rec == nil && packet.Attempt > 0 && s.isSearched(now, packet.Flow):
		return drop(errkind.Undecided)
	case rec == nil && s.mayBePlacedElsewhere(packet):
		if packet.Attempt == 1 && s.losesAnswers() {
			return drop(errkind.Undecided)
		}
		return Decision{Action: Wait}
	case rec == nil || s.config.Mechanisms.NoCopyMemory:
		s.removeRecord(rec)
		return s.place(now, packet, service, nil)
	case rec.isLateCopy(now, packet):
		return drop(errkind.Unexpected)
	}
	rec.recordCopy(now, packet.Attempt)
	if s.acceptsCopy(now, service, rec) {
		rec.lastSeen = now
		return Decision{Action: Forward, Backend: rec.member, Tag: openingTag(rec.member.Tag, packet.Sequence)}
	}
	s.removeRecord(rec)
	decision := s.place(now, packet, service, rec)
	decision.Moved, decision.Previous = true, rec.member
	return decision
}

// mayBePlacedElsewhere reports whether another balancer, or this one before a restart, may have
// placed the flow of an opening packet without a record. If only the answer was lost, the back end
// repeats it about now, and the caller's next packet shows that the flow has opened. A second back
// end must not answer.
func (s *Steerer) mayBePlacedElsewhere(packet *Packet) bool {
	return packet.Attempt > 0 && !packet.Waited && !s.config.Mechanisms.NoCopyWait
}

// losesAnswers reports whether a repeated answer to an opening packet may well be lost too. The
// flow is then placed with the caller's second copy only. Loss is a property of links, so that any
// pool counts: a balancer that has just started knows few.
func (s *Steerer) losesAnswers() bool {
	for _, pool := range s.pools {
		if pool.losesAnswers() {
			return true
		}
	}
	return false
}

// acceptsCopy reports whether the back end of a flow that is still opening may take it by the
// newest view.
func (s *Steerer) acceptsCopy(now time.Duration, service *settings.Service, rec *record) bool {
	if rec.backend.isUnresponsive(now) && !s.config.Mechanisms.NoSuspicion {
		return false
	}
	for i := range service.Groups {
		if service.Groups[i].Share <= 0 {
			continue
		}
		pool := s.view.Pool(service.Groups[i].Discover)
		for _, member := range pool.Open {
			if member.ID == rec.member.ID {
				return true
			}
		}
		if s.acceptsExpired(now, pool, rec.member.ID) {
			return true
		}
	}
	return false
}

// place chooses the back end of a new flow and records it. previous is the record that a copy of
// its opening packet moves away from, or nil.
func (s *Steerer) place(now time.Duration, packet *Packet, service *settings.Service, previous *record) Decision {
	choice := s.choose(now, packet.Flow.Hash(), service, previous)
	if choice.member == nil {
		return refuse(choice.refusal)
	}
	state := s.stateOf(choice.member)
	rec := &record{
		key:          packet.Flow,
		member:       choice.member,
		backend:      state,
		part:         choice.scheduled,
		opening:      true,
		openSequence: packet.Sequence,
		attempt:      clampAttempt(packet.Attempt),
		started:      now,
		lastSeen:     now,
		sentAt:       now,
	}
	if previous != nil {
		rec.previousTag = previous.member.Tag
	}
	if s.addRecord(rec) {
		// Without a record no answer would ever be noticed.
		state.recordOpening(now)
	}
	state.recordPlacement(now)
	state.warmUpNext = now + s.warmUpOf(choice.part.group).interval
	state.probing = state.probing || choice.probe
	choice.scheduled.requests++
	return Decision{
		Action: Forward, Backend: choice.member, Tag: openingTag(choice.member.Tag, packet.Sequence), Placed: true, Spilled: choice.spilled,
		Load: choice.load, Mean: meanLoad(s.candidates), Candidates: len(s.candidates),
		Part: choice.part.group, PartReason: choice.reason,
	}
}

func drop(reason errkind.Kind) Decision {
	return Decision{Action: Drop, Reason: reason}
}

func refuse(reason errkind.Kind) Decision {
	return Decision{Action: Refuse, Reason: reason}
}
