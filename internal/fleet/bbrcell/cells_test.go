package bbrcell

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// newFleet returns instances of four pools in three zones, eight per rack, with racks
// numbered from first.
func newFleet(first, racks int) []bbrmachine.Instance {
	var list []bbrmachine.Instance
	for r := first; r < first+racks; r++ {
		for i := range 8 {
			list = append(list, bbrmachine.Instance{
				ID:     fmt.Sprintf("m-%d-%d", r, i),
				Pool:   fmt.Sprintf("pool-%d", r%4),
				Zone:   fmt.Sprintf("zone-%d", r/4%3),
				Labels: []string{"kind", fmt.Sprintf("rack-%d", r)},
			})
		}
	}
	return list
}

func TestSmallFleetHasOneCell(t *testing.T) {
	var undivided *Cells
	require.Equal(t, 1, undivided.Count())
	_, known := undivided.CellOf("rack-1")
	require.False(t, known, "the cell of an upstream is unknown before the first division")

	cells := undivided.Divide(newFleet(0, 10), 128)
	require.Equal(t, 1, cells.Count())
	cell, known := cells.CellOf("a rack added later")
	require.True(t, known)
	require.Zero(t, cell)
	require.Zero(t, cells.ChooseForJob(&bbrwork.Job{ID: "a"}, 3))
}

// TestDivisionSpreadsPoolsAndZones checks that all cells have similar shares of each pool
// and zone, so that the loss of a zone affects all cells equally.
func TestDivisionSpreadsPoolsAndZones(t *testing.T) {
	instances := newFleet(0, 144)
	cells := (*Cells)(nil).Divide(instances, 128)
	require.Equal(t, 9, cells.Count())
	pools, zones := make(map[string]int), make(map[string]int)
	for _, instance := range instances {
		cell, known := cells.CellOf(instance.Rack())
		require.True(t, known)
		pools[fmt.Sprint(cell, instance.Pool)]++
		zones[fmt.Sprint(cell, instance.Zone)]++
	}
	require.Len(t, pools, 9*4)
	for key, count := range pools {
		require.Equal(t, 32, count, key)
	}
	require.Len(t, zones, 9*3)
	for key, count := range zones {
		require.InDelta(t, 128/3, count, 24, key)
	}
}

// TestRackKeepsItsCell checks that an incarnation belongs to the same shard all its time,
// however the fleet grows and shrinks.
func TestRackKeepsItsCell(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cells *Cells
		known := make(map[string]int)
		for range rapid.IntRange(1, 6).Draw(t, "lists") {
			first, racks := rapid.IntRange(0, 150).Draw(t, "first"), rapid.IntRange(1, 150).Draw(t, "racks")
			previous := cells
			instances := newFleet(first, racks)
			cells = cells.Divide(instances, 128)
			require.GreaterOrEqual(t, cells.Count(), previous.Count())
			for _, instance := range instances {
				cell, assigned := cells.CellOf(instance.Rack())
				require.True(t, assigned)
				require.Less(t, cell, cells.Count())
				if earlier, seen := known[instance.Rack()]; seen && previous.Count() > 1 {
					require.Equal(t, earlier, cell)
				}
				known[instance.Rack()] = cell
			}
			require.Same(t, cells, cells.Divide(instances, 128), "there are no new racks")
			for rack, cell := range cells.CellByRack {
				known[rack] = cell
			}
		}
	})
}

// TestGrownFleetGetsMoreCells checks that racks that are added later get cells of their
// own, if there are enough of them.
func TestGrownFleetGetsMoreCells(t *testing.T) {
	cells := (*Cells)(nil).Divide(newFleet(0, 32), 128)
	require.Equal(t, 2, cells.Count())
	slightlyGrown := cells.Divide(newFleet(0, 40), 128)
	require.Equal(t, 2, slightlyGrown.Count(), "too few new racks for a cell")
	grown := slightlyGrown.Divide(newFleet(0, 64), 128)
	require.Equal(t, 3, grown.Count())
	require.InDelta(t, grown.Sizes[0], grown.Sizes[2], 32)
	require.InDelta(t, grown.Sizes[1], grown.Sizes[2], 32)
}

// TestWeakEntriesGetSmallCells checks that the size of a cell fits the processor capacity
// of entries.
func TestWeakEntriesGetSmallCells(t *testing.T) {
	for milliCPU, want := range map[int]int{0: 1, 800: 1, 400: 1, 120: 3, 10: 4} {
		require.Equal(t, want, (*Cells)(nil).Divide(newFleet(0, 16), TargetSize(milliCPU)).Count(), "thousandths of a core: %d", milliCPU)
	}
}

func TestJobGoesToCellThatCanRunIt(t *testing.T) {
	cells := (*Cells)(nil).Divide(newFleet(0, 64), 128)
	require.Equal(t, 4, cells.Count())
	cells.CellsByLabel["fast"] = []int{1, 3}
	longRunning := bbrwork.Step{Count: 30, LongRunning: true, MaxPerUpstream: 1}
	gang := bbrwork.Step{Count: 30, Gang: true}
	need := bbrwork.Resources{MilliCPU: 500}
	onRack := bbrwork.Step{Count: 3, Need: need, DataRack: "rack-9"}
	small := bbrwork.Step{Count: 1, Need: need, DataRack: "rack-2"}
	labelled := bbrwork.Step{Count: 3, Label: "fast"}
	unknownLabel := bbrwork.Step{Count: 3, Label: "none"}
	tests := []struct {
		name  string
		steps []bbrwork.Step
		want  []int
	}{
		{name: "any", steps: []bbrwork.Step{{Count: 2}}, want: []int{0, 1, 2, 3}},
		{name: "spread long-running work", steps: []bbrwork.Step{longRunning}, want: []int{2}},
		{name: "a wide gang", steps: []bbrwork.Step{gang}, want: []int{2}},
		{name: "cell of its data", steps: []bbrwork.Step{onRack}, want: []int{cells.CellByRack["rack-9"]}},
		{name: "cell of most of its data", steps: []bbrwork.Step{small, onRack}, want: []int{cells.CellByRack["rack-9"]}},
		{name: "cells with the label", steps: []bbrwork.Step{labelled}, want: []int{1, 3}},
		{name: "a label that no cell has", steps: []bbrwork.Step{unknownLabel}, want: []int{0, 1, 2, 3}},
	}
	const homeCell = 6 // Modulo the 4 cells, this is cell 2.
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			counts := make(map[int]int)
			for i := range 4000 {
				job := &bbrwork.Job{ID: fmt.Sprintf("%016x", i*7919), Steps: test.steps}
				cell := cells.ChooseForJob(job, homeCell)
				require.Equal(t, cell, cells.ChooseForJob(job, homeCell))
				counts[cell]++
			}
			require.Len(t, counts, len(test.want))
			for _, cell := range test.want {
				require.InEpsilon(t, 4000/len(test.want), counts[cell], 0.15, "cell %d", cell)
			}
		})
	}
}
