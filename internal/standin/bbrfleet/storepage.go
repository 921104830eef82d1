package bbrfleet

import (
	"net/http"
	"time"
)

// A page of a list has at most maxPageItems items, and at most maxPageBytes of keys and
// values unless it has a single item.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// firstPage returns the items of the first page and whether there are more.
func firstPage(items []Item) ([]Item, bool) {
	size := 0
	for i, item := range items {
		size += len(item.Key) + len(item.Value)
		if i == maxPageItems || i > 0 && size > maxPageBytes {
			return items[:i], true
		}
	}
	return items, false
}

// slowWriter is an http.ResponseWriter that sends the body at a limited rate, 0 for no
// limit.
type slowWriter struct {
	http.ResponseWriter
	bytesPerSecond int
}

// slowChunk is how many bytes a slowWriter sends at once.
const slowChunk = 4 << 10

// Write implements http.ResponseWriter.
func (w *slowWriter) Write(data []byte) (int, error) {
	if w.bytesPerSecond == 0 {
		return w.ResponseWriter.Write(data)
	}
	controller := http.NewResponseController(w.ResponseWriter)
	written := 0
	for written < len(data) {
		chunk := data[written:min(len(data), written+slowChunk)]
		time.Sleep(time.Duration(len(chunk)) * time.Second / time.Duration(w.bytesPerSecond))
		n, err := w.ResponseWriter.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
		if err := controller.Flush(); err != nil {
			return written, err
		}
	}
	return written, nil
}
