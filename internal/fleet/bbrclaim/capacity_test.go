package bbrclaim

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// registered returns the item of an entry's registration.
func registered(t require.TestingT, name string, revision bbrkv.Revision, record any) bbrkv.Item {
	data, err := json.Marshal(record)
	require.NoError(t, err)
	return bbrkv.Item{Key: entryPrefix + name, Revision: revision, Value: data}
}

// TestSmallLinkGetsFewerClaims guards against an entry with much processor time and a small
// link that owns as many shards as if its link were large.
func TestSmallLinkGetsFewerClaims(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name         string
		useBandwidth bool
		links        []int
		want         []int
	}{
		{name: "by both", useBandwidth: true, links: []int{200, 10}, want: []int{6, 2}},
		{name: "links that suffice", useBandwidth: true, links: []int{200, 100}, want: []int{4, 4}},
		{name: "earlier builds", useBandwidth: true, links: []int{0, 0}, want: []int{4, 4}},
		{name: "an earlier build among others", useBandwidth: true, links: []int{0, 10}, want: []int{6, 2}},
		{name: "disabled", links: []int{200, 10}, want: []int{4, 4}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := &Directory{UseBandwidth: test.useBandwidth}
			d.Snapshot(nil, 0, now)
			for i, link := range test.links {
				name := fmt.Sprintf("e%d", i)
				d.Change(registered(t, name, bbrkv.Revision(i+1), entryRecord{Entry: name, MilliCPU: 800, BandwidthMbps: link}), now)
			}
			counts := make([]int, 2)
			for shard := range 8 {
				name := fmt.Sprintf("press/%d", shard)
				for i := range counts {
					entry := fmt.Sprintf("e%d", i)
					if due := d.DueClaims([]string{name}, entry, now); len(due) > 0 {
						counts[i]++
						d.RecordOwnClaim(name, Claim{Entry: entry, Revision: bbrkv.Revision(shard + 1)})
					}
				}
			}
			require.Equal(t, test.want, counts)
		})
	}
}

// TestRegistrationOfEarlierBuildHasNoLink guards against a changed format: an earlier build
// must be able to decode the registration, and to rank by it.
func TestRegistrationOfEarlierBuildHasNoLink(t *testing.T) {
	data, err := json.Marshal(entryRecord{Entry: "e1", MilliCPU: 800})
	require.NoError(t, err)
	require.NotContains(t, string(data), "bandwidthMbps", "without the setting, the registration is as before")
	require.Equal(t, 800, carryingCapacity(800, 0))
	require.Equal(t, 250, carryingCapacity(800, 10))
	require.Equal(t, 1, carryingCapacity(0, 0))
}

// TestEveryNameIsClaimedInMixedFleet checks for any registrations, of earlier and present
// builds, that each name without an owner becomes due at some entry, and early. Builds that
// rank differently may only delay a claim, by claimStagger for each entry before.
func TestEveryNameIsClaimedInMixedFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		count := rapid.IntRange(1, 12).Draw(t, "entries")
		var items []bbrkv.Item
		for i := range count {
			name := fmt.Sprintf("e%d", i)
			items = append(items, registered(t, name, bbrkv.Revision(i+1), entryRecord{Entry: name, MilliCPU: rapid.IntRange(0, 800).Draw(t, "milliCPU"), BandwidthMbps: rapid.SampledFrom([]int{0, 10, 50, 200}).Draw(t, "link")}))
		}
		due := make(map[string]bool)
		names := []string{"press/0", "press/1", "press/2"}
		for i := range count {
			d := &Directory{UseBandwidth: rapid.Bool().Draw(t, "present build")}
			d.Snapshot(items, 0, now)
			entry := fmt.Sprintf("e%d", i)
			d.DueClaims(names, entry, now)
			for _, name := range d.DueClaims(names, entry, now.Add(time.Duration(count-1)*claimStagger)) {
				due[name] = true
			}
		}
		require.Len(t, due, len(names))
	})
}
