// Package balancer implements the decision core of a balancer. Step handles one
// event at a given time and appends the resulting effects. The core has no clock,
// socket or goroutine, and its decisions do not depend on map order, so that the
// process and the simulator run the same code.
//
// Step is safe for concurrent use. Lock order: control, one flow shard, registry,
// deadlines.
package balancer

import (
	"net/netip"
	"time"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/membership"
	"gaugeyard/internal/settings"
)

// PacketKind is the kind of a flow's datagram.
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

// Packet is a decoded datagram of a flow. Decisions use its fields; of Data they
// use only the length.
type Packet struct {
	Kind PacketKind
	Flow flow.Key
	// Backend is the sender of an Answer or Acknowledge.
	Backend   netip.AddrPort
	MessageID uint16
	Token     flow.Token
	// Confirmable is set if the sender expects an acknowledgement.
	Confirmable bool
	// Continues is set on a later block of an upload in progress.
	Continues bool
	// Observe is set on a request that opens a feed and on its notifications.
	Observe bool
	// Data is the datagram with its PROXY header. It is opaque to the core.
	Data []byte
}

// Event is an input of Step: one of the types below.
type Event interface{ event() }

// Datagram is a packet delivered by the fabric.
type Datagram struct{ Packet *Packet }

// PeerMessage is a message from another balancer.
type PeerMessage struct{ Message *Message }

// SettingsRevision is a settings tree from the store or an operator.
type SettingsRevision struct{ Snapshot *settings.Snapshot }

// MachineList is the platform's list of balancers, which may be stale.
type MachineList struct{ Addresses []netip.AddrPort }

// LoadReport is the load that a back end reports. It may be stale or wrong.
type LoadReport struct {
	Backend netip.AddrPort
	// Utilization is the number of running and queued requests divided by slots.
	Utilization float64
}

// Tick triggers timers. A driver sends one every TickInterval.
type Tick struct{}

// Leave starts a graceful shutdown.
type Leave struct{}

func (*Datagram) event()         {}
func (*PeerMessage) event()      {}
func (*SettingsRevision) event() {}
func (*MachineList) event()      {}
func (*LoadReport) event()       {}
func (*Tick) event()             {}
func (*Leave) event()            {}

// TickInterval is the interval of Tick events.
const TickInterval = 100 * time.Millisecond

// EffectKind is the kind of action that an effect requires.
type EffectKind uint8

// The kinds of effects.
const (
	// ForwardToBackend sends Packet to the back end at To.
	ForwardToBackend EffectKind = iota
	// DeliverToCaller sends Packet to the flow's caller.
	DeliverToCaller
	// AnswerCaller answers the request in Packet with the response for Error.
	AnswerCaller
	// SendPeer sends Message to the balancer at To.
	SendPeer
	// StateChanged logs a state change.
	StateChanged
)

// Effect is an action for the driver to carry out.
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

// Strategy selects how flows are assigned to back ends.
type Strategy int

// The strategies. All but Replicated are baselines for comparison.
const (
	// Replicated gives each flow an owner and a successor. The flow's own
	// datagrams carry its record to the successor.
	Replicated Strategy = iota
	// OwnerOnly gives each flow an owner and no successor.
	OwnerOnly
	// Consistent routes each datagram by rendezvous hashing, without flow state.
	Consistent
	// Modulo routes each datagram by its hash modulo the number of back ends.
	Modulo
)

var strategyNames = [...]string{"replicated", "owner", "consistent", "modulo"}

// String returns the strategy's command-line name.
func (s Strategy) String() string {
	return strategyNames[s]
}

// ParseStrategy returns the strategy with the command-line name.
func ParseStrategy(name string) (Strategy, error) {
	for i, known := range strategyNames {
		if known == name {
			return Strategy(i), nil
		}
	}
	return 0, errkind.New(errkind.Malformed, "strategy %q: allowed are %v", name, strategyNames)
}

// Mechanisms disables parts of the design for experiments. The zero value enables
// everything.
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

// Config configures a Core.
type Config struct {
	Self membership.Member
	// BootstrapUntil ends the time in which this node may assume that no balancer
	// ran before it, so that no request ran without its knowledge. Zero means that
	// others may have run.
	BootstrapUntil time.Duration
	Strategy       Strategy
	Mechanisms     Mechanisms
	// ControlBytesPerSecond limits control messages to peers, in bytes with
	// headers. 0 selects DefaultControlBytesPerSecond.
	ControlBytesPerSecond int
	// Measure returns the size of an encoded message in bytes.
	Measure func(*Message) int
}

