package bbrowner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestLeaseExtensionAge checks that the age spans renewals that are lost or extend nothing,
// and no time in which the upstream has no runs.
func TestLeaseExtensionAge(t *testing.T) {
	start := time.Unix(1000, 0)
	extending := bbrscheduler.RenewalPlan{HasRuns: true, LeaseUntil: time.Minute}
	tests := []struct {
		name     string
		at       time.Duration
		plan     bbrscheduler.RenewalPlan
		lost     bool
		age      time.Duration
		measured bool
	}{
		{name: "first", at: 0, plan: extending},
		{name: "second", at: time.Second, plan: extending, age: time.Second, measured: true},
		{name: "lost", at: 2 * time.Second, plan: extending, lost: true},
		{name: "only queried", at: 3 * time.Second, plan: bbrscheduler.RenewalPlan{HasRuns: true}},
		{name: "extended again", at: 4 * time.Second, plan: extending, age: 3 * time.Second, measured: true},
		{name: "without runs", at: 5 * time.Second, plan: bbrscheduler.RenewalPlan{Idle: true}},
		{name: "first again", at: 60 * time.Second, plan: extending},
	}
	var e leaseExtensions
	for _, test := range tests {
		e.plan(test.plan)
		if test.lost {
			continue
		}
		age, measured := e.answered(test.plan, start.Add(test.at))
		require.Equal(t, test.measured, measured, test.name)
		if measured {
			require.Equal(t, test.age, age, test.name)
		}
	}
}

// newRenewalOwner returns an owner with an upstream that runs a work unit.
func newRenewalOwner(now time.Time) *Owner {
	o := newLoopOwner(0)
	o.Shard = bbrwork.Shard{Service: "press"}
	o.scheduler = bbrscheduler.New(o.Shard, 7, bbrscheduler.Timing{RunLease: 4500 * time.Millisecond, MaxRunLease: 6 * time.Second}, true, now)
	o.renewers = make(map[string]*leaseRenewer)
	up := bbrwork.Upstream{Incarnation: bbrwork.Incarnation{ID: "i-1", StartMillis: 1}, Service: "press", Capacity: bbrwork.Resources{MilliCPU: 4000}}
	o.scheduler.RegisterUpstream(up, now)
	o.scheduler.AddJob(&bbrwork.Job{ID: "a", Service: "press", Steps: []bbrwork.Step{{Count: 1, LongRunning: true}}, Accepted: now}, 0, nil, now)
	running := bbrwork.Run{Unit: bbrwork.Unit{Job: "a"}, Number: 1}
	o.scheduler.ApplyListing(up.Incarnation, &bbrwork.Listing{Clock: time.Second, StartMillis: 1, Running: []bbrwork.Run{running}}, now, now)
	return o
}

// TestRenewalMetrics guards against renewals whose delay is visible nowhere: runs lapse on
// upstreams that answer when the owner renews their lease too late.
func TestRenewalMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		o := newRenewalOwner(start)
		calls := 0
		o.Client = &bbrorder.Client{Renew: func(context.Context, bbrwork.Upstream, bbrorder.Renewal) (bbrwork.Listing, error) {
			time.Sleep(1100 * time.Millisecond)
			if calls++; calls == 2 {
				return bbrwork.Listing{}, bbrorder.ErrAnswerLost
			}
			running := bbrwork.Run{Unit: bbrwork.Unit{Job: "a"}, Number: 1}
			return bbrwork.Listing{Clock: time.Second + time.Since(start), StartMillis: 1, Running: []bbrwork.Run{running}}, nil
		}}
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
		defer cancel()
		(&leaseRenewer{owner: o, id: "i-1", wake: make(chan struct{}, 1)}).loop(ctx)
		renewals := histogramOf(t, o.Metrics, "bbr_renewal_seconds")
		require.Equal(t, uint64(4), renewals["done"].GetSampleCount())
		require.Equal(t, uint64(1), renewals["lost"].GetSampleCount())
		require.InDelta(t, 4.4, renewals["done"].GetSampleSum(), 1e-6)
		// The lost renewal extends nothing as far as the owner knows, its repetition does.
		ages := histogramOf(t, o.Metrics, "bbr_lease_extension_age_seconds")[""]
		require.Equal(t, uint64(3), ages.GetSampleCount())
		require.InDelta(t, 4.6, ages.GetSampleSum(), 0.1)
	})
}
