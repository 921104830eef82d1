package bbrstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of the platform's service.
var (
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that the key does not have the expected version; nothing
	// was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnchanged means that the key still has the version that the reader
	// knows.
	ErrUnchanged = errors.New("value unchanged")
	// ErrUnavailable means that the service did not accept the call; nothing was
	// written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrAnswerLost means that the response was lost: a write may or may not have
	// taken effect.
	ErrAnswerLost = errors.New("platform response lost")
)

// Value is a stored value with its version. Version 0 means that the key does not
// exist.
type Value struct {
	Data    []byte
	Version uint64
}

// LeaseID identifies a lease of the platform. The empty ID means no lease.
type LeaseID string

// Store has the calls of the platform's key-value service as function fields,
// which tests replace.
type Store struct {
	// Get returns the value, ErrNotFound, or ErrUnchanged if the version equals
	// known. If known is 0, it always returns the value.
	Get func(ctx context.Context, key string, known uint64) (Value, error)
	// CompareAndSwap writes data if the key's version is expect, and returns the
	// new version. Its errors are ErrConflict, ErrUnavailable and ErrAnswerLost.
	CompareAndSwap func(ctx context.Context, key string, expect uint64, data []byte, lease LeaseID) (uint64, error)
	// Watch returns the value as soon as its version differs from known, or
	// ErrUnchanged after the wait.
	Watch func(ctx context.Context, key string, known uint64, wait time.Duration) (Value, error)
	// Keys returns the keys with a prefix.
	Keys func(ctx context.Context, prefix string) ([]string, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease. It returns ErrNotFound if the lease has expired.
	Renew func(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke func(ctx context.Context, lease LeaseID) error
}
