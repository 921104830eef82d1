package bbrscheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

func TestMalformedCrashRecordsStopNoOwner(t *testing.T) {
	for _, record := range []string{"", "{", `{"suspects":[{"occurrence":-1,"crashes":[{}]},{"step":-1,"crashes":[{}]},{"index":-1,"crashes":[{}]},{"index":7,"crashes":[{}]}]}`} {
		s := newScene(t, true, "i-1")
		s.accept(testJob, unitStep(1))
		require.True(t, s.sched.RestoreCrashes(testJob, []byte(record), s.now))
		require.Empty(t, s.sched.suspects)
		require.Len(t, s.plan().Starts, 1)
	}
}

func TestMalformedJobsStopNoOwner(t *testing.T) {
	for _, step := range []bbrwork.Step{{}, {Count: -1}, {Count: 1, DependsOn: []int{0}}, {Count: 1, DependsOn: []int{-1}}, {Count: 1, DependsOn: []int{7}}} {
		s := newScene(t, true, "i-1")
		s.accept(testJob, step)
		require.Zero(t, s.sched.JobCount())
		s.accept("00000000000000c1", unitStep(1))
		require.Len(t, s.plan().Starts, 1)
	}
}
