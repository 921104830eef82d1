package bbrlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWriterNeverBlocks checks that an output that accepts nothing does not block those
// who log.
func TestWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, output := io.Pipe()
		w := New(output)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { w.Run(ctx) })
		for i := range 10 * bufferedLines {
			_, err := fmt.Fprintf(w, "line %d\n", i)
			require.NoError(t, err)
		}
		require.Equal(t, int64(10*bufferedLines), w.Dropped()+w.Accepted())
		require.LessOrEqual(t, w.Accepted(), int64(burstLines))
		cancel()
		require.NoError(t, reader.Close())
		wg.Wait()
	})
}

// TestVolumeIsBounded checks that a burst of lines is limited to the rate and that the
// output reports the dropped ones.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := New(&out)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { w.Run(ctx) })
		const seconds = 10
		for range 100 * seconds {
			for range 50 {
				_, _ = w.Write([]byte("line\n"))
			}
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		wg.Wait()
		require.LessOrEqual(t, w.Accepted(), int64(burstLines+linesPerSecond*seconds+linesPerSecond))
		require.Contains(t, out.String(), "Log lines dropped")
		require.Equal(t, int(w.Accepted()), strings.Count(out.String(), "line\n"))
	})
}
