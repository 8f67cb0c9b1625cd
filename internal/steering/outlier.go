package steering

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// shortPart and quickPart bound the answers that look like failures: shorter than this part of
	// the lower quartile of the lengths at their address, and sooner than this part of the median
	// time. Of 28,644 sound answers of log-normal length 2 in 100 were so short, and 1 in 10,000 was
	// less than half of the median time besides; of 480 errors where each request has a flow of its
	// own all were short and came in a sixth of the time. On flows that go on errors are mostly not
	// seen, since callers acknowledge a single packet some 40 ms late.
	shortPart = 0.5
	quickPart = 1.0 / 3
	// quantileStep is by which part an estimate of a quantile moves with each answer, and
	// knownShape how many answers it takes to count: within them it moves by up to a factor of 2.
	quantileStep = 0.05
	knownShape   = 30
	// maxShapes bounds the addresses of which answers are remembered, at about 100 B each.
	maxShapes = 10_000
	// failingPart is the part of its answers that a failing back end is taken to fail, leastUsual
	// the part of sound ones that look like failures at the least, which counts as much as
	// usualAnswers answers.
	failingPart  = 0.75
	leastUsual   = 0.001
	usualAnswers = 200
	// countedEvidence is the evidence through one balancer from which on an answer that looks like a
	// failure counts. A balancer of a large zone sees one answer a second, and many back ends may
	// begin to fail at once: that two of its answers in 100 seconds looked so must not make a third
	// the usual thing.
	countedEvidence = 0.8
	// usualDecay is what is left after a second of the answers by which the usual part is worked
	// out: it stands for 100 seconds, so that a fault of some seconds is not taken to be usual.
	usualDecay = 0.99
	// outFailures is the decayed number of failures, through all balancers, from which on a back end
	// is out of rotation: two within two seconds. It is back below backFailures, 7 seconds after two
	// and 11 after ten, and below forgivenFailures it may have less load than others again.
	outFailures      = 1.5
	backFailures     = 0.2
	forgivenFailures = 0.04
	// mostOut is the part of the candidates out of rotation beyond which none is: that so many fail
	// is the service's fault or a mistake, and the rest could not bear their load.
	mostOut = 0.5
	// mostFailures bounds what is taken over of the failures that others tell, so that a wrong word
	// fades within 16 seconds.
	mostFailures = 64
	// mostEvidence bounds what speaks for a failing back end, so that sound answers soon outweigh it.
	mostEvidence = 1.5
)

// evidenceUnit is the evidence, as the logarithm of the ratio of two probabilities, of a single
// answer that looks like a failure at an address where leastUsual of them do. Where more than 4 in
// 1,000 do, it takes two or more through one balancer with few sound ones between to count.
// A sound back end with r answers a second of which a part p looks like failures is taken out
// by mistake at most (r p)^2 times 2 seconds: at 8 a second and 1 in 1,000 once in two hours, at
// 4 in 1,000 once in eight minutes.
var evidenceUnit = math.Log(failingPart / leastUsual)

// soundEvidence is how much a sound answer speaks against a failing back end.
var soundEvidence = -math.Log(1-failingPart) / evidenceUnit

// leastNumber is what a quantile takes smaller numbers for: it moves in proportion, and would never
// leave zero.
const leastNumber = 1e-6

// quantile is an estimate of a quantile of positive numbers that follows them. The zero value
// knows nothing.
type quantile struct {
	value float64
	count int
}

// add takes a number into account: the estimate rises in the part of the cases that are to lie above
// it, and falls in the others, in proportion.
func (q *quantile) add(number, part float64) {
	if q.count == 0 {
		q.value = max(number, leastNumber)
	}
	q.count++
	if number > q.value {
		q.value *= 1 + quantileStep*part
		return
	}
	q.value *= 1 - quantileStep*(1-part)
}

// shapeKey names what is learned of together: the answers at an address of a service and, where the service
// is split, of one part. The part with less weight may answer differently, being another version or another
// service, and must not be taken for failing by what the larger one does.
type shapeKey struct {
	service netip.AddrPort
	part    string
}

// shapeKeyOf returns under which key a flow's answers are learned of.
func (s *Steerer) shapeKeyOf(known *record) shapeKey {
	key := shapeKey{service: known.key.Service}
	if s.view.Settings == nil {
		return key
	}
	if service := s.view.Settings.ServiceAt(key.service); service != nil && len(service.Groups) > 1 {
		key.part = known.member.Group
	}
	return key
}

// answerShape is what answers under one key look like.
type answerShape struct {
	// length is the lower quartile of their lengths in bytes, time the median time in seconds.
	length, time quantile
	// judged counts them, and failures those that look like failures, over a long time, decaying.
	judged, failures float64
}

// add learns from an answer and returns the evidence that it gives of a failing back end: positive
// if it looks like a failure, which is both much shorter and much quicker than is usual.
func (a *answerShape) add(length uint32, latency time.Duration) (evidence float64) {
	const lowerQuartile, median = 0.25, 0.5
	known := a.length.count >= knownShape
	failure := known && float64(length) < shortPart*a.length.value && latency.Seconds() < quickPart*a.time.value
	a.length.add(float64(length), lowerQuartile)
	a.time.add(latency.Seconds(), median)
	if !known {
		return 0
	}
	usual := a.usual()
	a.judged++
	if !failure {
		return -soundEvidence
	}
	a.failures++
	return max(math.Log(failingPart/usual)/evidenceUnit, 0)
}

