package bbrlog

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// bufferedLines limits the lines that wait for a slow output.
	bufferedLines = 2000
	// linesPerSecond and burstLines limit the volume under load.
	linesPerSecond = 400
	burstLines     = 1200
	// droppedLogInterval is the interval at which newly dropped lines are reported.
	droppedLogInterval = 5 * time.Second
)

// Writer passes log lines to an output from the goroutine that calls Run.
type Writer struct {
	out      io.Writer
	buffer   chan []byte
	dropped  atomic.Int64
	accepted atomic.Int64
	limiter  tokenBucket
}

// New returns a writer to out. It buffers the lines until Run is called.
func New(out io.Writer) *Writer {
	return &Writer{out: out, buffer: make(chan []byte, bufferedLines)}
}

// Write accepts or drops a line and never fails. It must be called by one goroutine
// at a time.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.allow(time.Now()) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.buffer <- bytes.Clone(line):
		w.accepted.Add(1)
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Accepted returns the number of accepted lines.
func (w *Writer) Accepted() int64 { return w.accepted.Load() }

// Run passes lines to the output until ctx ends, and then the buffered ones.
func (w *Writer) Run(ctx context.Context) {
	ticker := time.NewTicker(droppedLogInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case line := <-w.buffer:
			_, _ = w.out.Write(line)
		case <-ticker.C:
			if dropped := w.Dropped(); dropped > reported {
				reported = dropped
				_, _ = fmt.Fprintf(w.out, "\"Log lines dropped\" total=%d written=%d\n", dropped, w.Accepted())
			}
		case <-ctx.Done():
			w.drain()
			return
		}
	}
}

// drain writes the buffered lines.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.buffer:
			_, _ = w.out.Write(line)
		default:
			return
		}
	}
}

// Install makes klog write to the writer only.
func (w *Writer) Install() {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "false")
	_ = flags.Set("alsologtostderr", "false")
	_ = flags.Set("stderrthreshold", "FATAL")
	_ = flags.Set("one_output", "true")
	klog.SetOutput(w)
}

// tokenBucket limits lines to linesPerSecond, with bursts of burstLines.
type tokenBucket struct {
	tokens float64
	last   time.Time
}

// allow reports whether a line may be accepted now, and if so takes a token for it.
func (b *tokenBucket) allow(now time.Time) bool {
	if b.last.IsZero() {
		b.tokens = burstLines
	}
	b.tokens = min(burstLines, b.tokens+now.Sub(b.last).Seconds()*linesPerSecond)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
