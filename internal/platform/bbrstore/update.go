package bbrstore

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

const maxUpdateAttempts = 16

// Document is a stored JSON document that is changed only by compare-and-swap. T
// records the operations that were applied to it, so that Save can find out
// whether a write with a lost response took effect.
type Document[T any] struct {
	Store *Store
	Key   string
	// Applied reports whether the document records the operation.
	Applied func(doc *T, operation string) bool
}

// Load returns the document and its version. If the document does not exist, it
// returns the zero value and version 0.
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

// Save writes the document if its version is expectedVersion, and returns the new
// version. If the response is lost, it reads the document back: the error is
// ErrConflict if the operation is not recorded, and ErrAnswerLost if that read
// fails too or operation is empty.
func (d Document[T]) Save(ctx context.Context, doc T, expectedVersion uint64, operation string) (uint64, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return 0, err
	}
	version, err := d.Store.CompareAndSwap(ctx, d.Key, expectedVersion, data, "")
	if !errors.Is(err, ErrAnswerLost) || operation == "" {
		return version, err
	}
	return d.resolveLostWrite(ctx, operation)
}

// resolveLostWrite finds out whether a write with a lost response took effect.
func (d Document[T]) resolveLostWrite(ctx context.Context, operation string) (uint64, error) {
	doc, version, err := d.Load(ctx)
	if err != nil {
		return 0, ErrAnswerLost
	}
	if d.Applied(&doc, operation) {
		return version, nil
	}
	// The lost write may still be in transit. It can only succeed against the
	// version that it expects, so the caller's next write decides which one
	// succeeds.
	return 0, ErrConflict
}

// Update applies change to the newest document and writes it. After a conflicting
// write it tries again, up to maxUpdateAttempts times in all. It does not apply an
// operation that the document already records. An error of change is returned
// unchanged.
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
	return zero, 0, errors.Wrapf(ErrConflict, "document %s after %d attempts", d.Key, maxUpdateAttempts)
}
