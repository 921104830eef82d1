package bbrkv

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Revision is a position in the history of the store. It rises with each
// change.
type Revision int64

// Lease identifies a lease of the store; 0 means none.
type Lease int64

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the last change, and Created that of the creation.
	Revision, Created Revision
	Lease             Lease
	// Deleted marks the event of a removal; the value is empty then.
	Deleted bool
}

// Page is a part of the items under a prefix.
type Page struct {
	Items []Item
	More  bool
	// AsOf is the store's revision.
	AsOf Revision
}

// Condition holds while the key's last change is the revision; 0 means that
// the key does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a key.
type Put struct {
	Key   string
	Value []byte
	Lease Lease
}

// MaxTransactionSize is how many conditions, puts and removals together a
// transaction holds.
const MaxTransactionSize = 32

// Transaction is carried out whole or not at all.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Removals   []string
}

// Size is what counts towards MaxTransaction.
func (t *Transaction) Size() int { return len(t.Conditions) + len(t.Puts) + len(t.Removals) }

// Errors of the store.
var (
	// ErrRefused means that nothing was done: the store is over its rate or
	// turns the caller away.
	ErrRefused = errors.New("the store refused the call")
	// ErrAnswerLost means that no whole answer came: the call may have been carried
	// out, or may be later.
	ErrAnswerLost = errors.New("the store's answer was lost")
	// ErrCompacted means that the history after the revision is gone.
	ErrCompacted = errors.New("the store's history is gone")
	// ErrNotFound means that there is no such key or lease.
	ErrNotFound = errors.New("not found in the store")
	// ErrInvalid means that the store does not take the call at all.
	ErrInvalid = errors.New("the store does not accept the call")
)

// Conflict means that a condition of a transaction did not hold. Items has the
// present state of its keys; absent keys are left out.
type Conflict struct {
	Items map[string]Item
}

// Error implements error.
func (c *Conflict) Error() string { return "a condition of the transaction does not hold" }

// Store is the calls of the store. All reads are linearizable.
type Store struct {
	Get    func(ctx context.Context, key string) (Item, error)
	Range  func(ctx context.Context, prefix, after string) (Page, error)
	Watch  func(ctx context.Context, prefix string, after Revision, wait time.Duration) (Page, error)
	Commit func(ctx context.Context, transaction Transaction) (Revision, error)
	Grant  func(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	Renew  func(ctx context.Context, lease Lease) (time.Duration, error)
	Revoke func(ctx context.Context, lease Lease) error
}

// ReadAll reads every item under a prefix. The revision is one at which a watch
// misses nothing.
func (s *Store) ReadAll(ctx context.Context, prefix string) ([]Item, Revision, error) {
	var items []Item
	var asOf Revision
	after := ""
	for {
		page, err := s.Range(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if asOf == 0 {
			asOf = page.AsOf
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, asOf, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// KeyGroup returns the beginning of a key or prefix that names what it is about, for
// counters: its first two parts.
func KeyGroup(key string) string {
	parts := strings.SplitN(key, "/", 3)
	return strings.Join(parts[:min(2, len(parts))], "/")
}

// Outcome names an outcome for counters.
func Outcome(err error) string {
	var conflict *Conflict
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.Is(err, ErrRefused):
		return "refused"
	case errors.Is(err, ErrAnswerLost):
		return "lost"
	case errors.Is(err, ErrCompacted):
		return "compacted"
	case errors.Is(err, ErrNotFound):
		return "notFound"
	default:
		return "invalid"
	}
}
