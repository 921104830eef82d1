package bbrlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
)

// patience bounds how long a test waits. It is long, so that no test depends on the
// machine's speed.
const patience = 30 * time.Second

// server is an HTTP server on a loopback address with limits.
type server struct {
	limits  *Limits
	address string
}

func startServer(t *testing.T, change func(s *bbrsettings.Settings), handle http.HandlerFunc) *server {
	settings := bbrsettings.Default()
	settings.Limits.BodyBytes, settings.Limits.BytesInFlight = 1<<20, 8<<20
	if change != nil {
		change(&settings)
	}
	s := &server{limits: New(settings, bbrmetric.New())}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = listener.Addr().String()
	web := &http.Server{Handler: s.limits.Handler(handle), ConnContext: ConnContext, ReadHeaderTimeout: patience, ErrorLog: nil}
	t.Cleanup(func() { require.NoError(t, web.Close()) })
	go func() { _ = web.Serve(s.limits.Listener(Callers, listener)) }()
	return s
}

func (s *server) dial(t *testing.T) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(patience)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// send sends text and returns the next response with its body.
func send(t *testing.T, conn net.Conn, text string) (*http.Response, string) {
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

func requireClosed(t *testing.T, conn net.Conn) {
	_, err := io.Copy(io.Discard, conn)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is still open")
}

// readBody answers with the code of the error of reading the body.
func readBody(w http.ResponseWriter, r *http.Request) {
	if _, err := ReadAll(r.Body, r.ContentLength, 4<<20); err != nil {
		w.WriteHeader(bbrcode.From(err, bbrcode.BodyIncomplete).Info().Status)
	}
}

func (s *server) requireNothingHeld(t *testing.T) {
	require.Eventually(t, func() bool { return s.limits.bodies.held.Load() == 0 }, patience, time.Millisecond)
}

// TestConnectionsAreReused guards against limits that end the connections of clients that
// behave well.
func TestConnectionsAreReused(t *testing.T) {
	s := startServer(t, nil, readBody)
	conn := s.dial(t)
	for range 3 {
		response, _ := send(t, conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.False(t, response.Close)
		response, _ = send(t, conn, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.False(t, response.Close)
		response, _ = send(t, conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	s.requireNothingHeld(t)
}

// TestRequestBeyondTheBudgetIsRefused guards against bodies that are held beyond the
// budget, and against a budget that is not released.
func TestRequestBeyondTheBudgetIsRefused(t *testing.T) {
	s := startServer(t, nil, readBody)
	const part = 3 << 20
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", part+1)
	first := s.dial(t)
	_, err := io.WriteString(first, head+strings.Repeat(" ", part))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.limits.bodies.held.Load() == part }, patience, time.Millisecond)
	second := s.dial(t)
	go func() { _, _ = io.WriteString(second, head+strings.Repeat(" ", part)) }()
	require.Eventually(t, func() bool { return s.limits.bodies.held.Load() == 2*part }, patience, time.Millisecond)
	response, _ := send(t, s.dial(t), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
	require.Equal(t, http.StatusOK, response.StatusCode, "a small body is refused")
	third := s.dial(t)
	go func() { _, _ = io.WriteString(third, head+strings.Repeat(" ", part)) }()
	response, err = http.ReadResponse(bufio.NewReader(third), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close)
	require.NoError(t, first.Close())
	require.NoError(t, second.Close())
	require.NoError(t, third.Close())
	s.requireNothingHeld(t)
}

// TestChargesAreReleasedAfterAPanic guards against charges that are lost with a handler.
func TestChargesAreReleasedAfterAPanic(t *testing.T) {
	s := startServer(t, nil, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = ReadAll(r.Body, r.ContentLength, 1<<20)
		if Charge(r, 1<<20) == nil {
			panic(http.ErrAbortHandler)
		}
	})
	conn := s.dial(t)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
	require.NoError(t, err)
	requireClosed(t, conn)
	s.requireNothingHeld(t)
}

// TestRefusedChargeClosesTheConnection guards against a client that keeps its connection
// after a refusal for which its whole body was read.
func TestRefusedChargeClosesTheConnection(t *testing.T) {
	s := startServer(t, nil, func(w http.ResponseWriter, r *http.Request) {
		_, err := ReadAll(r.Body, r.ContentLength, 1<<20)
		if err == nil {
			err = Charge(r, 9<<20)
		}
		w.WriteHeader(bbrcode.From(err, bbrcode.BodyIncomplete).Info().Status)
	})
	conn := s.dial(t)
	response, _ := send(t, conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
	require.Equal(t, bbrcode.TooManyBytes.Info().Status, response.StatusCode)
	require.True(t, response.Close)
	requireClosed(t, conn)
	s.requireNothingHeld(t)
}

// TestBodyThatIsNotAskedForIsNotRead guards against waiting for a body that the handler
// does not need, of declared and of unknown length, and with an answer that is too large
// to be buffered.
func TestBodyThatIsNotAskedForIsNotRead(t *testing.T) {
	s := startServer(t, nil, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 10_000))
	})
	for _, field := range []string{"Content-Length: 100000", "Transfer-Encoding: chunked", "Content-Length: 100000\r\nExpect: 100-continue"} {
		conn := s.dial(t)
		response, body := send(t, conn, "GET / HTTP/1.1\r\nHost: x\r\n"+field+"\r\n\r\n")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Len(t, body, 10_000)
		requireClosed(t, conn)
	}
}

// TestStalledBodyIsGivenUp guards against waiting for the rest of a body for ever.
func TestStalledBodyIsGivenUp(t *testing.T) {
	s := startServer(t, func(s *bbrsettings.Settings) { s.Timing.Stall = 50 * time.Millisecond }, readBody)
	conn := s.dial(t)
	response, _ := send(t, conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nab")
	require.Equal(t, bbrcode.BodyIncomplete.Info().Status, response.StatusCode)
	requireClosed(t, conn)
	s.requireNothingHeld(t)
}

// TestDeadlineOfABody guards against a minimum transfer rate that is not applied, or that
// applies to what arrives fast enough.
func TestDeadlineOfABody(t *testing.T) {
	settings := bbrsettings.Default()
	settings.Timing.ReadBody, settings.Timing.Stall, settings.Limits.MinTransferRate = 30*time.Second, 10*time.Second, 1000
	b := Body{conn: &Conn{listener: &Listener{limits: &Limits{settings: settings}}}}
	begin := time.Now()
	require.Equal(t, begin.Add(10*time.Second), b.deadline(begin))
	b.received = 5000
	require.Equal(t, begin.Add(11*time.Second), b.deadline(begin.Add(time.Second)))
	require.Equal(t, begin.Add(15*time.Second), b.deadline(begin.Add(9*time.Second)))
	b.received = 1 << 20
	require.Equal(t, begin.Add(30*time.Second), b.deadline(begin.Add(25*time.Second)))
	early := Body{conn: b.conn, end: begin.Add(3 * time.Second)}
	require.Equal(t, begin.Add(3*time.Second), early.deadline(begin))
}

// TestSlowReaderIsGivenUp guards against connections that are kept for clients that do not
// read.
func TestSlowReaderIsGivenUp(t *testing.T) {
	ended := make(chan error, 1)
	s := startServer(t, func(s *bbrsettings.Settings) { s.Timing.Write, s.Limits.MinTransferRate = 50*time.Millisecond, 1<<30 },
		func(w http.ResponseWriter, _ *http.Request) {
			for {
				if _, err := io.WriteString(w, strings.Repeat("x", 1<<20)); err != nil {
					ended <- err
					return
				}
			}
		})
	conn := s.dial(t)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	require.ErrorContains(t, <-ended, "timeout")
}

// TestTooManyHeaderFieldsAreRefused guards against heads of many short fields.
func TestTooManyHeaderFieldsAreRefused(t *testing.T) {
	s := startServer(t, func(s *bbrsettings.Settings) { s.Limits.HeaderFields = 20 }, readBody)
	conn := s.dial(t)
	response, body := send(t, conn, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 50))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	require.Contains(t, body, `"code":2031`)
	requireClosed(t, conn)
}

// TestNewConnectionDisplacesTheOneThatWaitsLongest guards against a crowd that keeps others
// out, and against the end of requests that the process works on.
func TestNewConnectionDisplacesTheOneThatWaitsLongest(t *testing.T) {
	proceed := make(chan struct{})
	s := startServer(t, func(s *bbrsettings.Settings) { s.Limits.Connections = minConnections }, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/work" {
			<-proceed
		}
	})
	working := s.dial(t)
	_, err := io.WriteString(working, "GET /work HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	var waiting []net.Conn
	for range 3 * minConnections {
		conn := s.dial(t)
		response, _ := send(t, conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.Equal(t, http.StatusOK, response.StatusCode)
		waiting = append(waiting, conn)
	}
	for _, conn := range waiting[:minConnections] {
		requireClosed(t, conn)
	}
	close(proceed)
	response, err := http.ReadResponse(bufio.NewReader(working), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	last := waiting[len(waiting)-1]
	response, _ = send(t, last, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// TestPipelinedHeaderFieldsAreRefused guards against heads of many fields that arrive with
// the end of another request, with different names or the same one.
func TestPipelinedHeaderFieldsAreRefused(t *testing.T) {
	var different strings.Builder
	for i := range 30 {
		fmt.Fprintf(&different, "a%d:\r\n", i)
	}
	s := startServer(t, func(s *bbrsettings.Settings) { s.Limits.HeaderFields = 20 }, readBody)
	for name, fields := range map[string]string{"different": different.String(), "same": strings.Repeat("a:\r\n", 30)} {
		t.Run(name, func(t *testing.T) { requirePipelinedRefused(t, s.dial(t), fields) })
	}
}

// requirePipelinedRefused sends two requests at once, and requires that only the second,
// which has the fields, is refused.
func requirePipelinedRefused(t *testing.T, conn net.Conn, fields string) {
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n"+fields+"\r\n")
	require.NoError(t, err)
	answers := bufio.NewReader(conn)
	response, err := http.ReadResponse(answers, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	response, err = http.ReadResponse(answers, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	require.True(t, response.Close)
}
