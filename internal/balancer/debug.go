package balancer

import (
	"fmt"
	"time"
)

func (c *Core) DebugPartition(p int, now time.Duration) string {
	pair := c.view.PairAt(p)
	return fmt.Sprintf("pair %d %d self %d covers %v granted %d missing %v walks %d queue %d sent %d joined %v", pair.Owner%1000, pair.Successor%1000, c.self%1000, c.continuity.Covers(p, now, 45*time.Second), c.copier.granted[p]%1000, c.copier.missing[p], c.copier.walks, len(c.copier.queue), len(c.copier.sent), c.detector.Joined())
}
