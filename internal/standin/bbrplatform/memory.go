package bbrplatform

import (
	"context"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

// Fault is the fault injected into one call. Only CompareAndSwap distinguishes the
// faults: with any of them, every other call has no effect and fails with
// ErrUnavailable.
type Fault uint8

// Faults of a call.
const (
	NoFault Fault = iota
	// CallRefused means that the call has no effect and fails with ErrUnavailable.
	CallRefused
	// AnswerLost means that the call takes effect and gets no response.
	AnswerLost
	// CallLost means that the call has no effect and gets no response.
	CallLost
)

// MemoryStore gives access to a KeyValue in the same process, without a network.
type MemoryStore struct {
	KeyValue *KeyValue
	// Now is the service's clock.
	Now func() time.Time
	// NextFault returns the fault of the next call; nil means that none fails.
	NextFault func() Fault
}

func (m *MemoryStore) fault() Fault {
	if m.NextFault == nil {
		return NoFault
	}
	return m.NextFault()
}

// Store returns the store's calls. Its watches return at once.
func (m *MemoryStore) Store() *bbrstore.Store {
	return &bbrstore.Store{
		Get:            m.get,
		CompareAndSwap: m.swap,
		Watch: func(ctx context.Context, key string, known uint64, _ time.Duration) (bbrstore.Value, error) {
			return m.get(ctx, key, known)
		},
		Keys:   m.keys,
		Grant:  m.grant,
		Renew:  m.renew,
		Revoke: m.revoke,
	}
}

func (m *MemoryStore) get(_ context.Context, key string, known uint64) (bbrstore.Value, error) {
	if m.fault() != NoFault {
		return bbrstore.Value{}, bbrstore.ErrUnavailable
	}
	value, ok, _ := m.KeyValue.Get(m.Now(), key)
	switch {
	case !ok:
		return value, bbrstore.ErrNotFound
	case value.Version == known:
		return value, bbrstore.ErrUnchanged
	default:
		return value, nil
	}
}

func (m *MemoryStore) swap(_ context.Context, key string, expect uint64, data []byte, lease bbrstore.LeaseID) (uint64, error) {
	fault := m.fault()
	switch fault {
	case CallRefused:
		return 0, bbrstore.ErrUnavailable
	case CallLost:
		return 0, bbrstore.ErrAnswerLost
	}
	version, err := m.KeyValue.CompareAndSwap(m.Now(), key, expect, data, lease)
	if fault == AnswerLost {
		return 0, bbrstore.ErrAnswerLost
	}
	return version, err
}

func (m *MemoryStore) keys(_ context.Context, prefix string) ([]string, error) {
	if m.fault() != NoFault {
		return nil, bbrstore.ErrUnavailable
	}
	return m.KeyValue.Keys(m.Now(), prefix), nil
}

func (m *MemoryStore) grant(_ context.Context, ttl time.Duration) (bbrstore.LeaseID, error) {
	if m.fault() != NoFault {
		return "", bbrstore.ErrUnavailable
	}
	return m.KeyValue.Grant(m.Now(), ttl), nil
}

func (m *MemoryStore) renew(_ context.Context, lease bbrstore.LeaseID) error {
	if m.fault() != NoFault {
		return bbrstore.ErrUnavailable
	}
	if !m.KeyValue.Renew(m.Now(), lease) {
		return bbrstore.ErrNotFound
	}
	return nil
}

func (m *MemoryStore) revoke(_ context.Context, lease bbrstore.LeaseID) error {
	if m.fault() != NoFault {
		return bbrstore.ErrUnavailable
	}
	m.KeyValue.Revoke(m.Now(), lease)
	return nil
}
