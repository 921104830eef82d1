package bbrintake

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlimit"
)

// TestOversizedBodyIsRefusedUnread guards against reading a body whose declared length
// exceeds the limit.
func TestOversizedBodyIsRefusedUnread(t *testing.T) {
	h, memory := newKeyHandler(t)
	r := httptest.NewRequest(http.MethodPost, "http://"+proofsHost+publicPath+publicJob, unreadableBody{t})
	r.ContentLength = h.MaxBodyBytes + 1
	w := httptest.NewRecorder()
	h.Router().ServeHTTP(w, r)
	require.Equal(t, http.StatusRequestEntityTooLarge, w.Code)
	require.Empty(t, memory.items)
}

// TestJobBeyondTheBudgetIsRefused guards against jobs that are decoded and wait to be
// stored although they exceed the bytes that the entry may hold, and against charges that
// outlast the answer. A refused job is not stored.
func TestJobBeyondTheBudgetIsRefused(t *testing.T) {
	h, memory := newKeyHandler(t)
	size := int64(1 << 40)
	h.Codec.SubmissionBytes = func([]byte) (int64, error) { return size, nil }
	limits := bbrlimit.New(bbrsettings.Default(), h.Metrics)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := httptest.NewUnstartedServer(limits.Handler(h.Router()))
	require.NoError(t, server.Listener.Close())
	server.Listener = limits.Listener(bbrlimit.Callers, listener)
	server.Config.ConnContext = bbrlimit.ConnContext
	server.Start()
	defer server.Close()
	submit := func() (int, string) {
		request, err := http.NewRequest(http.MethodPost, server.URL+publicPath+publicJob, strings.NewReader("{}"))
		require.NoError(t, err)
		request.Host = proofsHost
		response, err := server.Client().Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode, response.Header.Get("Retry-After")
	}
	status, retryAfter := submit()
	require.Equal(t, bbrcode.TooManyBytes.Info().Status, status)
	require.Equal(t, "1", retryAfter)
	require.Empty(t, memory.items)
	// Ten times this size exceed the budget.
	size = 400 << 20
	for range 10 {
		status, _ = submit()
		require.Equal(t, http.StatusOK, status)
	}
}
