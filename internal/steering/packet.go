// Package steering decides where each packet goes on a transport whose packets carry a tag that
// names their back end. Opening packets are placed by the operators' settings and by what this
// balancer observes of the back ends. Every other packet follows its tag, so that any balancer can
// forward it without having seen the flow before. Flows are not replicated.
//
// The package has no clock, socket or goroutine: Steer takes the time and returns a decision, so
// that the process and the simulator run the same code.
//
// Only the caller's side of a flow is visible, since back ends answer callers directly. A copy of
// an opening packet, or retransmitted data, shows that the back end is silent. The time from data
// to the next acknowledgement is its latency. A caller that waits with nothing more to send was
// left unanswered. A response that is much shorter and faster than is typical at its address looks
// like a failure. Other balancers report their loads, suspects and failures.
//
// These states keep new flows away from a back end:
//
//	state              entered by                              left by
//	suspect            an opening packet unanswered for 60 ms  a response, or 0.5 to 8 s
//	silent             two flows or more unanswered            a response, or 2 to 8 s
//	down               four callers or more retransmit,        a response, or 2 s while its entry
//	                   none is answered                        exists; flows whose requests may be
//	                                                           repeated are reset, and idle ones
//	                                                           whose requests may not
//	ended              its entry is removed, and another back  its entry returns; all flows there
//	                   end answers at its address              are reset
//	request failures   requests unanswered for 0.4 s           counts as load, decays in seconds
//	ejected            two responses that look like failures   7 s or more
//	slow               responses that take long                responses that do not
//	warming up         its entry; only a few balancers place   the end of the warm-up
//	                   flows there if its group has a rate
//	near its limit     as many flows as this balancer's share  the end of one
//	cooldown           three requests in a row unanswered by   a response; 0.5 to 8 s, then one
//	                   a whole part of a split service         flow probes the part
//	evacuated          the operators, by its zone              the operators; it is in no pool
//
// Guarantees: an established flow goes to the back end of its tag or record, never elsewhere by
// load. A packet whose tag names no back end is dropped and never refused. An opening packet goes
// only to back ends of its service's groups. If two back ends answer copies of one opening packet,
// the flow stays at the one where it opened; see locate.go.
//
// # Usage
//
//	s := steering.New(steering.Config{Zone: "a", FlowLife: time.Minute})
//	s.SetView(directory.View())
//	decision := s.Steer(now, &packet)    // for each packet
//	s.Pulse(now)                         // every PulseInterval
//	s.Tick(now)                          // about once a second
//	s.SetPeerLoads(loads)                // when other balancers have reported loads
//	inquiries := s.TakeInquiries()       // after Steer: to be sent to other balancers, twice
//	locations := s.Locate(now, inquiries) // of another balancer: to be answered
//	s.ReceiveLocations(now, locations)   // the answers of others
package steering

import (
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

// Kind is what a caller's packet does to its flow.
type Kind uint8

// The kinds of packets.
const (
	// Open requests a new flow.
	Open Kind = iota
	// Established belongs to a flow that a back end has answered.
	Established
	// Close ends the caller's side of the flow.
	Close
	// Abort ends the flow at once.
	Abort
)

// Packet holds the fields of a caller's datagram that a decision depends on.
type Packet struct {
	Flow flow.Key
	Kind Kind
	// Attempt numbers the copies of an opening packet, from 0.
	Attempt uint32
	// Tag names the back end of an established flow.
	Tag directory.Tag
	// Sequence is the caller's position in the data that it sends.
	Sequence uint32
	// Acknowledged is the caller's position in the data that it received. It has no meaning on
	// opening packets.
	Acknowledged uint32
	// Payload is the length of the data in bytes.
	Payload int
	// Waited is set on a packet that is steered again after a decision to wait. Decoders leave it
	// unchanged.
	Waited bool
	// Held is how long a balancer that had not loaded its state yet held the packet. Decoders
	// leave it unchanged.
	Held time.Duration
}

// Action is what to do with a packet.
type Action uint8

// The actions.
const (
	// Forward sends the packet to Decision.Backend.
	Forward Action = iota
	// Refuse tells the caller at once that its flow does not open.
	Refuse
	// Drop discards the packet.
	Drop
	// Wait holds the packet for CopyWait and steers it again, with Waited set.
	Wait
)

// Decision is the result for one packet.
type Decision struct {
	Action Action
	// Backend is where the packet goes; nil unless Action is Forward.
	Backend *directory.Member
	// Tag is what the forwarded packet carries, for the back end to return.
	Tag directory.Tag
	// Reason is why the packet is refused or dropped.
	Reason errkind.Kind
	// Placed is set when the packet opened a flow that had no back end here.
	Placed bool
	// Moved is set when a copy of an opening packet moved away from its unresponsive back end.
	Moved bool
	// Previous is the back end that a moved flow left.
	Previous *directory.Member
	// Load is the load of the chosen back end relative to its slots, Mean that of all candidates,
	// and Candidates their number; set when Placed.
	Load, Mean float64
	Candidates int
	// Repinned is set when the tag named another back end than the one that the flow is known to
	// be pinned to, and the flow stayed there.
	Repinned bool
	// Replaced is the back end of an earlier flow between the same addresses, whose record was dropped
	// since the packet's flow is at another one; nil if none was.
	Replaced *directory.Member
	// Spilled is set when the flow was placed in another zone.
	Spilled bool
	// Part is the group that the flow went to, and PartReason why; set when Placed.
	Part       *settings.Group
	PartReason PartReason
}
