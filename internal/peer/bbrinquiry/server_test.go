package bbrinquiry

import (
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcconn"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlimit"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrowner"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestLargestMessage guards against hints of jobs within limits.bodyBytes that the server
// refuses, and against messages beyond its bound that it holds.
func TestLargestMessage(t *testing.T) {
	largest := bbrsettings.Default().Limits
	largest.BodyBytes = 16 << 20
	cases := []struct {
		name            string
		maxMessageBytes int64
		specBytes       int
		accepted        bool
	}{
		{"default", 0, 5 << 19, true},
		{"beyond the default", 0, 4 << 20, false},
		{"largest body", bbrlimit.MaxMessageBytes(&largest), 16 << 20, true},
		{"beyond the setting", 1 << 19, 1 << 20, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener, address := listen(t)
			server := &Server{MaxMessageBytes: c.maxMessageBytes, AcceptHint: func(bbrowner.Hint) HintResponse { return HintResponse{Accepted: true} }}
			go func() { _ = server.Run(t.Context(), listener) }()
			connection, err := net.Dial("tcp", address.String())
			require.NoError(t, err)
			client := drpcconn.New(connection)
			defer client.Close()
			in := &HintRequest{Hint: bbrowner.Hint{Job: &bbrwork.Job{Spec: strings.Repeat("x", c.specBytes)}}}
			err = client.Invoke(t.Context(), hintMethod, jsonEncoding{}, in, &HintResponse{})
			require.Equal(t, c.accepted, err == nil, "%v", err)
		})
	}
}

// TestDefaultOfTheLargestMessage guards against a default that differs from the one of the
// settings.
func TestDefaultOfTheLargestMessage(t *testing.T) {
	limits := bbrsettings.Default().Limits
	require.EqualValues(t, defaultMessageBytes, bbrlimit.MaxMessageBytes(&limits))
}
