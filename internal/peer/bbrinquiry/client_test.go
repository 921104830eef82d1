package bbrinquiry

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrdetector"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrowner"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const pingWithin = 400 * time.Millisecond

var press = bbrwork.Shard{Service: "press", Cell: 2}

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener, netip.MustParseAddrPort(listener.Addr().String())
}

func TestState(t *testing.T) {
	listener, address := listen(t)
	server := &Server{JobState: func(shard bbrwork.Shard, job string) (bbrwork.State, bool) {
		return bbrwork.Running, shard == press && job == "known"
	}, JobExplanation: func(_ bbrwork.Shard, job string) (bbrscheduler.Explanation, bool) {
		return bbrscheduler.Explanation{Queue: "proofs"}, job == "known"
	}, AcceptHint: func(hint bbrowner.Hint) bool {
		return hint.Job.Spec == "x" && hint.Stored == 8
	}}
	go func() { _ = server.Run(t.Context(), listener) }()
	client := NewClient()
	defer client.Close()
	for range 3 {
		state, known := client.State(t.Context(), address, press, "known", time.Now())
		require.True(t, known)
		require.Equal(t, bbrwork.Running, state)
		_, known = client.State(t.Context(), address, press, "other", time.Now())
		require.False(t, known)
		explanation, known := client.Explain(t.Context(), address, press, "known", time.Now())
		require.True(t, known)
		require.Equal(t, "proofs", explanation.Queue)
		require.True(t, client.Hint(t.Context(), address, bbrowner.Hint{Job: &bbrwork.Job{Spec: "x"}, Stored: 8}, time.Now()))
	}
}

// TestSilentEntryIsNotAskedAgainAtOnce holds that an entry that does not answer
// costs one question, and is asked again a while later.
func TestSilentEntryIsNotAskedAgainAtOnce(t *testing.T) {
	silent, address := listen(t)
	client := NewClient()
	defer client.Close()
	now := time.Now()
	_, known := client.State(t.Context(), address, press, "a", now)
	require.False(t, known)
	require.True(t, client.avoids(address, now.Add(avoidFor-time.Millisecond)))
	require.False(t, client.avoids(address, now.Add(avoidFor)))

	server := &Server{JobState: func(bbrwork.Shard, string) (bbrwork.State, bool) { return bbrwork.Pending, true }}
	go func() { _ = server.Run(t.Context(), silent) }()
	_, known = client.State(t.Context(), address, press, "a", now.Add(avoidFor))
	require.True(t, known)
	require.False(t, client.avoids(address, now))
}

// TestOpinion holds that an entry tells whether it reaches another, and that the
// one that is asked and does not answer counts as silent.
func TestOpinion(t *testing.T) {
	listener, address := listen(t)
	silent, lost := listen(t)
	client := NewClient()
	defer client.Close()
	server := &Server{PingEntry: client.Ping}
	go func() { _ = server.Run(t.Context(), listener) }()

	require.NoError(t, client.Ping(t.Context(), address, pingWithin, time.Now()))
	require.Equal(t, bbrdetector.Reachable, client.Reachability(t.Context(), address, address, pingWithin, time.Now()))
	require.Error(t, client.Ping(t.Context(), lost, pingWithin, time.Now()))
	require.Equal(t, bbrdetector.Unreachable, client.Reachability(t.Context(), address, lost, pingWithin, time.Now()))
	require.Equal(t, bbrdetector.NoAnswer, client.Reachability(t.Context(), lost, address, pingWithin, time.Now()))
	require.NoError(t, silent.Close())
	require.Equal(t, bbrdetector.Unreachable, client.Reachability(t.Context(), address, lost, pingWithin, time.Now()))
	require.ErrorIs(t, client.Ping(t.Context(), lost, pingWithin, time.Now()), syscall.ECONNREFUSED)
}
