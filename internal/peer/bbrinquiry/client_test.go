package bbrinquiry

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrdetector"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrfairshare"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrowner"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const pingTimeout = 400 * time.Millisecond

var pressShard = bbrwork.Shard{Service: "press", Cell: 2}

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
		return bbrwork.Running, shard == pressShard && job == "known"
	}, JobExplanation: func(_ bbrwork.Shard, job string) (bbrscheduler.Explanation, bool) {
		return bbrscheduler.Explanation{Queue: "proofs"}, job == "known"
	}, AcceptHint: func(hint bbrowner.Hint) HintResponse {
		return HintResponse{Accepted: hint.Job.Spec == "x" && hint.Stored == 8}
	}}
	go func() { _ = server.Run(t.Context(), listener) }()
	client := NewClient()
	defer client.Close()
	for range 3 {
		state, known := client.State(t.Context(), address, pressShard, "known", time.Now())
		require.True(t, known)
		require.Equal(t, bbrwork.Running, state)
		_, known = client.State(t.Context(), address, pressShard, "other", time.Now())
		require.False(t, known)
		explanation, known := client.Explain(t.Context(), address, pressShard, "known", time.Now())
		require.True(t, known)
		require.Equal(t, "proofs", explanation.Queue)
		response, answered := client.Hint(t.Context(), address, bbrowner.Hint{Job: &bbrwork.Job{Spec: "x"}, Stored: 8}, time.Now())
		require.True(t, answered)
		require.True(t, response.Accepted)
	}
}

// TestUnresponsiveEntryIsNotQueriedDuringBackoff checks that only one query waits for
// an entry that does not answer, and that the entry is queried again after the
// backoff.
func TestUnresponsiveEntryIsNotQueriedDuringBackoff(t *testing.T) {
	silent, address := listen(t)
	client := NewClient()
	defer client.Close()
	now := time.Now()
	_, known := client.State(t.Context(), address, pressShard, "a", now)
	require.False(t, known)
	require.True(t, client.inBackoff(address, now.Add(failureBackoff-time.Millisecond)))
	require.False(t, client.inBackoff(address, now.Add(failureBackoff)))

	server := &Server{JobState: func(bbrwork.Shard, string) (bbrwork.State, bool) { return bbrwork.Pending, true }}
	go func() { _ = server.Run(t.Context(), silent) }()
	_, known = client.State(t.Context(), address, pressShard, "a", now.Add(failureBackoff))
	require.True(t, known)
	require.False(t, client.inBackoff(address, now))
}

// TestReachability checks that an entry reports whether it reaches another, and that
// the result is NoAnswer if the queried entry itself does not answer.
func TestReachability(t *testing.T) {
	listener, address := listen(t)
	silent, silentAddress := listen(t)
	client := NewClient()
	defer client.Close()
	server := &Server{PingEntry: client.Ping}
	go func() { _ = server.Run(t.Context(), listener) }()

	require.NoError(t, client.Ping(t.Context(), address, pingTimeout, time.Now()))
	require.Equal(t, bbrdetector.Reachable, client.Reachability(t.Context(), address, address, pingTimeout, time.Now()))
	require.Error(t, client.Ping(t.Context(), silentAddress, pingTimeout, time.Now()))
	require.Equal(t, bbrdetector.Unreachable, client.Reachability(t.Context(), address, silentAddress, pingTimeout, time.Now()))
	require.Equal(t, bbrdetector.NoAnswer, client.Reachability(t.Context(), silentAddress, address, pingTimeout, time.Now()))
	require.NoError(t, silent.Close())
	require.Equal(t, bbrdetector.Unreachable, client.Reachability(t.Context(), address, silentAddress, pingTimeout, time.Now()))
	require.ErrorIs(t, client.Ping(t.Context(), silentAddress, pingTimeout, time.Now()), syscall.ECONNREFUSED)
}

// TestHintAnswerOfAnEarlierBuild guards against an entry that takes the answer of an owner
// of an earlier build, which tells no waits, for a refusal or a failure, and against waits
// that are lost on the way.
func TestHintAnswerOfAnEarlierBuild(t *testing.T) {
	var response HintResponse
	require.NoError(t, jsonEncoding{}.Unmarshal([]byte(`{"taken":true}`), &response))
	require.Equal(t, HintResponse{Accepted: true}, response)
	data, err := jsonEncoding{}.Marshal(&response)
	require.NoError(t, err)
	require.JSONEq(t, `{"taken":true}`, string(data))

	listener, address := listen(t)
	waits := []bbrfairshare.Wait{{Organisation: "press", Queue: "proofs", Expected: time.Second, Path: time.Minute, Beyond: true}}
	server := &Server{AcceptHint: func(bbrowner.Hint) HintResponse { return HintResponse{Accepted: true, Waits: waits} }}
	go func() { _ = server.Run(t.Context(), listener) }()
	client := NewClient()
	defer client.Close()
	response, answered := client.Hint(t.Context(), address, bbrowner.Hint{Job: &bbrwork.Job{}}, time.Now())
	require.True(t, answered)
	require.Equal(t, waits, response.Waits)
}

// TestNoAnswerToAHint guards against an answer made up for an owner that does not respond.
func TestNoAnswerToAHint(t *testing.T) {
	_, address := listen(t)
	client := NewClient()
	defer client.Close()
	response, answered := client.Hint(t.Context(), address, bbrowner.Hint{Job: &bbrwork.Job{}}, time.Now())
	require.False(t, answered)
	require.Empty(t, response)
}
