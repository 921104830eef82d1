package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// newUnlocatedScene returns a scene of a successor with two upstreams that answer, while
// another one is silent that may run work of the job.
func newUnlocatedScene(t *testing.T, step bbrwork.Step) *scene {
	s := newScene(t, false, "i-1", "i-2")
	s.accept(testJob, step)
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-1"), s.upstream("i-2"), s.upstream("i-silent")}, 500, s.now)
	for _, id := range []string{"i-1", "i-2", "i-silent"} {
		s.register(id)
	}
	s.list("i-2")
	return s
}

// endListed lists a run of a work unit as running on i-1, and then as failed.
func (s *scene) endListed(index int) {
	s.listRunning("i-1", []bbrwork.Run{{Unit: unitName(index), Number: 1}})
	s.advance(100 * time.Millisecond)
	s.list("i-1", bbrwork.RunEnd{Sequence: int64(index + 1), Unit: unitName(index), Run: 1, Outcome: bbrwork.OutcomeFailed})
	s.advance(100 * time.Millisecond)
}

// TestRunListedDuringHandoverDoesNotLocate guards against starting a work unit that the
// earlier owner started again on a silent upstream: until its claim is certainly lost, it
// may have learned in another way that the listed run has ended.
func TestRunListedDuringHandoverDoesNotLocate(t *testing.T) {
	s := newUnlocatedScene(t, unitStep(1))
	s.advance(testTiming.Handover - 500*time.Millisecond)
	s.endListed(0)
	s.advance(time.Second)
	require.Empty(t, s.plan().Starts)
	s.list("i-silent")
	require.Len(t, s.plan().Starts, 1)
}

// TestOnlyLocatedWorkStarts guards against starting work units that may run on a silent
// upstream, since others of their step were located.
func TestOnlyLocatedWorkStarts(t *testing.T) {
	s := newUnlocatedScene(t, unitStep(3))
	s.advance(testTiming.Handover + time.Second)
	s.endListed(1)
	starts := s.plan().Starts
	require.Len(t, starts, 1)
	require.Equal(t, unitName(1), starts[0].Start.Unit)
	require.Equal(t, map[string]Reason{testJob + ".0.0": ReasonEarlierWorkUnlocated}, s.sched.waitReasons(true, s.now))
}

// TestGangStartsOnlyOnceAllMembersAreLocated guards against a gang that starts while a
// silent upstream may run one of its members.
func TestGangStartsOnlyOnceAllMembersAreLocated(t *testing.T) {
	gang := unitStep(2)
	gang.Gang = true
	s := newUnlocatedScene(t, gang)
	s.advance(testTiming.Handover + time.Second)
	s.endListed(0)
	require.Empty(t, s.plan().Starts)
	s.endListed(1)
	require.Len(t, s.plan().Starts, 2)
}
