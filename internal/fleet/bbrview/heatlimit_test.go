package bbrview

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrlist"
)

// TestHeatLimit checks that instances that are adopted, resumed or restored stay
// within the heat limit.
func TestHeatLimit(t *testing.T) {
	now := time.Unix(1, 0)
	view := View{Zone: "a"}
	for i := range 3 {
		require.True(t, view.Adopt(bbrlist.Instance{ID: fmt.Sprint("i-", i)}, 2, now))
	}
	require.Equal(t, 2, view.ActiveInstances())
	require.Equal(t, Drained, view.Instances["i-2"].State)
	err := view.Resume("i-2", "operation", 2, now)
	require.Equal(t, bbrcode.HeatLimit, bbrcode.From(err, 0))
	require.True(t, view.MarkLost("i-0", "lost", now))
	require.NoError(t, view.Resume("i-2", "operation", 2, now))
	require.False(t, view.RestoreLost(bbrlist.Instance{ID: "i-0"}, 2, now))
	require.True(t, view.RestoreLost(bbrlist.Instance{ID: "i-0"}, 3, now))
}
