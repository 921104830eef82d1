package bbrcell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

var roomTestTime = time.Unix(1000, 0)

// newCells returns a division into equal cells.
func newCells(count int) *Cells {
	cells := &Cells{CellsByLabel: map[string][]int{"fast": {0, 1}}, CellByRack: map[string]int{"rack-0": 0}}
	for range count {
		cells.Sizes = append(cells.Sizes, 128)
	}
	return cells
}

func pressJob(number int, steps ...bbrwork.Step) *bbrwork.Job {
	return &bbrwork.Job{ID: fmt.Sprintf("%016x", uint64(number)*0x9e3779b97f4a7c15), Service: "press", Steps: steps}
}

// roomsOf returns rooms with the capacities, in upstreams of 32 cores, and no open work.
func roomsOf(upstreams ...int) []Room {
	var rooms []Room
	for cell, count := range upstreams {
		rooms = append(rooms, Room{Cell: cell, MilliCPU: 32000 * count})
	}
	return rooms
}

// TestChoiceIsUnchangedWithoutUnevenRoom guards against jobs that change their cell although
// nothing is known of the cells, or no cell has less room than its size suggests: a job that
// is sent again should reach the same cell.
func TestChoiceIsUnchangedWithoutUnevenRoom(t *testing.T) {
	tests := []struct {
		name   string
		rooms  []Room
		age    time.Duration
		reason Reason
	}{
		{name: "unknown", reason: ReasonUnknownRoom},
		{name: "one cell known", rooms: roomsOf(0, 10)[1:], reason: ReasonUnknownRoom},
		{name: "too old", rooms: roomsOf(4, 15, 35), age: MaxRoomAge, reason: ReasonUnknownRoom},
		{name: "even", rooms: roomsOf(18, 20, 19), reason: ReasonEvenRoom},
		{name: "no capacity anywhere", rooms: roomsOf(0, 0, 0), reason: ReasonEvenRoom},
		{name: "invalid", rooms: []Room{{Cell: 3, MilliCPU: 9}, {Cell: -1, MilliCPU: 9}, {MilliCPU: -1}, {Cell: 1, Drain: -1}, {Cell: 2, MilliCPU: 9, Age: -time.Hour}}, reason: ReasonUnknownRoom},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cells, directory := newCells(3), &RoomDirectory{}
			directory.Learn("press", test.rooms, cells.Count(), roomTestTime)
			for i := range 500 {
				cell, reason := directory.Choose(cells, pressJob(i), 0, roomTestTime.Add(test.age))
				require.Equal(t, cells.ChooseForJob(pressJob(i), 0), cell)
				require.Equal(t, test.reason, reason)
			}
		})
	}
}

// TestJobsAreSharedByRoom checks the shares of the cells, and that no more jobs than
// necessary leave the cell that their ID selects. It guards against all jobs going to the
// cell with the most room, and against a cell without room that gets no job at all.
func TestJobsAreSharedByRoom(t *testing.T) {
	drained := roomsOf(20, 20, 20)
	drained[0].Drain = 12 * time.Second
	tests := []struct {
		name  string
		rooms []Room
		want  []float64
	}{
		{name: "by capacity", rooms: roomsOf(4, 15, 35), want: []float64{4. / 54, 15. / 54, 35. / 54}},
		{name: "by open work", rooms: drained, want: []float64{1. / 9, 4. / 9, 4. / 9}},
		{name: "an unknown cell", rooms: roomsOf(10, 30), want: []float64{1. / 6, 3. / 6, 2. / 6}},
		{name: "a cell without capacity", rooms: roomsOf(0, 10, 10), want: []float64{0.04, 0.48, 0.48}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cells, directory := newCells(3), &RoomDirectory{}
			directory.Learn("press", test.rooms, cells.Count(), roomTestTime)
			const jobs = 6000
			counts, moved := make([]int, 3), 0
			for i := range jobs {
				cell, reason := directory.Choose(cells, pressJob(i), 0, roomTestTime)
				counts[cell]++
				if cell != cells.ChooseForJob(pressJob(i), 0) {
					require.Equal(t, ReasonRoomMoved, reason)
					moved++
				}
			}
			leaving := 0.0
			for cell, want := range test.want {
				require.InDelta(t, want, float64(counts[cell])/jobs, 0.02, "cell %d", cell)
				leaving += max(0, 1./3-want)
			}
			require.InDelta(t, leaving, float64(moved)/jobs, 0.02)
		})
	}
}

