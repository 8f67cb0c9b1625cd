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
	// CopyWait is how long a copy of an opening packet waits that another balancer may have
	// placed: a few times the 2 to 12 ms that a back end's answer and the caller's next packet
	// need, and little beside the 200 ms that the caller has waited already.
	CopyWait = 20 * time.Millisecond
	// PulseInterval is how often a driver calls Pulse.
	PulseInterval = 125 * time.Millisecond
	// standstill is the time without a pulse after which the process has stood
	// still. Routers need longer to send a caller's copies elsewhere.
	pauseThreshold = 400 * time.Millisecond
	// pulseSlack is how much later than due a pulse may come before the process counts as
	// short of processor, and lagTime how long what it takes for silence of others may
	// then be its own delay.
	pulseSlack = 30 * time.Millisecond
	lagTime    = 150 * time.Millisecond
	// resumeTime is how long after a standstill what arrives has waited in a queue.
	resumeTime = 50 * time.Millisecond
)

// Steerer is the decision core of one balancer. It is not safe for concurrent use.
type Steerer struct {
	config   Config
	view     *directory.View
	flows    map[flow.Key]*record
	backends map[settings.BackendID]*backendState
	// departed are those of backends whose entries are gone: they are few, and each view is asked of them alone.
	departed map[settings.BackendID]*backendState
	// splits are by the service's name.
	rotations map[string]*rotation
	// baselines are what answers look like.
	baselines map[baselineKey]*answerBaseline
	// own is where this balancer stands among those of its zone, and pools what it knows of
	// the back ends of each name together.
	own   Place
	pools map[string]*poolState
	// placing and candidates are the memory of placement, reused.
	placing    placing
	candidates []candidate
	means      []float64
	// events are observations that the driver has not taken yet.
	events []BackendEvent
	// running is set by the first sign that the process runs, begun is when it came, pulse the
	// last one, and resumed the end of its last standstill.
	running                   bool
	startedAt, pulse, resumed time.Duration
	// lagged is when a pulse last came late.
	lagged time.Duration
	// resets are flows that were ended and that the driver has not taken yet; alarm is set when
	// others should hear of stalls, and raised when it last was.
	resets []Reset
	alarm  bool
	raised time.Duration
	// awaited are the requests under way, and looked is when those without an answer
	// were last looked for.
	awaited  awaited
	lastScan time.Duration
	// searches are for flows that may rest elsewhere than their tags say, and inquiries what the driver has not taken
	// of them yet.
	searches  map[flow.Key]search
	inquiries []Inquiry
	// searchesLeft is how many more searches were allowed at searchedAt.
	searchesLeft float64
	searchedAt   time.Duration
}

// New returns a steerer that knows no settings and no back ends.
func New(config Config) *Steerer {
	return &Steerer{
		config:    config,
		view:      &directory.View{},
		flows:     map[flow.Key]*record{},
		backends:  map[settings.BackendID]*backendState{},
		departed:  map[settings.BackendID]*backendState{},
		rotations: map[string]*rotation{},
		baselines: map[baselineKey]*answerBaseline{},
		pools:     map[string]*poolState{},
		searches:  map[flow.Key]search{},
		resumed:   -resumeTime,
		lagged:    -lagTime,

		searchesLeft: searchBurst,
	}
}

// Pulse tells that the process runs. A driver calls it every PulseInterval.
func (s *Steerer) Pulse(now time.Duration) {
	s.detectPause(now)
	if now-s.pulse > PulseInterval+pulseSlack {
		s.lagged = now
	}
	s.pulse = now
	if now-s.lastScan >= lookInterval && !s.config.Mechanisms.NoFaults {
		s.lastScan = now
		s.noteUnanswered(now)
	}
}

// lagging tells whether the process has been short of processor just now: answers to it
// may wait in its own queue.
func (s *Steerer) lagging(now time.Duration) bool {
	return now-s.pulse > PulseInterval+pulseSlack || now-s.lagged < lagTime
}

// noteStandstill finds out whether the process stood still until now.
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

// SetView takes over a newer view of the desired state.
func (s *Steerer) SetView(view *directory.View) {
	changed, known := view.ChangedSince(s.view)
	if !known {
		changed = slices.Collect(maps.Keys(s.backends))
	}
	s.view = view
	s.handleRestarts(changed)
	for _, id := range changed {
		s.noteMember(id, view.Member(id))
	}
	s.noteEnded()
}

// noteMember takes over whether the entry of a back end is there; member is nil once no flow can rest on it.
func (s *Steerer) noteMember(id settings.BackendID, member *directory.Member) {
	b := s.backends[id]
	if b == nil {
		return
	}
	delete(s.departed, id)
	if member == nil || member.Gone {
		s.departed[id] = b
		return
	}
	b.ended = false
}

// TakeEvents returns the observations since the last call, mostly none.
func (s *Steerer) TakeEvents() []BackendEvent {
	if len(s.events) == 0 {
		return nil
	}
	events := s.events
	s.events = nil
	return events
}

// Flows returns how many flows are remembered.
func (s *Steerer) Flows() int { return len(s.flows) }

// Steer decides on one packet at now, a time that never goes back.
func (s *Steerer) Steer(now time.Duration, packet *Packet) Verdict {
	s.detectPause(now)
	if packet.Kind == Open {
		return s.steerOpen(now, packet)
	}
	return s.steerEstablished(now, packet)
}

