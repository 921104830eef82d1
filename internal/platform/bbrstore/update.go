package bbrstore

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

const maxUpdateAttempts = 16

// Document is a JSON document that is changed by compare-and-swap only. T
// carries the operations that were applied to it, so that a lost answer can
// be settled.
type Document[T any] struct {
	Store *Store
	Key   string
	// Applied reports whether the document records the operation.
	Applied func(doc *T, operation string) bool
}

// Load reads the document and its version. A missing document is the zero
// value with version 0.
func (d Document[T]) Load(ctx context.Context) (T, uint64, error) {
	var doc T
	value, err := d.Store.Get(ctx, d.Key, 0)
	if errors.Is(err, ErrNotFound) {
		return doc, 0, nil
	}
	if err != nil {
		return doc, 0, err
	}
	err = json.Unmarshal(value.Data, &doc)
	return doc, value.Version, errors.Wrapf(err, "document %s", d.Key)
}

// Save writes the document if its version is expect. It settles a lost answer
// by reading back; the error is ErrAnswerLost only if that read fails too.
func (d Document[T]) Save(ctx context.Context, doc T, expectedVersion uint64, operation string) (uint64, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return 0, err
	}
	version, err := d.Store.CompareAndSwap(ctx, d.Key, expectedVersion, data, "")
	if !errors.Is(err, ErrAnswerLost) || operation == "" {
		return version, err
	}
	return d.settle(ctx, operation)
}

// settle finds out whether a write took effect whose answer was lost.
func (d Document[T]) settle(ctx context.Context, operation string) (uint64, error) {
	doc, version, err := d.Load(ctx)
	if err != nil {
		return 0, ErrAnswerLost
	}
	if d.Applied(&doc, operation) {
		return version, nil
	}
	// The lost write may still be on its way. It can only succeed against the
	// version it expected, so the caller's next swap decides which one wins.
	return 0, ErrConflict
}

// Update applies change to the newest document until the swap succeeds. An
// operation that is already recorded is not applied again. The change may
// refuse with an error, which is returned as it is.
func (d Document[T]) Update(ctx context.Context, operation string, change func(doc *T) error) (T, uint64, error) {
	for range maxUpdateAttempts {
		doc, version, err := d.Load(ctx)
		if err != nil {
			return doc, 0, err
		}
		if operation != "" && d.Applied(&doc, operation) {
			return doc, version, nil
		}
		if err := change(&doc); err != nil {
			return doc, version, err
		}
		version, err = d.Save(ctx, doc, version, operation)
		if errors.Is(err, ErrConflict) {
			continue
		}
		return doc, version, err
	}
	var zero T
	return zero, 0, errors.Wrapf(ErrConflict, "document %s after %d tries", d.Key, maxUpdateAttempts)
}