// TestRulesForCellsComeBeforeRoom guards against jobs that are sent to a cell that cannot run
// them, or away from their data.
func TestRulesForCellsComeBeforeRoom(t *testing.T) {
	cells, directory := newCells(3), &RoomDirectory{}
	directory.Learn("press", roomsOf(1, 5, 50), cells.Count(), roomTestTime)
	need := bbrwork.Resources{MilliCPU: 500}
	for i := range 500 {
		cell, reason := directory.Choose(cells, pressJob(i, bbrwork.Step{Count: 9, Gang: true}), 1, roomTestTime)
		require.Equal(t, 1, cell)
		require.Equal(t, ReasonManyUpstreams, reason)
		cell, reason = directory.Choose(cells, pressJob(i, bbrwork.Step{Count: 1, Need: need, DataRack: "rack-0"}), 1, roomTestTime)
		require.Equal(t, 0, cell)
		require.Equal(t, ReasonData, reason)
		cell, _ = directory.Choose(cells, pressJob(i, bbrwork.Step{Count: 1, Label: "fast"}), 1, roomTestTime)
		require.NotEqual(t, 2, cell, "the cell lacks the label")
	}
	cell, reason := directory.Choose(nil, pressJob(1), 0, roomTestTime)
	require.Equal(t, 0, cell)
	require.Equal(t, ReasonOnlyCell, reason)
}

// TestBalancingHasHysteresis guards against jobs that alternate between both choices while
// the room of cells varies around the threshold.
func TestBalancingHasHysteresis(t *testing.T) {
	cells := newCells(2)
	balanced := false
	changes := 0
	for _, upstreams := range []int{20, 26, 36, 27, 36, 27, 36, 22, 27, 22} {
		rooms := map[int]Room{0: {MilliCPU: 20}, 1: {Cell: 1, MilliCPU: upstreams}}
		next, _ := cells.Balance(balanced, rooms)
		if next != balanced {
			changes++
		}
		balanced = next
	}
	require.False(t, balanced)
	require.Equal(t, 2, changes)
}

// TestNewerRoomIsKept guards against rooms that are passed on for longer than MaxRoomAge, and
// against an old one that replaces a newer one.
func TestNewerRoomIsKept(t *testing.T) {
	first, second := &RoomDirectory{}, &RoomDirectory{}
	first.Learn("press", []Room{{Cell: 1, MilliCPU: 100}}, 2, roomTestTime)
	second.Learn("press", []Room{{Cell: 1, MilliCPU: 200}}, 2, roomTestTime.Add(time.Second))
	later := roomTestTime.Add(1500 * time.Millisecond)
	second.Learn("press", first.Known("press", later), 2, later)
	require.Equal(t, []Room{{Cell: 1, MilliCPU: 200, Age: 500 * time.Millisecond}}, second.Known("press", later))
	for range 20 {
		later = later.Add(100 * time.Millisecond)
		first.Learn("press", second.Known("press", later), 2, later)
		second.Learn("press", first.Known("press", later), 2, later)
	}
	require.Empty(t, first.Known("press", later))
	require.Empty(t, first.Known("other", later))
}

// TestChoiceByRoomIsValid checks for any rooms that the cell is a candidate, and that the
// choice depends on the job and the rooms only.
func TestChoiceByRoomIsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 9).Draw(t, "cells")
		cells := newCells(count)
		for cell := range cells.Sizes {
			cells.Sizes[cell] = rapid.IntRange(0, 200).Draw(t, "size")
		}
		rooms := make(map[int]Room)
		for cell := range cells.Sizes {
			if rapid.Bool().Draw(t, "known") {
				rooms[cell] = Room{Cell: cell, MilliCPU: rapid.IntRange(0, 1<<40).Draw(t, "milliCPU"), Drain: time.Duration(rapid.Int64Range(0, 1<<62).Draw(t, "drain"))}
			}
		}
		job := pressJob(rapid.IntRange(0, 1<<30).Draw(t, "job"))
		label := rapid.Bool().Draw(t, "label")
		if label {
			job.Steps = []bbrwork.Step{{Count: 1, Label: "fast"}}
		}
		cell, _ := cells.ChooseByRoom(job, 0, rooms)
		require.GreaterOrEqual(t, cell, 0)
		require.Less(t, cell, count)
		require.False(t, label && cell > 1)
		again, _ := cells.ChooseByRoom(job, 0, rooms)
		require.Equal(t, cell, again)
	})
}