// steerOpen places an opening packet. A copy goes where the flow's earlier packet
// went, so that not two back ends answer it, unless that one may take no new flow
// any more or is known to be silent.
func (s *Steerer) steerOpen(now time.Duration, packet *Packet) Verdict {
	if s.view.Settings == nil {
		return drop(errkind.NotReady)
	}
	if now-s.resumed < resumeTime && !s.config.Mechanisms.NoStandstill {
		// It waited while the process stood still. A copy has gone through another
		// balancer meanwhile; a second back end must not answer now.
		return drop(errkind.Stale)
	}
	service := s.view.Settings.ServiceAt(packet.Flow.Service)
	if service == nil {
		return refuse(errkind.NoRoute)
	}
	known := s.flows[packet.Flow]
	switch {
	case known == nil && packet.hasBeenCopied():
		return drop(errkind.Stale)
	case known == nil && packet.Attempt > 0 && s.isSought(now, packet.Flow):
		return drop(errkind.Undecided)
	case known == nil && s.mayBePlacedElsewhere(packet):
		if packet.Attempt == 1 && s.losesAnswers() {
			return drop(errkind.Undecided)
		}
		return Verdict{Action: Wait}
	case known == nil || s.config.Mechanisms.NoCopyMemory:
		s.forget(known)
		return s.place(now, packet, service, nil)
	case known.isOpenFor(now, packet):
		return drop(errkind.Unexpected)
	case !known.opening || known.openSequence != packet.Sequence:
		s.forget(known)
		return s.place(now, packet, service, nil)
	}
	known.noteCopy(now, packet.Attempt)
	if s.acceptsCopy(now, service, known) {
		known.lastSeen = now
		return Verdict{Action: Forward, Backend: known.member, Tag: openingTag(known.member.Tag, packet.Sequence)}
	}
	s.forget(known)
	verdict := s.place(now, packet, service, known)
	verdict.Moved, verdict.Previous = true, known.member
	return verdict
}

// mayBePlaced tells whether another balancer, or this one before it was started again, may have
// placed the flow of an opening packet that is not known here: copies come after the first one
// was not answered. A back end whose answer was lost repeats it just then; its caller's next
// packet shows in a moment that the flow has opened, and a second back end must not answer as well.
func (s *Steerer) mayBePlacedElsewhere(packet *Packet) bool {
	return packet.Attempt > 0 && !packet.Waited && !s.config.Mechanisms.NoCopyWait
}

// losesAnswers tells whether answers to opening packets are lost so often that the first repetition of
// one may well be lost too. Its next repetition and the caller's second copy come 0.4 s later: only that
// copy is placed then. Links lose them whatever the service, and a balancer that has just started knows
// of few.
func (s *Steerer) losesAnswers() bool {
	for _, pool := range s.pools {
		if pool.losesAnswers() {
			return true
		}
	}
	return false
}

// mayOpen tells whether the back end of a flow that is still opening may take it
// by the newest view.
func (s *Steerer) acceptsCopy(now time.Duration, service *settings.Service, known *record) bool {
	if known.backend.suspected(now) && !s.config.Mechanisms.NoSuspicion {
		return false
	}
	for i := range service.Groups {
		if service.Groups[i].Share <= 0 {
			continue
		}
		pool := s.view.Pool(service.Groups[i].Discover)
		for _, member := range pool.Open {
			if member.ID == known.member.ID {
				return true
			}
		}
		if s.keepsLapsed(now, pool, known.member.ID) {
			return true
		}
	}
	return false
}

// place chooses the back end of a new flow and remembers it. left is the flow's earlier place, which a
// copy of its opening packet leaves, nil for none.
func (s *Steerer) place(now time.Duration, packet *Packet, service *settings.Service, left *record) Verdict {
	choice := s.choose(now, packet.Flow.Hash(), service, left)
	if choice.member == nil {
		return refuse(choice.refusal)
	}
	state := s.stateOf(choice.member)
	known := &record{
		key:          packet.Flow,
		member:       choice.member,
		backend:      state,
		turn:         choice.scheduled,
		opening:      true,
		openSequence: packet.Sequence,
		attempt:      lastAttempt(packet.Attempt),
		started:      now,
		lastSeen:     now,
		askedAt:      now,
	}
	if left != nil {
		known.left = left.member.Tag
	}
	if s.remember(known) {
		// Without a record nothing would ever show that the back end answered.
		state.asked(now)
	}
	state.notePlaced(now)
	state.warmUpNext = now + s.warmUpOf(choice.part.group).interval
	state.trial = state.trial || choice.probe
	choice.scheduled.count++
	return Verdict{
		Action: Forward, Backend: choice.member, Tag: openingTag(choice.member.Tag, packet.Sequence), Placed: true, Spilled: choice.spilled,
		Load: choice.load, Mean: meanLoad(s.candidates), Candidates: len(s.candidates),
		Part: choice.part.group, PartReason: choice.reason,
	}
}

func drop(reason errkind.Kind) Verdict {
	return Verdict{Action: Drop, Reason: reason}
}

func refuse(reason errkind.Kind) Verdict {
	return Verdict{Action: Refuse, Reason: reason}
}
