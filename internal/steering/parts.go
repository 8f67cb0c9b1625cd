package steering

import (
	"math"
	"slices"

	"gaugeyard/internal/settings"
)

// A service may be split into parts, groups with a share each. Each balancer keeps the shares of
// its own new flows. Balancers start at different positions of the rotation, since otherwise all
// would send their few first flows to the largest part. A part that cannot take a flow passes it
// on and loses its place in the rotation, so that it gets no more than its share once it recovers.

const (
	// rotationStep is the distance between positions on the unit circle of the shares. The golden
	// ratio spreads the positions of each part evenly, wherever the first one is.
	rotationStep = 0.6180339887498949
	// maxCorrection is how far shares of new flows may deviate to correct for different request
	// rates. It is small since operators weigh new flows.
	maxCorrection = 0.05
	// priorShareRequests is added to the counts, divided by the shares, so that few requests cause
	// no correction.
	priorShareRequests = 50
	// partCountDecay is the factor per second for the request count of a part.
	partCountDecay = 0.97
)

// PartReason is why a flow went to a part of its service.
type PartReason uint8

// The reasons. All but the first two say why the scheduled part could not take the flow.
const (
	// PartOnly means that the service has one part.
	PartOnly PartReason = iota
	// PartScheduled means that the part was scheduled.
	PartScheduled
	// PartEmpty means that it has no back end outside of evacuated zones.
	PartEmpty
	// PartUnresponsive means that no back end answers opening packets or requests.
	PartUnresponsive
	// PartWarmingUp means that its back ends are warming up and get no flow from this balancer
	// now.
	PartWarmingUp
	// PartFull means that all are near their limit of flows, PartEjected that all are ejected.
	PartFull
	PartEjected

	partReasons
)

// PartReasons returns all reasons.
func PartReasons() []PartReason {
	reasons := make([]PartReason, partReasons)
	for i := range reasons {
		reasons[i] = PartReason(i)
	}
	return reasons
}

// String returns the name in logs and metrics.
func (r PartReason) String() string {
	return [...]string{"only", "turn", "empty", "dark", "cold", "full", "out_of_rotation"}[r]
}

// rotation schedules the parts of one service by their shares.
type rotation struct {
	// position is the last position on the unit circle.
	position float64
	// parts are those with a share in service, the settings that they were read from.
	service *settings.Service
	parts   []*part
	targets []float64
	order   []*part
}

// part is a group of a split service.
type part struct {
	group *settings.Group
	// share is its share of new flows, and requests the decaying count on flows scheduled for it.
	share, requests float64
}

// newRotation starts at a position that depends on the hash.
func newRotation(hash uint64) *rotation {
	return &rotation{position: float64(hash>>11) / (1 << 53)}
}

// update reads the shares of a service, and resets the counts if these have changed.
func (r *rotation) update(service *settings.Service) {
	if r.service == service {
		return
	}
	r.service = service
	previous := r.parts
	r.parts = nil
	sum := 0.0
	for i := range service.Groups {
		if group := &service.Groups[i]; group.Share > 0 {
			r.parts = append(r.parts, partFor(previous, group))
			sum += group.Share
		}
	}
	changed := len(r.parts) != len(previous)
	for _, p := range r.parts {
		share := p.group.Share / sum
		changed = changed || share != p.share
		p.share = share
	}
	if !changed {
		return
	}
	for _, p := range r.parts {
		p.requests = 0
	}
}

// partFor returns the part of the group with its counts, or a new one.
func partFor(previous []*part, group *settings.Group) *part {
	for _, p := range previous {
		if p.group.Path == group.Path && p.group.Discover == group.Discover {
			p.group = group
			return p
		}
	}
	return &part{group: group}
}

// next returns the parts in the order in which they are tried: the scheduled one, then the others
// by their shares. previous is the part that the flow was scheduled for before and comes first
// again, or nil. The result is valid until the next call.
func (r *rotation) next(previous *part) []*part {
	if len(r.parts) < 2 {
		return r.parts
	}
	r.computeTargets()
	r.order = append(r.order[:0], r.parts...)
	if at := slices.Index(r.order, previous); at >= 0 {
		previous.requests = max(previous.requests-1, 0)
		r.order[0], r.order[at] = r.order[at], r.order[0]
		return r.order
	}
	r.position = math.Mod(r.position+rotationStep, 1)
	position := r.position
	for i := range r.order {
		position = selectPart(r.order[i:], r.targets[i:], position)
	}
	return r.order
}

// computeTargets computes the share of new flows that each part should get.
func (r *rotation) computeTargets() {
	total := float64(priorShareRequests)
	for _, p := range r.parts {
		total += p.requests
	}
	r.targets = r.targets[:0]
	for _, p := range r.parts {
		share := (p.requests + priorShareRequests*p.share) / total
		limit := min(maxCorrection, p.share/2)
		r.targets = append(r.targets, p.share+max(-limit, min(p.share-share, limit)))
	}
}

// selectPart moves the part at the position to the front, and returns the position within its
// range, which orders the other parts.
func selectPart(parts []*part, targets []float64, position float64) float64 {
	sum := 0.0
	for _, target := range targets {
		sum += target
	}
	from, at := 0.0, 0
	for at = range targets {
		if position*sum < from+targets[at] || at == len(targets)-1 {
			break
		}
		from += targets[at]
	}
	within := (position*sum - from) / targets[at]
	parts[0], parts[at] = parts[at], parts[0]
	targets[0], targets[at] = targets[at], targets[0]
	return min(max(within, 0), 1)
}

// rotationOf returns the rotation of the service. The hash of the first flow differs between
// balancers.
func (s *Steerer) rotationOf(service *settings.Service, hash uint64) *rotation {
	r := s.rotations[service.Name]
	if r == nil {
		r = newRotation(hash)
		s.rotations[service.Name] = r
	}
	r.update(service)
	return r
}

// serviceReplaced reports whether the address no longer belongs to a service of the name.
func (s *Steerer) serviceReplaced(name string, service *settings.Service) bool {
	if s.view.Settings == nil {
		return false
	}
	current := s.view.Settings.ServiceAt(service.Address)
	return current == nil || current.Name != name
}

// decayRotations ages the counts by one second.
func (s *Steerer) decayRotations() {
	for name, r := range s.rotations {
		if s.serviceReplaced(name, r.service) {
			delete(s.rotations, name)
			continue
		}
		for _, p := range r.parts {
			p.requests *= partCountDecay
		}
	}
}
