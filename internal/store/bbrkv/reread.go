package bbrkv

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// reread collects all items under a prefix, with the changes since it began.
type reread struct {
	listing Listing
	items   map[string]Item
	begun   time.Time
	// revision is that up to which changes are applied; 0 if it is not known yet.
	revision Revision
	// caughtUpAt is when changes were applied last.
	caughtUpAt time.Time
	// unreported are the events that were applied, but not reported as changes.
	unreported []Item
}

// newReread returns an empty collection. The revision is one up to which the caller knows
// the changes, 0 if there is none.
func newReread(store *Store, prefix string, revision Revision, now time.Time) *reread {
	r := &reread{items: make(map[string]Item), begun: now, revision: revision, caughtUpAt: now}
	r.listing = Listing{Store: store, Prefix: prefix, OnItem: func(item Item) { r.items[item.Key] = item }}
	return r
}

// apply applies an event.
func (r *reread) apply(event Item) {
	switch {
	case event.Revision < r.items[event.Key].Revision:
	case event.Deleted:
		delete(r.items, event.Key)
	default:
		r.items[event.Key] = event
	}
}

// sorted returns the items in the order of their keys.
func (r *reread) sorted() []Item {
	return slices.SortedFunc(maps.Values(r.items), func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
}
