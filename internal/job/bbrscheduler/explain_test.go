package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

func TestExplain(t *testing.T) {
	later := time.Date(2026, 1, 2, 3, 5, 0, 0, time.UTC)
	tests := []struct {
		name        string
		step        bbrwork.Step
		job         bbrwork.Job
		unconfirmed bool
		want        string
	}{
		{name: "capacity", step: bbrwork.Step{Need: bbrwork.Resources{MilliCPU: 9000}}, want: "1 lack free capacity for 9000 millicores and 0 MB"},
		{name: "label", step: bbrwork.Step{Label: "gpu"}, want: "1 lack the label gpu"},
		{name: "due", job: bbrwork.Job{Schedule: bbrwork.Schedule{Count: 1, First: later}}, want: "it is due at 2026-01-02T03:05:00Z"},
		{name: "advice", job: bbrwork.Job{Queue: "plates"}, want: "1 have no ticket"},
		{name: "no claim", unconfirmed: true, want: "the store has not confirmed the owner's claim lately"},
		{name: "nothing", want: "1 fit and start next"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newScene(t, true, "i-1")
			s.sched.SetConfig(bbrwork.NewConfig(2, testQueues, nil, bbrwork.Limits{}))
			s.plan()
			job := test.job
			job.ID, job.Service, job.Accepted = testJob, "press", s.now
			test.step.Count = 1
			second := unitStep(1)
			second.DependsOn = []int{0}
			job.Steps = []bbrwork.Step{test.step, second}
			s.sched.AddJob(&job, 0, nil, s.now)
			s.sched.toRecord[s.upstream("i-1").Incarnation] = true
			s.store()
			got, known := s.sched.Explain(testJob, !test.unconfirmed, s.now)
			require.True(t, known)
			require.Equal(t, bbrwork.Pending, got.State)
			require.Len(t, got.Steps, 2)
			require.Contains(t, got.Steps[0].WaitDetail, test.want)
			if test.want != got.Steps[1].WaitDetail && job.Schedule.Count == 0 {
				require.Equal(t, "earlier steps [0] are not done", got.Steps[1].WaitDetail)
			}
		})
	}
}

func TestExplainRunningAndEndedJobs(t *testing.T) {
	s := newScene(t, true, "i-1")
	_, known := s.sched.Explain(testJob, true, s.now)
	require.False(t, known)
	s.accept(testJob, unitStep(2))
	s.answerStarts(s.plan(), nil)
	got, _ := s.sched.Explain(testJob, true, s.now)
	require.Equal(t, bbrwork.Running, got.State)
	require.Equal(t, StepExplanation{Units: 2, Running: 2, Upstreams: []string{"i-1", "i-1"}}, got.Steps[0])
	s.sched.Cancel(testJob, s.now)
	s.store()
	s.list("i-1")
	s.store()
	got, known = s.sched.Explain(testJob, true, s.now)
	require.True(t, known)
	require.Equal(t, bbrwork.Cancelled, got.State)
}
