package bbrlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClosesAreLoggedAtABoundedRate guards against a log line for each refused connection,
// and against connections that no line accounts for.
func TestClosesAreLoggedAtABoundedRate(t *testing.T) {
	var l closeLog
	kind, now := closeKind{Callers, reasonNoRoom}, time.Now()
	require.Equal(t, 1, l.due(kind, now))
	for range 500 {
		require.Zero(t, l.due(kind, now.Add(time.Second)))
	}
	require.Equal(t, 1, l.due(closeKind{Peers, reasonNoRoom}, now.Add(time.Second)))
	require.Equal(t, 501, l.due(kind, now.Add(logInterval)))
}
