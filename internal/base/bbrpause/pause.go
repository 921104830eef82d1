// Package bbrpause waits for a duration or until a context ends.
package bbrpause

import (
	"context"
	"time"
)

// For waits for the duration or until ctx ends.
func For(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
