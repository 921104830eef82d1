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

// TestHintForJobThatMayHaveEndedIsIgnored holds that a hint that
// comes late begins no job that may have ended before.
func TestHintForJobThatMayHaveEndedIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	job := &bbrwork.Job{ID: "00000000000000a1", Service: "press", Steps: []bbrwork.Step{{Count: 1}}}
	tests := []struct {
		name   string
		token  bbrkv.Revision
		stored bbrkv.Revision
		ended  bool
		taken  bool
		known  bool
	}{
		{name: "stored after everything was read", token: 7, stored: 21, taken: true, known: true},
		{name: "stored before", token: 7, stored: 20},
		{name: "for an earlier owner", token: 6, stored: 21},
		{name: "for a later owner", token: 9, stored: 21},
		{name: "ended meanwhile", token: 7, stored: 21, ended: true, taken: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := &Owner{
				Held:           bbrclaim.HeldClaim{Name: "press/0", Token: 7},
				Shard:          bbrwork.Shard{Service: "press"},
				Confirmed:      func(time.Time) bool { return true },
				scheduler:      bbrscheduler.New(bbrwork.Shard{Service: "press"}, 7, bbrscheduler.Timing{}, true, now),
				loadedRevision: 20,
				wake:           make(chan struct{}, 1),
			}
			if test.ended {
				o.scheduler.AddJob(job, 0, nil, now)
				o.scheduler.Cancel(job.ID, now)
				o.scheduler.ApplyStored(o.scheduler.Batch(1, now), 1, now)
			}
			hint := NewHint(bbrclaim.Claim{Revision: test.token}, job, test.stored)
			require.Equal(t, test.taken, o.AcceptHint(hint, now))
			state, known := o.State(job.ID, now)
			require.Equal(t, test.known || test.ended, known)
			require.Equal(t, test.ended, state == bbrwork.Cancelled)
		})
	}
	require.False(t, (&Owner{}).AcceptHint(Hint{Job: job}, now), "nothing is loaded yet")
}
