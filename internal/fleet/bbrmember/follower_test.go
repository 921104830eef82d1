package bbrmember

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

// countWatchesInOneMinute returns how often a follower that knows version 10 calls
// Watch in one minute.
func countWatchesInOneMinute(t *testing.T, answer func() (bbrstore.Value, error)) int {
	calls := 0
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f := &Follower{
			Store: &bbrstore.Store{Watch: func(context.Context, string, uint64, time.Duration) (bbrstore.Value, error) {
				calls++
				return answer()
			}},
			Metrics:   bbrmetric.New(),
			Known:     func() uint64 { return 10 },
			Accept:    func(bbrstore.Value, time.Time) {},
			Unchanged: func(context.Context, uint64, time.Time) {},
		}
		f.run(ctx)
	})
	return calls
}

// TestFollowerBacksOff checks that a platform that is unavailable, or was restored
// with older values, is not called again without a pause: at most once for each
// half of maxRetryPause, and a few times more at the start.
func TestFollowerBacksOff(t *testing.T) {
	maxCalls := int(time.Minute/(maxRetryPause/2)) + 10
	stale := countWatchesInOneMinute(t, func() (bbrstore.Value, error) { return bbrstore.Value{Version: 5}, nil })
	require.LessOrEqual(t, stale, maxCalls)
	unavailable := countWatchesInOneMinute(t, func() (bbrstore.Value, error) { return bbrstore.Value{}, errors.New("unavailable") })
	require.LessOrEqual(t, unavailable, maxCalls)
}
