package bbrconnection

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/request/bbrjob"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrretry"
)

// unsolicitedResponse is a response that belongs to no request.
const unsolicitedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign"

// script describes how an upstream responds to one request.
type script struct {
	body    string
	chunked bool
	// echo is the request ID in the response; if empty, none is sent.
	echo string
	// cut is the number of bytes after which the connection is closed, or -1 to
	// send all of them.
	cut int
	// early sends an interim response first, and extra appends an unsolicited
	// response.
	early, extra bool
	// linger is how long the connection stays open after the last byte of a
	// response that is cut.
	linger time.Duration
}

func (s script) bytes() string {
	var b strings.Builder
	if s.early {
		b.WriteString("HTTP/1.1 103 Early Hints\r\n\r\n")
	}
	b.WriteString("HTTP/1.1 200 OK\r\n")
	if s.echo != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", bbrjob.RequestIDHeader, s.echo)
	}
	if s.chunked {
		half := len(s.body) / 2
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for _, part := range []string{s.body[:half], s.body[half:]} {
			if part != "" {
				fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
			}
		}
		b.WriteString("0\r\n\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(s.body), s.body)
	}
	if s.extra {
		b.WriteString(unsolicitedResponse)
	}
	return b.String()
}

// scriptedUpstream is an upstream that responds according to its scripts, in
// order.
type scriptedUpstream struct {
	listener net.Listener
	scripts  chan script
}

func (u *scriptedUpstream) run() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.loop(conn)
	}
}

func (u *scriptedUpstream) loop(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s := <-u.scripts
		data := s.bytes()
		if s.cut >= 0 && s.cut < len(data) {
			_, _ = io.WriteString(conn, data[:s.cut])
			time.Sleep(s.linger)
			return
		}
		_, _ = io.WriteString(conn, data)
	}
}

// takeUnread removes the script of a request that the upstream has not read, and
// reports whether there was one.
func (u *scriptedUpstream) takeBack() bool {
	select {
	case <-u.scripts:
		return true
	default:
		return false
	}
}

func startScriptedUpstream(t *testing.T) (*scriptedUpstream, netip.AddrPort) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &scriptedUpstream{listener: listener, scripts: make(chan script, 1)}
	t.Cleanup(func() { _ = listener.Close() })
	go u.run()
	return u, netip.MustParseAddrPort(listener.Addr().String())
}

// TestCompleteResponseOrError truncates responses at any byte, gives them the ID
// of another request and appends unsolicited ones. An exchange must return either
// the complete response to its own request or an error, and must not report a
// request that was read by the upstream as unwritten.
func TestCompleteResponseOrError(t *testing.T) {
	upstream, address := startScriptedUpstream(t)
	rapid.Check(t, func(t *rapid.T) {
		pool := &Pool{DialTimeout: time.Minute}
		defer pool.CloseIdle(address)
		// closing is set once the upstream has closed the connection of an
		// earlier, complete response, which may then be reused before the close
		// is noticed.
		closing := false
		for number := range rapid.IntRange(1, 4).Draw(t, "requests") {
			id := fmt.Sprintf("request-%d", number)
			s := script{
				body:    id + strings.Repeat("x", rapid.IntRange(0, 300).Draw(t, "length")),
				chunked: rapid.Bool().Draw(t, "chunked"),
				echo:    rapid.SampledFrom([]string{"", id, "request-of-somebody-else"}).Draw(t, "echo"),
				early:   rapid.Bool().Draw(t, "early"),
				extra:   rapid.IntRange(0, 3).Draw(t, "extra") == 0,
				cut:     -1,
			}
			length := len(s.bytes())
			if rapid.Bool().Draw(t, "cut") {
				s.cut = rapid.IntRange(0, length-1).Draw(t, "at")
				if s.extra && rapid.Bool().Draw(t, "after the response") {
					s.cut = length - len(unsolicitedResponse)
				}
				s.linger = rapid.SampledFrom([]time.Duration{0, time.Millisecond}).Draw(t, "linger")
			}
			upstream.scripts <- s
			requireEcho := rapid.Bool().Draw(t, "require echo")
			reply, err := pool.Do(context.Background(), Exchange{
				Address: address, Job: &bbrjob.Job{ID: id, Method: http.MethodPost, RequestURI: "/x", Body: []byte("b")},
				NewConnection: rapid.Bool().Draw(t, "fresh"), MaxBufferedBytes: 1 << 20, RequireEcho: requireEcho, Deadline: time.Now().Add(time.Minute),
				ReusedDeadline: time.Now().Add(time.Minute),
			})
			if err == nil {
				require.Equal(t, s.body, string(reply.Body), "the response should be complete and belong to the request")
				require.NotEqual(t, "request-of-somebody-else", s.echo, "the response echoes another request's ID")
				require.False(t, requireEcho && s.echo == "", "the response lacks the required echo")
				closing = closing || s.cut >= 0
				continue
			}
			var attemptErr *AttemptError
			require.True(t, errors.As(err, &attemptErr))
			if upstream.takeBack() {
				// The upstream closed the connection after an earlier response
				// and did not read this request.
				require.Contains(t, []bbrretry.Failure{bbrretry.ConnectionBroken, bbrretry.ConnectFailed}, attemptErr.Failure)
				require.True(t, closing, "the exchange failed, although the upstream has not closed a connection")
				continue
			}
			require.NotEqual(t, bbrretry.ConnectFailed, attemptErr.Failure, "the upstream read the request, so it was written")
			broken := s.cut >= 0 || s.echo != id
			require.True(t, broken, "the response is complete and matches, but the exchange failed: %v", err)
		}
	})
}

// TestTruncatedLongResponseFails checks that reading the rest of a streamed
// response fails if the response ends early.
func TestTruncatedLongResponseFails(t *testing.T) {
	upstream, address := startScriptedUpstream(t)
	rapid.Check(t, func(t *rapid.T) {
		s := script{body: strings.Repeat("y", 5000), chunked: rapid.Bool().Draw(t, "chunked"), cut: -1}
		length := len(s.bytes())
		s.cut = rapid.IntRange(2000, length).Draw(t, "at")
		upstream.scripts <- s
		pool := &Pool{DialTimeout: time.Minute}
		reply, err := pool.Do(context.Background(), Exchange{
			Address: address, Job: &bbrjob.Job{ID: "a", Method: http.MethodGet, RequestURI: "/x"}, NewConnection: true,
			MaxBufferedBytes: 1000, Deadline: time.Now().Add(time.Minute),
		})
		require.NoError(t, err)
		require.NotNil(t, reply.Rest)
		rest, err := io.ReadAll(reply.Rest)
		require.Equal(t, s.cut == length, err == nil, "reading should fail unless the response is complete")
		if err == nil {
			require.Equal(t, s.body, string(reply.Body)+string(rest))
		}
		require.NoError(t, reply.Rest.Close())
	})
}
