package bbrkv

import (
	"context"
	"time"
)

// WithMetrics returns a store that reports the error and the duration of each
// call of store to the count function, except for Grant and Revoke.
func WithMetrics(store *Store, count func(call string, err error, took time.Duration)) *Store {
	measured := &Store{
		Get: func(ctx context.Context, key string) (item Item, err error) {
			defer measure(count, "get", time.Now(), &err)
			return store.Get(ctx, key)
		},
		Range: func(ctx context.Context, prefix, after string) (page Page, err error) {
			defer measure(count, "range", time.Now(), &err)
			return store.Range(ctx, prefix, after)
		},
		Watch: func(ctx context.Context, prefix string, after Revision, wait time.Duration) (page Page, err error) {
			defer measure(count, "watch:"+KeyGroup(prefix), time.Now(), &err)
			return store.Watch(ctx, prefix, after, wait)
		},
		Commit: func(ctx context.Context, transaction Transaction) (revision Revision, err error) {
			defer measure(count, "commit", time.Now(), &err)
			return store.Commit(ctx, transaction)
		},
		Grant: store.Grant,
		Renew: func(ctx context.Context, lease Lease) (ttl time.Duration, err error) {
			defer measure(count, "renew", time.Now(), &err)
			return store.Renew(ctx, lease)
		},
		Revoke: store.Revoke,
	}
	if store.Scan != nil {
		measured.Scan = func(ctx context.Context, prefix, after string, each func(Item)) (result ScanResult, err error) {
			defer measure(count, "range", time.Now(), &err)
			return store.Scan(ctx, prefix, after, each)
		}
	}
	return measured
}

func measure(count func(call string, err error, elapsed time.Duration), call string, sent time.Time, err *error) {
	count(call, *err, time.Since(sent))
}