// DefaultControlBytesPerSecond keeps control messages below 4 KB in any second.
const DefaultControlBytesPerSecond = 3800

// DatagramOverhead is the size of the IPv4 and UDP headers, in bytes.
const DatagramOverhead = 28

// HopLimit is the maximum number of relays of a datagram between balancers.
const HopLimit = 4

// Message is a message between balancers. Exactly one pointer is set.
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

// RelayKind is the action that a relayed datagram requests from its receiver.
type RelayKind uint8

// The kinds of relays.
const (
	// RelayToOwner requests that the owner handle the datagram.
	RelayToOwner RelayKind = iota
	// RelayPropose requests that the successor record a new flow's pin and forward
	// the datagram, or return the record that it holds.
	RelayPropose
	// RelayCopy requests that the successor record the pin and forward the datagram.
	RelayCopy
	// RelayRefuse requests that the successor record a refusal and answer the caller.
	RelayRefuse
	// RelayAdopt sends the owner the record that the successor holds.
	RelayAdopt
	// RelayCopyAnswer requests that the successor record the pin and deliver the answer.
	RelayCopyAnswer
	// RelayAmbiguous reports that no node can tell whether the flow's requests ran.
	RelayAmbiguous
)

// Relay is a flow's datagram sent between balancers, with the flow's record.
type Relay struct {
	Kind RelayKind
	Hops uint8
	// OwnerHistoryComplete is set if the proposing owner has a complete history of
	// the partition and has seen every request of the flow.
	OwnerHistoryComplete bool
	// Backend is the back end that the flow is pinned to, or the zero value.
	Backend netip.AddrPort
	// Replaces is the earlier pin that a proposal replaces, or the zero value.
	Replaces netip.AddrPort
	Refusals []Refusal
	Error    errkind.Kind
	// Data is the datagram as received, and Packet its decoded form.
	Data   []byte
	Packet *Packet `msgpack:"-"`
}

// Refusal is a request whose caller was told that it did not run.
type Refusal struct {
	MessageID uint16
	Kind      errkind.Kind
	// RemainingMilliseconds is how long the refusal must still be retained.
	RemainingMilliseconds uint32
}

// Heartbeat reports to peers that the sender is live, and its settings revision.
type Heartbeat struct {
	Revision uint64
	// Absent is set while the sender is not in the view: before it joins and after
	// it withdraws. Leaving is set once it has announced its shutdown.
	Absent  bool
	Leaving bool
	// Settled is set if both nodes of each of the sender's pairs hold every record,
	// so that a join or leave loses none.
	Settled bool
	// DecidedWithout reports that the sender made decisions without the receiver,
	// which must then invalidate its records. Invalidations counts how often the
	// sender has invalidated its own.
	DecidedWithout bool
	Invalidations  uint32
	// Introduction is nil if the receiver knows the sender.
	Introduction *Introduction
	// Sequence orders the heartbeats of one process.
	Sequence uint64
}

// Introduction identifies the sender of a heartbeat.
type Introduction struct {
	Address netip.AddrPort
	Zone    string
}

// SettingsRequest requests the changes since revision Have from a peer.
type SettingsRequest struct {
	Have uint64
}

// SettingsPart is one of Count parts of the changes from revision Base to Revision.
type SettingsPart struct {
	Base     uint64
	Revision uint64
	Index    int
	Count    int
	Changes  []settings.Change
}

// Record is a group of flows of one service pinned to one back end, sent to the
// other node of their pair. Grouping reduces the encoded size per flow.
type Record struct {
	Service netip.AddrPort
	// Backend is the zero value if all requests of the flows were refused.
	Backend netip.AddrPort
	Callers []netip.AddrPort
	Refused []RefusedCaller
}

// RefusedCaller holds the refusals of one flow of a Record.
type RefusedCaller struct {
	// Index is the flow's index in Callers.
	Index    int
	Refusals []Refusal
}

// Copy carries flows that no datagram has replicated yet.
type Copy struct {
	Sequence uint32
	Records  []Record
}

// CopyDone acknowledges a Copy.
type CopyDone struct {
	Sequence uint32
}

// Grant reports to the pair's other node that it now holds every record of the
// partitions whose bits are set.
type Grant struct {
	Partitions []byte
}
