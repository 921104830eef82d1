package bbrscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestSuccessorNamesWhatItWaitsFor guards against a successor that starts nothing for
// seconds, without a line that says which upstreams it waits for.
func TestSuccessorNamesWhatItWaitsFor(t *testing.T) {
	s := newScene(t, false)
	s.accept(testJob, unitStep(1))
	s.sched.AddJob(&bbrwork.Job{ID: jobID(1), Service: "press", Steps: []bbrwork.Step{unitStep(1)}, Accepted: s.now}, 9, nil, s.now)
	var recorded []bbrwork.Upstream
	for number := range maxNamedUnlocated + 2 {
		recorded = append(recorded, s.upstream(fmt.Sprintf("i-%02d", number)))
	}
	loadAll(s.sched, recorded, 5, s.now)
	start := s.now
	s.sched.ApplyRenewalFailure(s.upstream("i-09").Incarnation, bbrorder.ErrAnswerLost, s.now)

	var ages []string
	for range 60 {
		s.advance(100 * time.Millisecond)
		s.sched.Plan(true, s.now)
		notes, _ := s.sched.Notes()
		for _, note := range notes {
			if note.Text != "Earlier work not located yet" {
				continue
			}
			ages = append(ages, fmt.Sprint(note.Fields[1]))
			require.Equal(t, []any{"claimAge", note.At.Sub(start), "count", 10, "upstreams",
				[]string{"i-09 lostAnswers=1", "i-00 lostAnswers=0", "i-01 lostAnswers=0", "i-02 lostAnswers=0", "i-03 lostAnswers=0", "i-04 lostAnswers=0", "i-05 lostAnswers=0", "i-06 lostAnswers=0"},
				"unlocatedJobs", 1, "atMost", s.sched.earlierLeasesEnd.Sub(note.At).Round(time.Millisecond)}, note.Fields)
		}
	}
	require.Equal(t, []string{"1s", "3s", "5s"}, ages)

	for _, up := range recorded {
		s.list(up.ID)
	}
	s.advance(2 * time.Second)
	s.sched.Notes()
	s.sched.Plan(true, s.now)
	notes, _ := s.sched.Notes()
	for _, note := range notes {
		require.NotEqual(t, "Earlier work not located yet", note.Text)
	}
	require.Zero(t, s.sched.UnlocatedCount())
}
