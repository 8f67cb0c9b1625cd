package directory

// maxGaps bounds the gaps that are told apart.
const maxGaps = 16

// gap is a range of revisions, without its ends, in which back ends may have come and gone unknown to this balancer: it
// was complete to from when it listed everything at to. Who is complete to a revision within may know such a back
// end, and would never hear of its end in what changed since then. At a process's first listing from is 0.
type gap struct{ from, to uint64 }

// noteListed notes that everything was listed at a revision.
func (d *Directory) recordGap(revision uint64) {
	if revision <= d.revision {
		return
	}
	d.gaps = append(d.gaps, gap{d.revision, revision})
	if len(d.gaps) > maxGaps {
		// The two oldest become one, which leaves out what lies between: those that are so far behind list anew.
		d.gaps[1].from = d.gaps[0].from
		d.gaps = d.gaps[1:]
	}
}

// missed tells whether what changed since a revision is not known whole.
func (d *Directory) inGap(after uint64) bool {
	for _, gap := range d.gaps {
		if gap.from < after && after < gap.to {
			return true
		}
	}
	return false
}
