package edge

import (
	"context"
	"errors"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/follow"
)

// mostBytes is how many bytes come over the machine's link within a time, 0 for no bound.
func (n *Node) maxListingBytes(transfer time.Duration) int64 {
	return int64(n.config().LinkMbps * 1e6 / 8 * transfer.Seconds())
}

// listStore reads everything from the store, page by page, and takes it over. The first page may have
// most bytes, 0 for no bound.
func (n *Node) listStore(ctx context.Context, maxBytes int64) error {
	paged := follow.NewListing(n.now(), n.revision())
	page, err := n.readPage(ctx, paged, "", maxBytes)
	if err != nil {
		return err
	}
	// The listing is complete up to the revision of its first page, and the store answered then: how long
	// the rest takes is no outage.
	n.stateMutex.Lock()
	n.recordConfirmation(0, false)
	n.stateMutex.Unlock()
	listing, parts := &page.Listing, page.Kept
	if page.Next != "" && n.applySummary(listing, "store") {
		// They are in force, and read by others.
		listing.Settings, listing.Prepared = nil, nil
	}
	for page.Next != "" {
		if !n.continueListing(ctx, paged) {
			return ErrListingAbandoned
		}
		if page, err = n.readPage(ctx, paged, page.Next, 0); err != nil {
			return err
		}
		addPage(listing, &page.Listing)
		parts = append(parts, page.Kept...)
	}
	n.readSnapshot(listing, parts)
	n.replace(listing, "store", 0)
	return nil
}

// addPage adds what is on a further page.
func addPage(listing, page *directory.Listing) {
	if page.Settings != nil {
		listing.Settings = page.Settings
	}
	listing.Records = append(listing.Records, page.Records...)
	listing.Evacuations = append(listing.Evacuations, page.Evacuations...)
	listing.Unusable = append(listing.Unusable, page.Unusable...)
}

// readPage reads one page, again where the listing says so.
func (n *Node) readPage(ctx context.Context, paged *follow.Listing, after string, maxBytes int64) (*Page, error) {
	for {
		n.metrics.storeCalls.Inc()
		requested := n.now()
		page, err := n.adapter.Source.Page(ctx, after, maxBytes)
		if err == nil {
			return page, nil
		}
		if errors.Is(err, ErrTooLong) {
			return nil, err
		}
		wait, again := paged.Failed(n.now() - requested)
		if !again || ctx.Err() != nil {
			return nil, err
		}
		n.log.Warn("page of the store read again", "revision", n.revision(), "in_ms", wait.Milliseconds(), "error", err)
		pause(ctx, wait)
	}
}

// proceeds asks a listing after each page but the last how it goes on; it returns false
// when it is not needed any more.
func (n *Node) continueListing(ctx context.Context, listing *follow.Listing) bool {
	for ctx.Err() == nil {
		n.stateMutex.Lock()
		index, _, _ := n.peers.Place(n.now())
		step := listing.Next(n.now(), n.directory.Revision(), n.peers.HasLower(n.now()), index)
		n.stateMutex.Unlock()
		if step != follow.WaitForOthers {
			return step == follow.ReadOn
		}
		pause(ctx, follow.ListPoll)
	}
	return true
}
