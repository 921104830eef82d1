package bbrfairshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRefuse checks when a job is refused: with a path of 1 s, a stretch of 1.6 and 600 ms
// it should be completed within 2.2 s, and is of no value after 6.6 s.
func TestRefuse(t *testing.T) {
	const path, stretch, objective = time.Second, 1.6, 600 * time.Millisecond
	tests := []struct {
		name       string
		wait       Wait
		retryAfter time.Duration
		refused    bool
	}{
		{name: "no wait", wait: Wait{Beyond: true}},
		{name: "in time beyond its share", wait: Wait{Beyond: true, Expected: 1200 * time.Millisecond}},
		{name: "may be in time with a rough estimate", wait: Wait{Beyond: true, Expected: 1700 * time.Millisecond}},
		{name: "late beyond its share", wait: Wait{Beyond: true, Expected: 2500 * time.Millisecond}, retryAfter: 3 * time.Second, refused: true},
		{name: "the usual job is longer than estimated", wait: Wait{Beyond: true, Expected: 2500 * time.Millisecond, Path: 2 * time.Second}},
		{name: "late within its share", wait: Wait{Expected: 5 * time.Second}},
		{name: "of no value within its share", wait: Wait{Expected: 12 * time.Second}, retryAfter: 12 * time.Second, refused: true},
		{name: "a backlog of hours", wait: Wait{Expected: time.Hour}, retryAfter: maxRetryAfter, refused: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			retryAfter, refused := test.wait.Refuse(path, stretch, objective)
			require.Equal(t, test.refused, refused)
			require.Equal(t, test.retryAfter, retryAfter)
		})
	}
}

// TestRefusalIsConservative guards against the refusal of a job that would be completed
// within its objective if the wait was as expected, and against a time for a retry that is
// not in whole seconds.
func TestRefusalIsConservative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, name))
		}
		wait := Wait{Expected: duration("wait"), Path: duration("usual"), Beyond: rapid.Bool().Draw(t, "beyond")}
		path, objective, stretch := duration("path"), duration("objective"), rapid.Float64Range(1, 4).Draw(t, "stretch")
		retryAfter, refused := wait.Refuse(path, stretch, objective)
		if !refused {
			return
		}
		require.Greater(t, float64(wait.Expected+path), stretch*float64(path)+float64(objective))
		require.GreaterOrEqual(t, retryAfter, time.Second)
		require.Zero(t, retryAfter%time.Second)
	})
}
