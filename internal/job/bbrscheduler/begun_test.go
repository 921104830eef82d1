package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// requireWaiting checks what callers are told of the job: by its owner, by the progress that is
// stored, and by a successor that finds it.
func (s *scene) requireWaiting(job *bbrwork.Job, want bool) {
	s.Helper()
	state, waiting := bbrwork.Running, map[string]int{}
	if want {
		state, waiting = bbrwork.Pending, map[string]int{"proofs": 1}
	}
	require.Equal(s, waiting, s.sched.WaitingByQueue(s.now))
	told, known := s.sched.State(job.ID)
	require.True(s, known)
	require.Equal(s, state, told)
	progress, _ := s.sched.jobs[job.ID].progress(defaultMaxValueBytes)
	stored, err := StoredState(progress)
	require.NoError(s, err)
	require.Equal(s, state, stored)
	successor := newScene(s.T, false)
	successor.sched.AddJob(job, 0, progress, s.now)
	require.Equal(s, waiting, successor.sched.WaitingByQueue(s.now))
}

// TestFailedStartsLeaveTheJobWaiting guards against callers that are told that nothing waits, while
// every start of a job was refused, got no answer, or was sent to an upstream that is gone.
func TestFailedStartsLeaveTheJobWaiting(t *testing.T) {
	gang := unitStep(2)
	gang.Gang = true
	for name, step := range map[string]bbrwork.Step{"finite": unitStep(2), "gang": gang, "long-running": longRunningStep(2)} {
		for _, failure := range []error{bbrorder.ErrAnswerLost, bbrorder.ErrUnhealthy, bbrorder.ErrNoCapacity, bbrorder.ErrStaleRun, bbrorder.ErrExpired,
			bbrorder.ErrNotSent, bbrorder.ErrOtherIncarnation, bbrorder.ErrTicketRejected, bbrorder.ErrTooManyStarts, bbrorder.ErrUnconfirmed} {
			t.Run(name+" "+failure.Error(), func(t *testing.T) {
				s := newScene(t, true, "i-1")
				s.accept(testJob, step)
				job := s.sched.jobs[testJob].Job
				s.requireWaiting(job, true)
				for range 3 {
					plan := s.plan()
					s.requireWaiting(job, true)
					s.answerStarts(plan, failure)
					s.requireWaiting(job, true)
					s.store()
					s.advance(time.Second)
				}
				s.sched.UnregisterUpstream("i-1", s.now)
				s.advance(time.Minute)
				s.plan()
				s.requireWaiting(job, true)
			})
		}
	}
}

// TestAcceptedStartEndsTheWait guards against jobs that are counted as waiting after they have begun, in
// whatever way the owner learns of it and whatever becomes of the run.
func TestAcceptedStartEndsTheWait(t *testing.T) {
	run := bbrwork.Run{Unit: unitName(0), Number: 1}
	for name, learn := range map[string]func(s *scene, plan Plan){
		"answer":     func(s *scene, plan Plan) { s.answerStarts(plan, nil) },
		"listed run": func(s *scene, plan Plan) { s.listRunning("i-1", []bbrwork.Run{run}) },
		"listed as done": func(s *scene, plan Plan) {
			s.listRunning("i-1", nil, bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeDone})
		},
		"listed as lapse": func(s *scene, plan Plan) {
			s.listRunning("i-1", nil, bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeLeaseExpired})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, true, "i-1")
			s.accept(testJob, unitStep(2))
			job := s.sched.jobs[testJob].Job
			learn(s, s.plan())
			s.requireWaiting(job, false)
			s.sched.UnregisterUpstream("i-1", s.now)
			s.advance(time.Minute)
			s.plan()
			s.requireWaiting(job, false)
		})
	}
}

// TestPartOfAGangLeavesTheJobWaiting guards against a gang that counts as begun while one of its members
// is missing, so that none of them works.
func TestPartOfAGangLeavesTheJobWaiting(t *testing.T) {
	s := newScene(t, true, "i-1")
	gang := unitStep(2)
	gang.Gang = true
	s.accept(testJob, gang)
	job := s.sched.jobs[testJob].Job
	plan := s.plan()
	require.Len(t, plan.Starts, 2)
	s.answerStarts(Plan{Starts: plan.Starts[:1]}, nil)
	s.requireWaiting(job, true)
	s.answerStarts(Plan{Starts: plan.Starts[1:]}, nil)
	s.requireWaiting(job, false)
}

// TestBeginningIsStoredAfterAnOrderedStart guards against a job that successors count as waiting for as
// long as it runs, since its progress was stored before it began.
func TestBeginningIsStoredAfterAnOrderedStart(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept(testJob, unitStep(1))
	s.sched.markChanged(s.sched.jobs[testJob])
	s.store()
	s.answerStarts(s.plan(), nil)
	writes := s.store()
	require.Len(t, writes, 1)
	state, err := StoredState(writes[0].Progress)
	require.NoError(t, err)
	require.Equal(t, bbrwork.Running, state)
}
