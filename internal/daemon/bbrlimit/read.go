package bbrlimit

import (
	"io"

	"github.com/cockroachdb/errors"
)

// firstRead is the size of the first buffer for a body of unknown length, or of a large
// one.
const firstRead = 4 << 10

// ReadAll reads a body of the declared length, -1 if unknown, up to limit+1 bytes. What it
// allocates follows what arrives, not what is declared.
func ReadAll(body io.Reader, declared, limit int64) ([]byte, error) {
	largest := limit + 1
	if declared >= 0 {
		// With one byte more, the end is found without growing.
		largest = min(largest, declared+1)
	}
	buffer := make([]byte, 0, min(largest, firstRead))
	for int64(len(buffer)) < limit+1 {
		if len(buffer) == cap(buffer) {
			grown := make([]byte, len(buffer), max(min(int64(2*cap(buffer)), largest), int64(len(buffer))+1))
			copy(grown, buffer)
			buffer = grown
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return buffer, nil
}
