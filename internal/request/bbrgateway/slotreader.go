package bbrgateway

import (
	"io"

	"github.com/bluebellridge/bluebellridge/internal/request/bbrroute"
)

// slotReader reads the rest of a streamed answer and releases the slot when it is
// closed, whether or not all of it has been read.
type slotReader struct {
	io.ReadCloser
	pool   *bbrroute.Pool
	target *bbrroute.Target
}

// Close implements io.Closer. It must be called exactly once.
func (r *slotReader) Close() error {
	err := r.ReadCloser.Close()
	r.pool.Release(r.target)
	return err
}
