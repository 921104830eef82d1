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

// unsolicitedResponse is what nobody asked for.
const unsolicitedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign"

// script is how an upstream answers one request.
type script struct {
	body    string
	chunked bool
	// echo is the request ID in the answer; empty sends none.
	echo string
	// cut ends the connection after so many bytes; -1 sends all.
	cut int
	// early sends an interim answer first, and extra adds bytes that nobody
	// asked for.
	early, extra bool
	// linger is how long the connection stays open after the cut.
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

// scriptedUpstream is an upstream that answers as its scripts say, in turn.
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

// takeBack takes the script of a request that was not read and reports whether
// there was one.
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

// TestCompleteResponseOrError cuts answers at every byte, mixes them up and adds what
// nobody asked for. An exchange gives the whole answer to its own request or a
// failure, and never says of a request that was written that it was not.
func TestCompleteResponseOrError(t *testing.T) {
	upstream, address := startScriptedUpstream(t)
	rapid.Check(t, func(t *rapid.T) {
		pool := &Pool{DialTimeout: time.Minute}
		defer pool.CloseIdle(address)
		// closing is whether the connection of an earlier answer may be
		// closing still.
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
				if s.extra && rapid.Bool().Draw(t, "after the answer") {
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
				require.Equal(t, s.body, string(reply.Body), "should be whole and its own")
				require.NotEqual(t, "request-of-somebody-else", s.echo, "should be a mismatch")
				require.False(t, requireEcho && s.echo == "", "should be a mismatch")
				closing = closing || s.cut >= 0
				continue
			}
			var failed *AttemptError
			require.True(t, errors.As(err, &failed))
			if upstream.takeBack() {
				// The upstream closed the connection after an earlier answer
				// and never read this request.
				require.Contains(t, []bbrretry.Failure{bbrretry.ConnectionBroken, bbrretry.ConnectFailed}, failed.Failure)
				require.True(t, closing, "expected an open connection")
				continue
			}
			require.NotEqual(t, bbrretry.ConnectFailed, failed.Failure, "expected another failure: the request was read")
			broken := s.cut >= 0 || s.echo != id
			require.True(t, broken, "expected an answer: %v", err)
		}
	})
}

// TestTruncatedLongResponseFails sees to it that a long answer that ends early is an
// error for its reader.
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
		require.Equal(t, s.cut == length, err == nil, "should fail unless whole")
		if err == nil {
			require.Equal(t, s.body, string(reply.Body)+string(rest))
		}
		require.NoError(t, reply.Rest.Close())
	})
}
