package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestRoomIsUsableCapacityAndOpenWork guards against jobs that are sent to a cell whose
// capacity cannot be used or is taken by long-running work, or whose work is short of memory.
func TestRoomIsUsableCapacityAndOpenWork(t *testing.T) {
	tests := []struct {
		name string
		// prepare changes a shard of two upstreams, each with 4000 millicores and 8000 MB.
		prepare  func(s *scene)
		milliCPU int
		drain    time.Duration
	}{
		{name: "idle", prepare: func(*scene) {}, milliCPU: 8000},
		{name: "processor time", milliCPU: 8000, drain: 5 * time.Second, prepare: func(s *scene) { s.accept(testJob, unitStep(40)) }},
		{name: "memory", milliCPU: 8000, drain: 10 * time.Second, prepare: func(s *scene) {
			s.accept(testJob, bbrwork.Step{Count: 40, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 4000}, Estimate: time.Second})
		}},
		{name: "not due", milliCPU: 8000, prepare: func(s *scene) {
			schedule := bbrwork.Schedule{Count: 1, First: s.now.Add(time.Hour)}
			s.sched.AddJob(&bbrwork.Job{ID: testJob, Queue: "proofs", Service: "press", Steps: []bbrwork.Step{unitStep(40)}, Schedule: schedule, Accepted: s.now}, 0, nil, s.now)
		}},
		{name: "cancelled", milliCPU: 8000, prepare: func(s *scene) {
			s.accept(testJob, unitStep(40))
			s.sched.Cancel(testJob, s.now)
		}},
		{name: "reserved upstream", milliCPU: 4000, prepare: func(s *scene) { s.sched.SetReserved(map[string]bool{"i-1": true}, s.now) }},
		{name: "long-running work", milliCPU: 6000, prepare: func(s *scene) {
			s.accept(testJob, bbrwork.Step{Count: 2, LongRunning: true, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 100}})
			s.answerStarts(s.plan(), nil)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newScene(t, true, "i-1", "i-2")
			_, known := s.sched.Room(s.now)
			require.False(t, known, "the upstreams have not had the time to list their runs")
			s.advance(roomSettleTime)
			s.plan()
			s.list("i-1")
			s.list("i-2")
			test.prepare(s)
			room, known := s.sched.Room(s.now)
			require.True(t, known)
			require.Equal(t, test.milliCPU, room.Capacity.MilliCPU)
			require.Equal(t, test.drain, room.Drain)
		})
	}
}
