package bbrclaim

import (
	"bytes"
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestRegistrationNamesAddress guards against logs that do not tell which entry an address
// belongs to: other entries log a lost entry by its address only.
func TestRegistrationNamesAddress(t *testing.T) {
	state := klog.CaptureState()
	t.Cleanup(state.Restore)
	var log bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&log)
	store := &claimStore{items: make(map[string]bbrkv.Item)}
	s := &Session{
		Entry: "edge-d-49", Zone: "d", Incarnation: "one", MilliCPU: 800, PeerAddress: netip.MustParseAddrPort("10.4.0.81:7295"),
		Store: &bbrkv.Store{
			Commit: store.commit,
			Get:    func(context.Context, string) (bbrkv.Item, error) { return bbrkv.Item{}, bbrkv.ErrNotFound },
			Grant:  func(context.Context, time.Duration) (bbrkv.Lease, time.Duration, error) { return 4, leaseTTL, nil },
		},
	}
	require.NoError(t, s.open(t.Context()))
	klog.Flush()
	require.Contains(t, log.String(), `"Registered" entry="edge-d-49" zone="d" peers="10.4.0.81:7295" milliCPU=800`)
}
