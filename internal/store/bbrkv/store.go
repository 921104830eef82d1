package bbrkv

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
)

// Revision is a position in the history of the store. It increases with each
// change.
type Revision int64

// Lease identifies a lease of the store; 0 means none.
type Lease int64

// Item is a key with its value, or an event of a change of the key.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change of the key, and Created that of
	// its creation.
	Revision, Created Revision
	Lease             Lease
	// Deleted marks the event of a removal; its value is empty.
	Deleted bool
}

// Page is a part of the items or events under a prefix.
type Page struct {
	Items []Item
	// More reports whether further items follow.
	More bool
	// AsOf is the revision of the store at which the page was read.
	AsOf Revision
}

// Condition is met if the key was last changed at the revision; revision 0 means
// that the key does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put sets the value of a key.
type Put struct {
	Key   string
	Value []byte
	Lease Lease
}

// MaxTransactionSize is the maximum size of a transaction, as returned by
// Transaction.Size.
const MaxTransactionSize = 32

// Transaction is a list of changes that are applied atomically if all conditions
// are met.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Removals   []string
}

// Size returns the number of conditions, puts and removals, which
// MaxTransactionSize limits.
func (t *Transaction) Size() int { return len(t.Conditions) + len(t.Puts) + len(t.Removals) }

// Errors of the store.
var (
	// ErrRefused means that the call had no effect: the store is over its rate
	// limit, could not be reached, or rejects the caller.
	ErrRefused = errors.New("the store refused the call")
	// ErrAnswerLost means that no complete response arrived: the call may have
	// taken effect, or may still do so later.
	ErrAnswerLost = errors.New("the store's answer was lost")
	// ErrCompacted means that the store no longer has the history since the
	// requested revision.
	ErrCompacted = errors.New("the store's history is compacted")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("not found in the store")
	// ErrInvalid means that the store rejects the call as invalid or forbidden.
	ErrInvalid = errors.New("the store rejected the call as invalid")
)

// Conflict is the error of a transaction with an unmet condition. Items has the
// present state of the keys of the conditions, except for those that do not exist.
type Conflict struct {
	Items map[string]Item
}

// Error implements error.
func (c *Conflict) Error() string { return "a condition of the transaction is not met" }

// Store has the calls of the platform's store as function fields. All reads are
// linearizable.
type Store struct {
	Get   func(ctx context.Context, key string) (Item, error)
	Range func(ctx context.Context, prefix, after string) (Page, error)
	// Scan reads one page of the items under a prefix, behind the key after, and calls
	// each for every item as it arrives, in the order of the keys. After an error, the
	// items before it have been passed on. If it is nil, Range is used.
	Scan   func(ctx context.Context, prefix, after string, each func(item Item)) (ScanResult, error)
	Watch  func(ctx context.Context, prefix string, after Revision, wait time.Duration) (Page, error)
	Commit func(ctx context.Context, transaction Transaction) (Revision, error)
	Grant  func(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	Renew  func(ctx context.Context, lease Lease) (time.Duration, error)
	Revoke func(ctx context.Context, lease Lease) error
	// MaxValueBytes is the size of the largest value that the store takes; 0 if it is
	// not known.
	MaxValueBytes int
}

// maxFruitless is the number of attempts in turn without an item after which ReadAll gives
// up what it has.
const maxFruitless = 3

// ReadAll returns all items under a prefix and a revision. A watch that starts
// after this revision misses no change of them. A call whose response is lost is
// repeated for the items that have not arrived, as long as some arrive.
func (s *Store) ReadAll(ctx context.Context, prefix string) ([]Item, Revision, error) {
	var items []Item
	listing := Listing{Store: s, Prefix: prefix, OnItem: func(item Item) { items = append(items, item) }}
	fruitless := 0
	for {
		before := len(items)
		err := listing.Read(ctx)
		if err == nil {
			return items, listing.Progress().AsOf, nil
		}
		if len(items) > before {
			fruitless = 0
		} else {
			fruitless++
		}
		if len(items) == 0 || fruitless == maxFruitless || !errors.Is(err, ErrAnswerLost) || ctx.Err() != nil {
			return nil, 0, err
		}
		if fruitless > 0 {
			bbrpause.For(ctx, retryInterval)
		}
	}
}

// KeyGroup returns the first two segments of a key or prefix, which say what kind
// of data it has. It is used as a metric label.
func KeyGroup(key string) string {
	parts := strings.SplitN(key, "/", 3)
	return strings.Join(parts[:min(2, len(parts))], "/")
}

// Served reports whether a call with the error was served: the store answered it and did
// not turn the caller away.
func Served(err error) bool {
	return !errors.Is(err, ErrRefused) && !errors.Is(err, ErrAnswerLost)
}

// Outcome returns the metric label for the outcome of a call.
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
