package bbrclaim

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

func marshal(t *testing.T, record any) []byte {
	t.Helper()
	data, err := json.Marshal(record)
	require.NoError(t, err)
	return data
}

// TestOwnerAddress checks that the address of an owner is that of the process
// that made the claim. A later process of the same name does not own the shard.
func TestOwnerAddress(t *testing.T) {
	now := time.Unix(1000, 0)
	address := netip.MustParseAddrPort("10.0.0.1:7075")
	entry := func(incarnation string, peers netip.AddrPort, revision bbrkv.Revision) bbrkv.Item {
		return bbrkv.Item{Key: entryPrefix + "e1", Revision: revision, Value: marshal(t, entryRecord{Entry: "e1", Incarnation: incarnation, PeerAddress: peers})}
	}
	d := &Directory{}
	_, ok := d.OwnerAddress("press")
	require.False(t, ok)

	d.Snapshot([]bbrkv.Item{
		entry("first", address, 1),
		{Key: ClaimKey("press"), Revision: 2, Created: 2, Value: marshal(t, claimRecord{Entry: "e1", Incarnation: "first"})},
	}, 0, now)
	got, ok := d.OwnerAddress("press")
	require.True(t, ok)
	require.Equal(t, address, got)

	d.Change(entry("second", address, 3), now)
	_, ok = d.OwnerAddress("press")
	require.False(t, ok)
	d.Change(entry("first", netip.AddrPort{}, 4), now)
	_, ok = d.OwnerAddress("press")
	require.False(t, ok, "the entry has no peer address")
}
