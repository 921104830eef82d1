package bbrclaim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestUnownedNamesSpreadOverEntries checks that each of many names without an
// owner is due at one entry at first, that entries with more processor time get
// more of them, and that a second entry is due after claimStagger.
func TestUnownedNamesSpreadOverEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	var items []bbrkv.Item
	for i := range 10 {
		cpu := 200
		if i >= 8 {
			cpu = 800
		}
		name := fmt.Sprintf("e%d", i)
		items = append(items, bbrkv.Item{Key: entryPrefix + name, Revision: bbrkv.Revision(i + 1), Value: marshal(t, entryRecord{Entry: name, MilliCPU: cpu})})
	}
	var names []string
	for i := range 12 {
		names = append(names, fmt.Sprintf("press/%02d", i))
	}
	dueAt := func(at time.Time) map[string][]string {
		owners := make(map[string][]string)
		for i := range 10 {
			d := &Directory{}
			d.Snapshot(items, 0, now)
			d.DueClaims(names, "", now)
			entry := fmt.Sprintf("e%d", i)
			for _, name := range d.DueClaims(names, entry, at) {
				owners[name] = append(owners[name], entry)
			}
		}
		return owners
	}
	counts := make(map[string]int)
	for name, entries := range dueAt(now) {
		require.Len(t, entries, 1, name)
		counts[entries[0]]++
	}
	require.Len(t, dueAt(now), len(names), "at first, each name is due at exactly one entry")
	require.GreaterOrEqual(t, counts["e9"], 3)
	require.GreaterOrEqual(t, counts["e8"], 3)
	for i := range 8 {
		require.LessOrEqual(t, counts[fmt.Sprintf("e%d", i)], 1)
	}
	for name, entries := range dueAt(now.Add(claimStagger)) {
		require.GreaterOrEqual(t, len(entries), 2, name)
	}
}

// TestOwnedNamesAreNotDue checks that a name with an owner is not claimed.
func TestOwnedNamesAreNotDue(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &Directory{}
	d.Snapshot([]bbrkv.Item{
		{Key: entryPrefix + "e1", Revision: 1, Value: marshal(t, entryRecord{Entry: "e1", MilliCPU: 400})},
		{Key: ClaimKey("press/0"), Revision: 2, Created: 2, Value: marshal(t, claimRecord{Entry: "e1"})},
	}, 0, now)
	require.Equal(t, []string{"press/1"}, d.DueClaims([]string{"press/0", "press/1"}, "e1", now.Add(time.Hour)))
}
