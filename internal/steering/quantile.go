package steering

const (
	// quantileStep is the relative step of an estimate per sample.
	quantileStep = 0.05
	// minNumber replaces smaller first samples: steps are relative, and an estimate of zero would
	// never change.
	minNumber = 1e-6
)

// quantile is a running estimate of a quantile of positive numbers. The zero value is empty.
type quantile struct {
	value float64
	count int
}

// add adds a sample: an estimate below it rises in proportion to part, the share of samples above
// the quantile, and otherwise falls in proportion to the rest.
func (q *quantile) add(number, part float64) {
	if q.count == 0 {
		q.value = max(number, minNumber)
	}
	q.count++
	if number > q.value {
		q.value *= 1 + quantileStep*part
		return
	}
	q.value *= 1 - quantileStep*(1-part)
}
