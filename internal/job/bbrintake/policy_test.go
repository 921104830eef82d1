package bbrintake

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestAcceptedJobIsStoredWithPolicy checks that the record of a job has its queue's
// policy, for owners whose configuration does not have the queue.
func TestAcceptedJobIsStoredWithPolicy(t *testing.T) {
	queue := &bbrwork.Queue{Name: "proofs", Service: "press", Priority: 1, Attempts: 3, Stretch: 1.6, Objective: time.Second, Advice: &bbrwork.Advice{TicketTTL: time.Minute}}
	var stored bbrwork.Job
	synctest.Test(t, func(t *testing.T) {
		store := &bbrkv.Store{Commit: func(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
			for _, put := range transaction.Puts {
				if put.Key == bbrrecord.JobKey(bbrwork.Shard{Service: "press"}, firstID) {
					require.NoError(t, json.Unmarshal(put.Value, &stored))
				}
			}
			return 1, nil
		}}
		intake := &Intake{
			Acceptor:       NewAcceptor(store),
			Cells:          func() *bbrcell.Cells { return nil },
			Config:         func() *bbrwork.Config { return bbrwork.NewConfig(1, []*bbrwork.Queue{queue}, nil, bbrwork.Limits{}) },
			StoreAvailable: func(time.Time) bool { return true },
		}
		ctx, cancel := context.WithCancel(t.Context())
		go intake.Acceptor.Run(ctx)
		now := time.Now()
		code, retryAfter := intake.Submit(t.Context(), &bbrwork.Job{Steps: []bbrwork.Step{{Count: 1}}}, queue, firstID, now.Add(time.Second), now)
		require.Equal(t, bbrcode.Accepted, code)
		require.Zero(t, retryAfter)
		cancel()
	})
	require.Equal(t, &bbrwork.Policy{Priority: 1, Attempts: 3, Stretch: 1.6, Objective: time.Second, RequiresAdvice: true, TicketTTL: time.Minute}, stored.Policy)
}
