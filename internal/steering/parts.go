package steering

import (
	"math"
	"slices"

	"gaugeyard/internal/settings"
)

// A service may be split into parts, groups with a share each. Each balancer alone keeps to the shares of
// new flows, and tells nobody: of 70 balancers each sees few flows, so that they begin at different places,
// or all of them would give their first flows to the part with the largest share. A part that can take none
// now gives its turn to the others. That counts as its turn, so that it has its share again, and no more,
// with the first flow that finds it able: whether it is able is asked anew for each flow, and what
// speaks against its back ends (a doubt of 0.5 to 8 s, 7 s and more out of rotation) lasts by itself.

const (
	// goldenStep is how far turns lie apart on the circle of the shares. By the golden ratio the turns of any
	// part are as even as they can be, wherever the first one lies.
	rotationStep = 0.6180339887498949
	// mostCorrection is by how much new flows may miss their part's share to correct what flows ask for later:
	// a part whose flows ask more often gets fewer of them. Operators weigh new flows, so that it is little.
	maxCorrection = 0.05
	// usualRequests is how many requests, as the shares want them, are counted beside those that were seen, so
	// that a few do not count as a miss.
	priorShareRequests = 50
	// partDecay is what of a part's count is left after a second.
	partCountDecay = 0.97
)

// PartReason is why a flow went to the part of its service that it went to.
type PartReason uint8

// The reasons. All but the first two say what kept the part from its turn.
const (
	// PartOnly is a service of one part.
	PartOnly PartReason = iota
	// PartTurn is the part whose turn it was.
	PartTurn
	// PartEmpty is no back end, or none outside of evacuated zones.
	PartEmpty
	// PartDark is none that answers, be it opening packets or requests.
	PartDark
	// PartCold is none but such as warm up and get their flows from others now.
	PartCold
	// PartFull is all near their limit of flows, and PartOut all out of rotation.
	PartFull
	PartOut

	partReasons
)

// PartReasons lists all reasons.
func PartReasons() []PartReason {
	reasons := make([]PartReason, partReasons)
	for i := range reasons {
		reasons[i] = PartReason(i)
	}
	return reasons
}

// String returns the word of logs and counters.
func (r PartReason) String() string {
	return [...]string{"only", "turn", "empty", "dark", "cold", "full", "out_of_rotation"}[r]
}

// split is whose turn it is among the parts of one service.
type rotation struct {
	// at is the place on the circle of the next turn, from 0 to 1.
	position float64
	// parts are those with a share, as the settings that they were read from have them.
	service *settings.Service
	parts   []*part
	targets []float64
	order   []*part
}

// part is a group of a split service.
type part struct {
	group *settings.Group
	// share is its part of new flows, and count the decaying number of requests on flows that had
	// its turns.
	share, count float64
}

// newSplit begins at a place that differs from balancer to balancer.
func newRotation(hash uint64) *rotation {
	return &rotation{position: float64(hash>>11) / (1 << 53)}
}

// take reads the shares of a service. Where these have changed, what was counted by the old ones does not
// count against the new ones.
func (s *rotation) update(service *settings.Service) {
	if s.service == service {
		return
	}
	s.service = service
	before := s.parts
	s.parts = nil
	sum := 0.0
	for i := range service.Groups {
		if group := &service.Groups[i]; group.Share > 0 {
			s.parts = append(s.parts, partFor(before, group))
			sum += group.Share
		}
	}
	changed := len(s.parts) != len(before)
	for _, p := range s.parts {
		share := p.group.Share / sum
		changed = changed || share != p.share
		p.share = share
	}
	if !changed {
		return
	}
	for _, p := range s.parts {
		p.count = 0
	}
}

// partOf returns the part of the group, which keeps its counts.
func partFor(known []*part, group *settings.Group) *part {
	for _, p := range known {
		if p.group.Path == group.Path && p.group.Discover == group.Discover {
			p.group = group
			return p
		}
	}
	return &part{group: group}
}

// turn returns the parts in the order in which they are asked to take a flow: the one whose turn it
// is, and the others as their shares divide its turns. had is the part whose turn was used for the flow
// before and counts no more, nil for none. The list is valid until the next call.
func (s *rotation) next(had *part) []*part {
	if len(s.parts) < 2 {
		return s.parts
	}
	s.computeTargets()
	s.order = append(s.order[:0], s.parts...)
	if at := slices.Index(s.order, had); at >= 0 {
		had.count = max(had.count-1, 0)
		s.order[0], s.order[at] = s.order[at], s.order[0]
		return s.order
	}
	s.position = math.Mod(s.position+rotationStep, 1)
	place := s.position
	for i := range s.order {
		place = selectPart(s.order[i:], s.targets[i:], place)
	}
	return s.order
}

// aim works out which part of new flows each part should get.
func (s *rotation) computeTargets() {
	total := float64(priorShareRequests)
	for _, p := range s.parts {
		total += p.count
	}
	s.targets = s.targets[:0]
	for _, p := range s.parts {
		has := (p.count + priorShareRequests*p.share) / total
		most := min(maxCorrection, p.share/2)
		s.targets = append(s.targets, p.share+max(-most, min(p.share-has, most)))
	}
}

// pickPart brings the part to the front at whose targets the place lies, and returns the place within it,
// by which its turns are divided among the others.
func selectPart(parts []*part, targets []float64, place float64) float64 {
	sum := 0.0
	for _, target := range targets {
		sum += target
	}
	from, at := 0.0, 0
	for at = range targets {
		if place*sum < from+targets[at] || at == len(targets)-1 {
			break
		}
		from += targets[at]
	}
	within := (place*sum - from) / targets[at]
	parts[0], parts[at] = parts[at], parts[0]
	targets[0], targets[at] = targets[at], targets[0]
	return min(max(within, 0), 1)
}

// split returns whose turn it is among the parts of the service. The hash of the first flow that came
// differs between balancers, also before they have heard of each other.
func (s *Steerer) rotationOf(service *settings.Service, hash uint64) *rotation {
	known := s.rotations[service.Name]
	if known == nil {
		known = newRotation(hash)
		s.rotations[service.Name] = known
	}
	known.update(service)
	return known
}

// renamed tells whether no service of the name stands at the address any more.
func (s *Steerer) serviceReplaced(name string, service *settings.Service) bool {
	if s.view.Settings == nil {
		return false
	}
	current := s.view.Settings.ServiceAt(service.Address)
	return current == nil || current.Name != name
}

// decaySplits lets a second pass.
func (s *Steerer) decaySplits() {
	for name, known := range s.rotations {
		if s.serviceReplaced(name, known.service) {
			delete(s.rotations, name)
			continue
		}
		for _, p := range known.parts {
			p.count *= partCountDecay
		}
	}
}
