package bbrclaim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestReservationsIgnoreOlderRevisions checks that a list that was read before a
// change does not undo the change, and that after a reset a list with an older
// revision is accepted.
func TestReservationsIgnoreOlderRevisions(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Reservations{}
	r.Change(bbrkv.Item{Key: ReservedKey, Revision: 5, Value: []byte(`["a"]`)}, now)
	r.Snapshot([]bbrkv.Item{{Key: ReservedKey, Revision: 4, Value: []byte(`["b"]`)}}, 0, now)
	reserved, revision := r.Reserved()
	require.Equal(t, map[string]bool{"a": true}, reserved)
	require.EqualValues(t, 5, revision)

	r.Change(bbrkv.Item{Key: ReservedKey, Revision: 6, Value: []byte("[")}, now)
	reserved, _ = r.Reserved()
	require.Equal(t, map[string]bool{"a": true}, reserved, "a value that cannot be decoded is ignored")

	r.Reset()
	r.Snapshot([]bbrkv.Item{{Key: ReservedKey, Revision: 5, Value: []byte(`["a","c"]`)}}, 0, now)
	reserved, _ = r.Reserved()
	require.Len(t, reserved, 2)
	r.Change(bbrkv.Item{Key: ReservedKey, Revision: 7, Deleted: true}, now)
	reserved, _ = r.Reserved()
	require.Empty(t, reserved)
}
