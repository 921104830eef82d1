package bbrowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestUnconfirmedOwnerReportsOnlyFinalStates checks that an owner that may have been
// replaced does not report that a job still runs.
func TestUnconfirmedOwnerReportsOnlyFinalStates(t *testing.T) {
	now := time.Unix(1000, 0)
	confirmed := true
	o := &Owner{Confirmed: func(time.Time) bool { return confirmed }}
	_, known := o.State("a", now)
	require.False(t, known, "the shard is not loaded yet")

	o.scheduler = bbrscheduler.New(bbrwork.Shard{Service: "press"}, 7, bbrscheduler.Timing{}, true, now)
	for _, id := range []string{"a", "b"} {
		o.scheduler.AddJob(&bbrwork.Job{ID: id, Service: "press", Steps: []bbrwork.Step{{Count: 1}}}, 0, nil, now)
	}
	o.scheduler.Cancel("b", now)
	o.scheduler.ApplyStored(o.scheduler.Batch(1, now), 1, now)
	confirmed = false
	_, known = o.State("a", now)
	require.False(t, known)
	state, known := o.State("b", now)
	require.True(t, known)
	require.Equal(t, bbrwork.Cancelled, state)

	confirmed = true
	state, known = o.State("a", now)
	require.True(t, known)
	require.Equal(t, bbrwork.Pending, state)
}

// TestPlaceBeforeLoading checks that an owner that has not loaded its shard gives no answer,
// and that one whose claim is not confirmed says that nothing would start.
func TestPlaceBeforeLoading(t *testing.T) {
	now := time.Unix(1000, 0)
	o := &Owner{Confirmed: func(time.Time) bool { return false }}
	job := &bbrwork.Job{ID: "a", Service: "press", Steps: []bbrwork.Step{{Count: 1}}}
	_, known := o.Place(job, now)
	require.False(t, known)
	o.scheduler = bbrscheduler.New(bbrwork.Shard{Service: "press"}, 7, bbrscheduler.Timing{}, true, now)
	placement, known := o.Place(job, now)
	require.True(t, known)
	require.Equal(t, bbrscheduler.ReasonClaimUnconfirmed, placement.Steps[0].Reason)
	require.Zero(t, o.scheduler.JobCount())
}
