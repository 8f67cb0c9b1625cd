package edge

import (
	"context"
	"errors"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/follow"
)

// maxListingBytes returns how many bytes the machine's link transfers within a time, 0 for no bound.
func (n *Node) maxListingBytes(transfer time.Duration) int64 {
	return int64(n.config().LinkMbps * 1e6 / 8 * transfer.Seconds())
}

// listStore reads a full listing from the store, page by page, and installs it. The first page may have at
// most maxBytes bytes, 0 for no bound.
func (n *Node) listStore(ctx context.Context, maxBytes int64) error {
	paged := follow.NewListing(n.now(), n.revision())
	page, requestedAt, err := n.readPage(ctx, paged, "", maxBytes)
	if err != nil {
		return err
	}
	// The listing is complete up to the revision of the first page. The time for the other pages is no outage.
	confirmedAt := follow.FromStore(requestedAt)
	n.stateMutex.Lock()
	n.detectStoreReturn(confirmedAt, false)
	n.stateMutex.Unlock()
	listing, parts := &page.Listing, page.SnapshotParts
	if page.Next != "" && n.applySummary(listing, "store") {
		// The settings are in force already, and other goroutines read them.
		listing.Settings, listing.Prepared = nil, nil
	}
	for page.Next != "" {
		if !n.continueListing(ctx, paged) {
			return ErrListingAbandoned
		}
		if page, _, err = n.readPage(ctx, paged, page.Next, 0); err != nil {
			return err
		}
		addPage(listing, &page.Listing)
		parts = append(parts, page.SnapshotParts...)
	}
	n.readSnapshot(listing, parts)
	n.replace(listing, "store", confirmedAt)
	return nil
}

func addPage(listing, page *directory.Listing) {
	if page.Settings != nil {
		listing.Settings = page.Settings
	}
	listing.Records = append(listing.Records, page.Records...)
	listing.Evacuations = append(listing.Evacuations, page.Evacuations...)
	listing.Unusable = append(listing.Unusable, page.Unusable...)
}

// readPage reads one page and retries as the listing decides. It returns when the page was requested.
func (n *Node) readPage(ctx context.Context, paged *follow.Listing, after string, maxBytes int64) (page *Page, requestedAt time.Duration, err error) {
	for {
		n.metrics.storeCalls.Inc()
		requestedAt = n.now()
		page, err = n.adapter.Source.Page(ctx, after, maxBytes)
		if err == nil {
			return page, requestedAt, nil
		}
		if errors.Is(err, ErrTooLong) {
			return nil, 0, err
		}
		wait, again := paged.Failed(n.now() - requestedAt)
		if !again || ctx.Err() != nil {
			return nil, 0, err
		}
		n.log.Warn("page of the store read again", "revision", n.revision(), "in_ms", wait.Milliseconds(), "error", err)
		pause(ctx, wait)
	}
}

// continueListing reports, after each page but the last, whether to read on. It waits while other balancers
// may deliver the state first, and returns false when the listing is not needed any more.
func (n *Node) continueListing(ctx context.Context, listing *follow.Listing) bool {
	for ctx.Err() == nil {
		n.stateMutex.Lock()
		index, _, _ := n.peers.Position(n.now())
		step := listing.Next(n.now(), n.directory.Revision(), n.peers.HasLowerRank(n.now()), index)
		n.stateMutex.Unlock()
		if step != follow.WaitForPeers {
			return step == follow.NextPage
		}
		pause(ctx, follow.ListPoll)
	}
	return true
}
