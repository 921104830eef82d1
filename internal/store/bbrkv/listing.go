package bbrkv

import (
	"context"
	"sync"
	"time"
)

// ScanResult describes what a call of Store.Scan has read.
type ScanResult struct {
	// More reports whether further items follow. It is false after an error.
	More bool
	// AsOf is the revision of the store at which the page was read. After an error, it
	// is a revision at or before that one; 0 if none is known.
	AsOf Revision
	// Bytes is the size of what has arrived of the response body; 0 if it is not known.
	Bytes int
}

// Listing reads all items under a prefix and keeps its position when a call fails, so
// that the next call continues behind the last item that arrived. State and progress
// are zero at first. Read must not be called concurrently; the accessors may be.
//
// The pages are no snapshot: each item is as it was when its page was read, and an item
// that is created or removed meanwhile may be missing or present. A watch that starts
// after AsOf, or after any revision from before the listing began, reports each change
// that the listing has missed, and may report some that it has not.
type Listing struct {
	Store  *Store
	Prefix string
	// OnItem is called for each item as it arrives, in the order of the keys and once
	// for a key. It must not call methods of the listing.
	OnItem func(item Item)

	// after is the key of the last item, and done whether no others follow.
	after string
	done  bool

	mu       sync.Mutex
	progress ListingProgress
}

// ListingProgress is what a listing has read so far.
type ListingProgress struct {
	// Items counts the items, Pages the complete pages, Bytes the bytes of all
	// response bodies, also of those that did not arrive completely.
	Items, Pages, Bytes int
	// LastItem is when the last item arrived; zero before the first.
	LastItem time.Time
	// AsOf is a revision such that a watch that starts after it reports each change of
	// the items read; 0 if none is known yet.
	AsOf Revision
	// Done reports whether all items are read.
	Done bool
}

// Progress returns what has been read so far.
func (l *Listing) Progress() ListingProgress {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.progress
}

// Read reads the pages that are left, and returns nil once all are read. After an error,
// the next call continues behind the last item.
func (l *Listing) Read(ctx context.Context) error {
	for !l.done {
		if err := l.readPage(ctx); err != nil {
			return err
		}
	}
	return nil
}

// readPage reads one page, or what arrives of it.
func (l *Listing) readPage(ctx context.Context) error {
	count := 0
	var newest Revision
	result, err := l.Store.scan(ctx, l.Prefix, l.after, func(item Item) {
		count++
		newest = max(newest, item.Revision)
		l.after = item.Key
		l.recordItem(time.Now())
		l.OnItem(item)
	})
	l.done = err == nil && (!result.More || count == 0)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress.Bytes += result.Bytes
	l.progress.Done = l.done
	if err == nil {
		l.progress.Pages++
	}
	if l.progress.AsOf == 0 && (err == nil || count > 0) {
		// The page was read no earlier than its newest item was written.
		l.progress.AsOf = max(result.AsOf, newest)
	}
	return err
}

func (l *Listing) recordItem(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress.Items++
	l.progress.LastItem = now
}

// scan calls Scan, or Range if the store has no Scan.
func (s *Store) scan(ctx context.Context, prefix, after string, each func(Item)) (ScanResult, error) {
	if s.Scan != nil {
		return s.Scan(ctx, prefix, after, each)
	}
	page, err := s.Range(ctx, prefix, after)
	if err != nil {
		return ScanResult{}, err
	}
	for _, item := range page.Items {
		each(item)
	}
	return ScanResult{More: page.More, AsOf: page.AsOf}, nil
}
