package bbrscheduler

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// acceptFromRemovedQueue adds a job as it was stored before its queue was removed,
// at an owner that never knew the queue.
func (s *scene) acceptFromRemovedQueue(queue *bbrwork.Queue) *job {
	s.sched.SetConfig(bbrwork.NewConfig(2, nil, nil, bbrwork.Limits{}))
	value, err := json.Marshal(&bbrwork.Job{ID: testJob, Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{unitStep(1)}, Accepted: s.now, Policy: queue.Policy()})
	require.NoError(s, err)
	var stored bbrwork.Job
	require.NoError(s, json.Unmarshal(value, &stored))
	s.sched.AddJob(&stored, 0, nil, s.now)
	return s.sched.jobs[testJob]
}

// TestSuccessorUsesStoredPolicyOfRemovedQueue checks that jobs of a removed queue
// still get the tickets that they need from an owner that never knew the queue.
func TestSuccessorUsesStoredPolicyOfRemovedQueue(t *testing.T) {
	s := newAdvisedScene(t, "i-1")
	job := s.acceptFromRemovedQueue(s.sched.config.Queues["proofs"])
	plan := s.plan()
	require.Empty(t, plan.Starts, "the upstream would refuse every start without a ticket")
	require.Len(t, plan.AdviceRequests, 1)
	require.Equal(t, time.Minute, plan.AdviceRequests[0].TicketTTL)
	require.Equal(t, 3, job.maxAttempts())
	require.Equal(t, 2200*time.Millisecond, job.objective(job.occurrences[0]).Sub(job.Accepted))
}

// TestConfiguredPolicyOverridesStoredPolicy checks that a change to a queue applies
// to its existing jobs.
func TestConfiguredPolicyOverridesStoredPolicy(t *testing.T) {
	s := newAdvisedScene(t, "i-1")
	job := s.acceptFromRemovedQueue(s.sched.config.Queues["proofs"])
	s.sched.SetConfig(bbrwork.NewConfig(3, []*bbrwork.Queue{{Name: "proofs", Service: "press", Attempts: 5}}, nil, bbrwork.Limits{}))
	require.Equal(t, 5, job.maxAttempts())
	require.Len(t, s.plan().Starts, 1)
}

// TestJobStoredWithoutPolicyRuns checks that a job whose record was written by an
// older entry runs.
func TestJobStoredWithoutPolicyRuns(t *testing.T) {
	s := newScene(t, true, "i-1")
	job := s.acceptFromRemovedQueue(nil)
	require.Equal(t, 1, job.maxAttempts())
	require.Len(t, s.plan().Starts, 1)
}
