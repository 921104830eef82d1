package bbrfleet

import (
	"encoding/json"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEntryReadsItsAddressesOfUpstreams guards against an entry that reaches upstreams
// past the relays of its link.
func TestEntryReadsItsAddressesOfUpstreams(t *testing.T) {
	f := &Fleet{}
	registered, relayed := netip.MustParseAddrPort("127.0.0.1:14001"), netip.MustParseAddrPort("127.0.0.1:35002")
	f.Put(registrationPrefix+"i-1", []byte(`{"address":"127.0.0.1:14001"}`))
	f.Put(registrationPrefix+"i-2", []byte(`{"address":"127.0.0.1:1400"}`))
	f.Put("other/i-1", []byte(`{"address":"127.0.0.1:14001"}`))
	server := httptest.NewServer(f.HandlerFor(Addresses{registered: relayed}))
	defer server.Close()
	for key, want := range map[string]string{registrationPrefix + "i-1": relayed.String(), registrationPrefix + "i-2": "127.0.0.1:1400", "other/i-1": registered.String()} {
		for _, target := range []string{"/kv-range?prefix=", "/kv-watch?wait_ms=0&after=1&prefix="} {
			p := readPage(t, server.URL+target+key)
			items := append(p.Items, p.Events...)
			require.Len(t, items, 1)
			var registration struct {
				Address string `json:"address"`
			}
			require.NoError(t, json.Unmarshal(items[0].Value, &registration))
			require.Equal(t, want, registration.Address, target+key)
		}
	}
}
