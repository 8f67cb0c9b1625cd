// Package balancer is the decision core of one balancer. Step takes one event
// at a given time and appends the effects that follow from it. It has no clock,
// no socket and no goroutine of its own, and its decisions depend on no map
// order, so that the process and the simulator drive the same code.
//
// Step is safe for use by many workers. Lock order: control, then one flow
// shard, then registry, then deadlines; no lock is taken before one to its left.
package balancer

import (
	"net/netip"
	"time"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/membership"
	"gaugeyard/internal/settings"
)

// PacketKind says what a datagram of a flow is.
type PacketKind uint8

// The kinds of datagrams.
const (
	// Request is a request from a caller.
	Request PacketKind = iota
	// Control is an empty acknowledgement or reset from a caller.
	Control
	// Answer is a response from a back end.
	Answer
	// Acknowledge is an empty acknowledgement or reset from a back end.
	Acknowledge
)

// String returns the kind's name.
func (k PacketKind) String() string {
	return [...]string{"request", "control", "answer", "acknowledge"}[k]
}

// Packet is one datagram of a flow. Decisions read its fields, never its bytes.
type Packet struct {
	Kind PacketKind
	Flow flow.Key
	// Backend is who sent an Answer or Acknowledge.
	Backend   netip.AddrPort
	MessageID uint16
	Token     flow.Token
	// Confirmable is set when the sender waits for an acknowledgement.
	Confirmable bool
	// Continues is set on a later block of an upload that is under way.
	Continues bool
	// Observe is set on a request that opens a feed and on its notifications.
	Observe bool
	// Data is the datagram with its PROXY header; opaque to the core.
	Data []byte
}

// Event is what a driver hands to Step: one of the types below.
type Event interface{ event() }

// Datagram is a packet that the fabric delivered to this balancer.
type Datagram struct{ Packet *Packet }

// PeerMessage is a message from another balancer.
type PeerMessage struct{ Message *Message }

// SettingsRevision is a tree read from the store or handed in by an operator.
type SettingsRevision struct{ Snapshot *settings.Snapshot }

// MachineList is the platform's list of balancers, which lags.
type MachineList struct{ Addresses []netip.AddrPort }

// LoadReport is a back end's own statement of its load, which may lag or lie.
type LoadReport struct {
	Backend netip.AddrPort
	// Utilization is requests running and waiting, divided by slots.
	Utilization float64
}

// Tick lets time pass; a driver sends one every TickInterval.
type Tick struct{}

// Leave starts a planned stop.
type Leave struct{}

func (*Datagram) event()         {}
func (*PeerMessage) event()      {}
func (*SettingsRevision) event() {}
func (*MachineList) event()      {}
func (*LoadReport) event()       {}
func (*Tick) event()             {}
func (*Leave) event()            {}

// TickInterval is the time between two Tick events.
const TickInterval = 100 * time.Millisecond

// EffectKind says what a driver must do.
type EffectKind uint8

// The kinds of effects.
const (
	// ForwardToBackend sends Packet to the back end at To.
	ForwardToBackend EffectKind = iota
	// DeliverToCaller sends Packet to the flow's caller.
	DeliverToCaller
	// AnswerCaller answers the request in Packet as the table row of Error says.
	AnswerCaller
	// SendPeer sends Message to the balancer at To.
	SendPeer
	// StateChanged reports a change of state for the log.
	StateChanged
)

// Effect is one thing that a driver must do.
type Effect struct {
	Kind       EffectKind
	To         netip.AddrPort
	Packet     *Packet
	Message    *Message
	Error      errkind.Kind
	RetryAfter time.Duration
	// State and Subject describe a StateChanged effect.
	State, Subject string
}

// Strategy selects how flows find their back ends.
type Strategy int

// The strategies; all but Replicated are baselines to compare with.
const (
	// Replicated gives each flow an owner and a successor; records travel with
	// the flow's own datagrams.
	Replicated Strategy = iota
	// OwnerOnly gives each flow an owner and no successor.
	OwnerOnly
	// Consistent places each datagram by rendezvous hashing, without state.
	Consistent
	// Modulo places each datagram by hash modulo the number of back ends.
	Modulo
)

// strategyNames are the names used on command lines.
var strategyNames = [...]string{"replicated", "owner", "consistent", "modulo"}

// String returns the strategy's name on command lines.
func (s Strategy) String() string {
	return strategyNames[s]
}

// ParseStrategy returns the strategy with the name.
func ParseStrategy(name string) (Strategy, error) {
	for i, known := range strategyNames {
		if known == name {
			return Strategy(i), nil
		}
	}
	return 0, errkind.New(errkind.Malformed, "strategy %q: allowed are %v", name, strategyNames)
}

// Mechanisms are the parts of the design that an experiment can turn off. The
// zero value has everything on.
type Mechanisms struct {
	NoZoneAwareSuccessor bool
	NoRefusalRecord      bool
	NoContinuity         bool
	NoQuorum             bool
	NoRevisionFence      bool
	NoDrain              bool
	NoAnswerAdoption     bool
	NoAdmission          bool
	NoDeadlineAdmission  bool
	NoRetryBudget        bool
	NoSlowStart          bool
	NoOwnCounts          bool
	NoBackgroundCopy     bool
	NoServiceCheck       bool
	NoSettingsGossip     bool
	NoPlannedLeave       bool
	NoControlBudget      bool
	NoAnswerMemory       bool
}