// usual is the usual part of answers that look like failures.
func (a *answerShape) usual() float64 {
	return (a.failures + leastUsual*usualAnswers) / (a.judged + usualAnswers)
}

// decay lets a second pass.
func (a *answerShape) decay() {
	a.judged *= usualDecay
	a.failures *= usualDecay
}

// Shape is what one balancer has learned of the answers at an address of a service.
type Shape struct {
	Service netip.AddrPort
	// Length is the lower quartile of their lengths in bytes, Time their median time.
	Length uint32
	Time   time.Duration
	// Usual is how many in 100,000 look like failures.
	Usual uint32
}

// usualUnit is what one of Shape.Usual stands for.
const usualUnit = 1e-5

// Shapes returns what this balancer knows of answers: of the addresses with the most answers, at
// most count. Parts of split services are not told.
func (s *Steerer) Shapes(count int) []Shape {
	var shapes []Shape
	for key, shape := range s.shapes {
		if key.part == "" && shape.length.count >= knownShape {
			shapes = append(shapes, Shape{key.service, uint32(shape.length.value), time.Duration(shape.time.value * float64(time.Second)), uint32(shape.usual() / usualUnit)})
		}
	}
	slices.SortFunc(shapes, func(a, b Shape) int {
		return cmp.Or(cmp.Compare(s.shapes[shapeKey{service: b.Service}].length.count, s.shapes[shapeKey{service: a.Service}].length.count), a.Service.Compare(b.Service))
	})
	return shapes[:min(count, len(shapes))]
}

// HearShapes takes over what another balancer knows of answers where this one knows too little: one
// that has just started would need half a minute at 1 answer a second.
func (s *Steerer) HearShapes(shapes []Shape) {
	for _, told := range shapes {
		if told.Length == 0 || told.Time <= 0 || !told.Service.IsValid() {
			continue
		}
		shape := s.shapeOf(shapeKey{service: told.Service})
		if shape.length.count < knownShape {
			shape.length = quantile{float64(told.Length), knownShape}
			shape.time = quantile{told.Time.Seconds(), knownShape}
			shape.judged, shape.failures = usualAnswers, usualAnswers*float64(told.Usual)*usualUnit
		}
	}
}

// shapeOf returns what is known of the answers under a key; of more than maxShapes it begins anew.
func (s *Steerer) shapeOf(key shapeKey) *answerShape {
	shape := s.shapes[key]
	if shape == nil {
		if len(s.shapes) >= maxShapes {
			clear(s.shapes)
		}
		shape = &answerShape{}
		s.shapes[key] = shape
	}
	return shape
}

// noteAnswer judges the answer to the last request of a flow, once the next one or the end of the
// flow shows that it is whole.
func (s *Steerer) noteAnswer(now time.Duration, known *record) {
	if s.config.Mechanisms.NoOutliers || known.member.ColdUntil > now {
		return
	}
	evidence := s.shapeOf(s.shapeKeyOf(known)).add(known.acknowledged-known.askedFrom, known.answerTime)
	known.answerTime = 0
	b := known.backend
	b.failing = min(max(b.failing+evidence, 0), mostEvidence)
	if evidence > 0 && b.failing >= countedEvidence {
		b.failures++
		s.raise(now)
	}
}

// weighFailures makes the load of back ends out of rotation the larger. They are idle, since their
// callers leave them, and must not draw the flows of all others for it: they count as if they had the
// mean load, and each failure as the mean load again, or faultCost requests where that is more. One
// that is back in rotation has the mean load at the least for a while, so that its first flows show
// whether it still fails.
func (s *Steerer) weighFailures() {
	out := 0
	for i := range s.candidates {
		if c := &s.candidates[i]; c.state.outOfRotation(c.failures) {
			out++
		}
	}
	if float64(out) > mostOut*float64(len(s.candidates)) {
		return
	}
	mean := meanLoads(s.candidates)
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.failures < forgivenFailures {
			continue
		}
		c.load, c.soon, c.even = max(c.load, mean.load), max(c.soon, mean.soon), max(c.even, mean.even)
		if !c.state.out {
			continue
		}
		least := faultCost / float64(max(c.member.Slots, 1))
		c.load += c.failures * max(mean.load, least)
		c.soon += c.failures * max(mean.soon, least)
		c.even += c.failures * max(mean.even, least/recentSpan)
	}
}

// outOfRotation tells whether a back end with so many failures is out of rotation.
func (b *backendState) outOfRotation(failures float64) bool {
	out := failures >= outFailures || b.out && failures >= backFailures
	if out == b.out {
		return out
	}
	b.out = out
	observation := BackInRotation
	if out {
		observation = OutOfRotation
	}
	*b.events = append(*b.events, BackendEvent{Observation: observation, Backend: b.id, Failures: failures})
	return out
}

// meanLoads returns a candidate with the mean loads of all.
func meanLoads(candidates []candidate) candidate {
	var mean candidate
	for i := range candidates {
		c := &candidates[i]
		mean.load += c.load
		mean.soon += c.soon
		mean.even += c.even
	}
	n := float64(max(len(candidates), 1))
	mean.load, mean.soon, mean.even = mean.load/n, mean.soon/n, mean.even/n
	return mean
}
