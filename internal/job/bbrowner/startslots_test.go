package bbrowner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestManyStartsAreAnsweredOverSlowLink guards against starts that are planned together and
// fill the link until the answers of all of them, and of renewals, are late: their upstreams
// count as silent then, and leases run out.
func TestManyStartsAreAnsweredOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const starts, bytes, answerBytes = 300, 2000, 300
		link := &slowLink{bytesPerSecond: mbit2, turn: make(chan struct{}, 1)}
		client := &bbrorder.Client{Start: func(context.Context, bbrwork.Upstream, bbrorder.Start) (time.Duration, error) {
			sent := time.Now()
			link.carry(bytes)
			link.carry(answerBytes)
			if time.Since(sent) > bbrorder.Timeout {
				return 0, bbrorder.ErrAnswerLost
			}
			return time.Second, nil
		}}
		owner := &Owner{Client: client, Confirmed: func(time.Time) bool { return true }, StartSlots: NewStartSlots(32)}
		var mu sync.Mutex
		outcomes := make(map[string]int)
		var tasks sync.WaitGroup
		for i := range starts {
			task := &startTask{owner: owner, order: bbrscheduler.StartOrder{Start: bbrorder.Start{Unit: bbrwork.Unit{Job: fmt.Sprint(i)}}}}
			tasks.Go(func() {
				began := time.Now()
				_, err := task.send(t.Context())
				mu.Lock()
				defer mu.Unlock()
				outcomes[outcomeName(err)]++
				if !errors.Is(err, bbrorder.ErrAnswerLost) {
					require.LessOrEqual(t, time.Since(began), startSlotTimeout+bbrorder.Timeout)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		link.carry(200)
		require.LessOrEqual(t, time.Since(began), 400*time.Millisecond, "a renewal among the starts")
		tasks.Wait()
		require.Zero(t, outcomes["lost"], "%v", outcomes)
		require.GreaterOrEqual(t, outcomes["done"], 64, "%v", outcomes)
	})
}
