package directory

// maxGaps bounds how many gaps are remembered separately.
const maxGaps = 16

// gap is a range of revisions, both ends excluded, in which back ends may have been added and removed unknown to
// this balancer: it was complete to from, then listed everything at to. A balancer that is complete to a revision
// within the range may know such a back end, and would not receive its removal with the changes since then. For
// the first listing of a process, from is 0.
type gap struct{ from, to uint64 }

// recordGap records that everything was listed at a revision.
func (d *Directory) recordGap(revision uint64) {
	if revision <= d.revision {
		return
	}
	d.gaps = append(d.gaps, gap{d.revision, revision})
	if len(d.gaps) > maxGaps {
		// Merges the two oldest gaps and the range between them; balancers that far behind request a listing.
		d.gaps[1].from = d.gaps[0].from
		d.gaps = d.gaps[1:]
	}
}

// inGap reports whether the changes since a revision are not known completely.
func (d *Directory) inGap(after uint64) bool {
	for _, gap := range d.gaps {
		if gap.from < after && after < gap.to {
			return true
		}
	}
	return false
}
