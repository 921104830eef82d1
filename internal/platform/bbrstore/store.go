package bbrstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of the platform's service.
var (
	// ErrNotFound means that the key has no value.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that the compare-and-swap met another version;
	// nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnchanged means that the key still has the version that the reader
	// knows.
	ErrUnchanged = errors.New("unchanged")
	// ErrUnavailable means that the service did not take the call; nothing
	// was written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrAnswerLost means that a write may or may not have taken effect.
	ErrAnswerLost = errors.New("answer lost")
)

// Value is a stored value with its version. Version 0 stands for a key that
// does not exist.
type Value struct {
	Data    []byte
	Version uint64
}

// LeaseID names a lease of the platform. The empty ID means no lease.
type LeaseID string

// Store gives access to the platform's key-value service. Each field is one
// call of the service; tests fill in their own.
type Store struct {
	// Get returns the value, ErrNotFound, or ErrUnchanged where the version
	// equals known (a known of 0 always fetches).
	Get func(ctx context.Context, key string, known uint64) (Value, error)
	// CompareAndSwap writes data if the key's version is expect and returns the new
	// version. It returns ErrConflict, ErrUnavailable or ErrAnswerLost.
	CompareAndSwap func(ctx context.Context, key string, expect uint64, data []byte, lease LeaseID) (uint64, error)
	// Watch waits until the key's version differs from known, at most wait,
	// and then returns ErrUnchanged.
	Watch func(ctx context.Context, key string, known uint64, wait time.Duration) (Value, error)
	// Keys lists the keys with a prefix.
	Keys func(ctx context.Context, prefix string) ([]string, error)
	// Grant creates a lease that ends ttl after its last renewal.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew prolongs a lease, or returns ErrNotFound after it ended.
	Renew func(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke func(ctx context.Context, lease LeaseID) error
}
