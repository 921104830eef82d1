package bbrlimit

import (
	"bytes"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestReadAllReturnsTheBody guards against bodies that are cut off, and against buffers
// that follow the declared length instead of what arrives.
func TestReadAllReturnsTheBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := bytes.Repeat([]byte("x"), rapid.IntRange(0, 3*firstRead).Draw(t, "bytes"))
		limit := rapid.Int64Range(1, 3*firstRead).Draw(t, "limit")
		declared := rapid.SampledFrom([]int64{-1, int64(len(sent)), limit}).Draw(t, "declared")
		if declared >= 0 && declared < int64(len(sent)) {
			declared = -1
		}
		got, err := ReadAll(iotest.OneByteReader(bytes.NewReader(sent)), declared, limit)
		require.NoError(t, err)
		require.Equal(t, sent[:min(len(sent), int(limit)+1)], got)
	})
	got, err := ReadAll(bytes.NewReader(make([]byte, 10)), 1<<30, 1<<30)
	require.NoError(t, err)
	require.LessOrEqual(t, cap(got), firstRead)
}