// Config is what a core is made with.
type Config struct {
	Self membership.Member
	// BootstrapUntil ends the time in which this node may assume that no balancer
	// ran before, so that no request can have run that it does not know of. Zero
	// means that others may have run.
	BootstrapUntil time.Duration
	Strategy       Strategy
	Mechanisms     Mechanisms
	// ControlBytesPerSecond bounds control messages to peers, headers included.
	ControlBytesPerSecond int
	// Measure returns the size of an encoded message in bytes.
	Measure func(*Message) int
}

// DefaultControlBytesPerSecond keeps every window of one second below 4 KB.
const DefaultControlBytesPerSecond = 3800

// DatagramOverhead is the IPv4 and UDP header of one datagram, in bytes.
const DatagramOverhead = 28

// HopLimit is how often a datagram may pass from balancer to balancer.
const HopLimit = 4

// Message is what balancers send each other. Exactly one pointer is set.
type Message struct {
	From            membership.ID
	Relay           *Relay
	Heartbeat       *Heartbeat
	SettingsRequest *SettingsRequest
	SettingsPart    *SettingsPart
	Copy            *Copy
	CopyDone        *CopyDone
	Grant           *Grant
}

// RelayKind says what a relayed datagram asks of its receiver.
type RelayKind uint8

// The kinds of relays.
const (
	// RelayToOwner asks the owner to handle the datagram.
	RelayToOwner RelayKind = iota
	// RelayPropose asks the successor to record a new flow's pin, or to return
	// the one that it holds, and to forward the datagram.
	RelayPropose
	// RelayCopy asks the successor to record a known pin and to forward the datagram.
	RelayCopy
	// RelayRefuse asks the successor to record a refusal and to answer the caller.
	RelayRefuse
	// RelayAdopt tells the owner the pin that the successor holds.
	RelayAdopt
	// RelayTeach asks the successor to record the pin that an answer proved and
	// to deliver the answer.
	RelayCopyAnswer
	// RelayAmbiguous tells the owner that nobody knows whether the flow's
	// requests ran.
	RelayAmbiguous
)

// Relay is a flow's datagram on its way between balancers, with the flow's
// record riding along.
type Relay struct {
	Kind RelayKind
	Hops uint8
	// HeadCovers is set when the proposing owner has been one of the pair for
	// the whole request lifetime, so that a flow it does not know is new.
	HeadCovers bool
	// Backend is the flow's pin; the zero value is none.
	Backend netip.AddrPort
	// Replaces is the pin that a proposal gives up on purpose.
	Replaces netip.AddrPort
	Refusals []Refusal
	Error    errkind.Kind
	// Data is the datagram as received, and Packet what was decoded from it.
	Data   []byte
	Packet *Packet `msgpack:"-"`
}

// Refusal is one request that its caller was told did not run.
type Refusal struct {
	MessageID uint16
	Kind      errkind.Kind
	// LeftMilliseconds is how long the refusal must still be remembered.
	LeftMilliseconds uint32
}

// Heartbeat tells peers that the sender is alive, and which revision it has.
type Heartbeat struct {
	Revision uint64
	// Absent is set while the sender listens before it joins, or leaves; Leaving
	// once it has left for good.
	Absent  bool
	Leaving bool
	// Settled is set when the sender's pairs hold everything twice, so that a
	// join or leave endangers nothing.
	Settled bool
	// GoneOn tells the receiver that the sender decided without it, so that the
	// receiver must stop to vouch for its records; Breaks counts how often the
	// sender has done so.
	DecidedWithout bool
	Invalidations  uint32
	// Introduction is left out where the receiver knows the sender.
	Introduction *Introduction
	// Sequence numbers the heartbeats of one run of a process, because datagrams
	// overtake each other.
	Sequence uint64
}

// Introduction says who the sender of a heartbeat is.
type Introduction struct {
	Address netip.AddrPort
	Zone    string
}

// SettingsRequest asks a peer for the changes since a revision.
type SettingsRequest struct {
	Have uint64
}

// SettingsPart is one of Count datagrams that lead from revision Base to Revision.
type SettingsPart struct {
	Base     uint64
	Revision uint64
	Index    int
	Count    int
	Changes  []settings.Change
}

// Record is a group of flows of one service at one back end, on their way to
// the other node of their pair. Grouping takes 8 bytes a flow in place of 26.
type Record struct {
	Service netip.AddrPort
	// Backend is the zero value for flows whose requests were all refused.
	Backend netip.AddrPort
	Callers []netip.AddrPort
	Refused []RefusedCaller
}

// RefusedCaller has the refusals of one flow of a record.
type RefusedCaller struct {
	// Index is the flow's place in Callers.
	Index    int
	Refusals []Refusal
}

// Copy carries flows that no datagram has taken to the successor yet.
type Copy struct {
	Sequence uint32
	Records  []Record
}

// CopyDone acknowledges a Copy.
type CopyDone struct {
	Sequence uint32
}

// Grant tells the successor that it now holds every record of the partitions
// whose bits are set.
type Grant struct {
	Partitions []byte
}
