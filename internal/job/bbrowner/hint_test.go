package bbrowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestHintForJobThatMayHaveEndedIsIgnored guards against a late hint that starts a
// job again which has ended under an earlier owner.
func TestHintForJobThatMayHaveEndedIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	job := &bbrwork.Job{ID: "00000000000000a1", Service: "press", Steps: []bbrwork.Step{{Count: 1}}}
	tests := []struct {
		name     string
		token    bbrkv.Revision
		stored   bbrkv.Revision
		ended    bool
		accepted bool
		known    bool
	}{
		{name: "stored after the claim", token: 20, stored: 21, accepted: true, known: true},
		{name: "stored before the claim", token: 20, stored: 19},
		{name: "for an earlier owner", token: 18, stored: 21},
		{name: "for a later owner", token: 22, stored: 21},
		{name: "ended since", token: 20, stored: 21, ended: true, accepted: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := &Owner{
				Held:      bbrclaim.HeldClaim{Name: "press/0", Token: 20},
				Shard:     bbrwork.Shard{Service: "press"},
				Confirmed: func(time.Time) bool { return true },
				scheduler: bbrscheduler.New(bbrwork.Shard{Service: "press"}, 20, bbrscheduler.Timing{}, true, now),
				wake:      make(chan struct{}, 1),
			}
			if test.ended {
				o.scheduler.AddJob(job, 0, nil, now)
				o.scheduler.Cancel(job.ID, now)
				o.scheduler.ApplyStored(o.scheduler.Batch(1, now), 1, now)
			}
			hint := NewHint(bbrclaim.Claim{Revision: test.token}, job, test.stored)
			require.Equal(t, test.accepted, o.AcceptHint(hint, now))
			state, known := o.State(job.ID, now)
			require.Equal(t, test.known || test.ended, known)
			require.Equal(t, test.ended, state == bbrwork.Cancelled)
		})
	}
	require.False(t, (&Owner{}).AcceptHint(Hint{Job: job}, now), "the shard is not loaded yet")
}
