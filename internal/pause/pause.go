// Package pause suspends goroutines for a time that a context can cut short.
package pause

import (
	"context"
	"time"
)

// For waits for the given time or until ctx ends, in which case it returns the error of ctx. For a time of zero or less it
// returns nil at once, even if ctx has ended.
func For(ctx context.Context, length time.Duration) error {
	if length <= 0 {
		return nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
