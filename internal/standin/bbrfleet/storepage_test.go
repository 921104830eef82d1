package bbrfleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestListsHavePages guards against a stand-in whose lists are complete in one response,
// however large they are.
func TestListsHavePages(t *testing.T) {
	for _, test := range []struct {
		name                 string
		items, size, inPage1 int
	}{
		{"few small items", 499, 10, 499},
		{"many small items", 1100, 10, 500},
		{"large items", 30, 100 << 10, 10},
		{"item beyond a page", 2, 2 << 20, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := &Fleet{}
			for i := range test.items {
				f.Put(fmt.Sprintf("list/%04d", i), make([]byte, test.size))
			}
			server := httptest.NewServer(f.Handler())
			defer server.Close()
			read, after := 0, ""
			for pageNumber := 1; ; pageNumber++ {
				p := readPage(t, server.URL+"/kv-range?prefix=list/&after="+after)
				if pageNumber == 1 {
					require.Len(t, p.Items, test.inPage1)
				}
				read += len(p.Items)
				if !p.More {
					break
				}
				after = p.Items[len(p.Items)-1].Key
			}
			require.Equal(t, test.items, read)
		})
	}
}

// TestSlowStoreDelaysLargeListsOnly guards against a stand-in whose slow lists slow all
// other calls down.
func TestSlowStoreDelaysLargeListsOnly(t *testing.T) {
	const delay, rate = 500 * time.Millisecond, 200 << 10
	f := &Fleet{}
	f.SetCallFaults(CallFaults{ListDelay: delay, ListBytesPerSecond: rate})
	for i := range largeListItems {
		f.Put(fmt.Sprintf("large/%04d", i), make([]byte, 300))
	}
	f.Put("small/0", make([]byte, 300))
	server := httptest.NewServer(f.Handler())
	defer server.Close()

	start := time.Now()
	require.Len(t, readPage(t, server.URL+"/kv-range?prefix=large/").Items, largeListItems)
	require.GreaterOrEqual(t, time.Since(start), delay+largeListItems*300*time.Second/rate)
	start = time.Now()
	require.Len(t, readPage(t, server.URL+"/kv-range?prefix=small/").Items, 1)
	require.Less(t, time.Since(start), delay)
}

func readPage(t *testing.T, url string) page {
	response, err := http.Get(url)
	require.NoError(t, err)
	defer response.Body.Close()
	var p page
	require.NoError(t, json.NewDecoder(response.Body).Decode(&p))
	return p
}
