package bbrgateway

import (
	"io"

	"github.com/bluebellridge/bluebellridge/internal/request/bbrroute"
)

// slotReader gives the slot back when the rest of an answer has been read or
// given up.
type slotReader struct {
	io.ReadCloser
	pool   *bbrroute.Pool
	target *bbrroute.Target
}

// Close implements io.Closer. It is called once.
func (r *slotReader) Close() error {
	err := r.ReadCloser.Close()
	r.pool.Release(r.target)
	return err
}
