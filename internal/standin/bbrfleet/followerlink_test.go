package bbrfleet

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrrelay"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
	"github.com/bluebellridge/bluebellridge/platform/bbrwire"
)

// TestFollowerCatchesUpOverSlowLink guards against a follower that never gets past the
// changes that were made while it could not read them, since the response of its watch
// takes longer than the call may.
func TestFollowerCatchesUpOverSlowLink(t *testing.T) {
	f := &Fleet{}
	server := httptest.NewServer(f.Handler())
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	link := &bbrrelay.Link{}
	link.SetRate(250_000)
	relay := &bbrrelay.Relay{Target: netip.MustParseAddrPort(server.Listener.Addr().String()), Link: link}
	go relay.Run(listener)

	store := bbrwire.NewStore(bbrwire.NewClient(4, nil), netip.MustParseAddrPort(listener.Addr().String()), func(string) {})
	f.Put("jobs/first", []byte("1"))
	changes := make(chan string, 1000)
	follower := &bbrkv.Follower{Store: store, Prefix: "jobs/", WatchTimeout: 300 * time.Millisecond,
		OnSnapshot: func([]bbrkv.Item, bbrkv.Revision, time.Time) {},
		OnChange:   func(item bbrkv.Item, _ time.Time) { changes <- item.Key }}
	_, asOf, _ := f.store.Get("jobs/first", time.Now())
	follower.StartAfter(bbrkv.Revision(asOf), time.Now())
	for i := range 300 {
		f.Put(fmt.Sprintf("jobs/%04d", i), make([]byte, 1000))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	go follower.Run(ctx)
	for i := range 300 {
		select {
		case <-changes:
		case <-ctx.Done():
			t.Fatalf("%d of 300 changes were read in 15 s", i)
		}
	}
}
