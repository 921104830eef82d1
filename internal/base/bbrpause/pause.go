// Package bbrpause waits for a time that a context can cut short.
package bbrpause

import (
	"context"
	"time"
)

// For waits for the length or until ctx ends.
func For(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
