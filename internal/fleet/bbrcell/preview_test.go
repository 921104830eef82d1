package bbrcell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestPreviewIsTheNextChoice guards against a preview that differs from the choice that
// follows, and against one that changes whether a service is balanced by room.
func TestPreviewIsTheNextChoice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cells, directory := newCells(3), &RoomDirectory{}
		for number := range rapid.IntRange(1, 5).Draw(rt, "changes") {
			upstreams := make([]int, rapid.IntRange(0, 3).Draw(rt, "known"))
			for i := range upstreams {
				upstreams[i] = rapid.IntRange(0, 20).Draw(rt, "upstreams")
			}
			now := roomTestTime.Add(time.Duration(number) * MaxRoomAge / 3)
			directory.Learn("press", roomsOf(upstreams...), cells.Count(), now)
			job := pressJob(rapid.IntRange(0, 1000).Draw(rt, "job"))
			var before serviceRooms
			if service := directory.services["press"]; service != nil {
				before = *service
			}
			cell, reason := directory.Preview(cells, job, number, now)
			if service := directory.services["press"]; service != nil {
				require.Equal(rt, before, *service)
			}
			chosen, chosenReason := directory.Choose(cells, job, number, now)
			require.Equal(rt, chosen, cell)
			require.Equal(rt, chosenReason, reason)
		}
	})
}

// TestPreviewWithoutBalancing checks the reason for a choice that rooms have no part in.
func TestPreviewWithoutBalancing(t *testing.T) {
	cells := newCells(3)
	cell, reason := cells.PreviewForJob(pressJob(1), 0)
	require.Equal(t, cells.ChooseForJob(pressJob(1), 0), cell)
	require.Equal(t, ReasonID, reason)
	_, reason = cells.PreviewForJob(pressJob(1, bbrwork.Step{Gang: true}), 0)
	require.Equal(t, ReasonManyUpstreams, reason)
	_, reason = newCells(1).PreviewForJob(pressJob(1), 0)
	require.Equal(t, ReasonOnlyCell, reason)
}
