package bbrsoak

import (
	"context"
	"time"
)

// checkRegularly calls check at the interval until ctx ends.
func checkRegularly(ctx context.Context, interval time.Duration, check func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			check()
		}
	}
}
