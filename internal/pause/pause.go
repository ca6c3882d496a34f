// Package pause lets time pass in goroutines that a context can end.
package pause

import (
	"context"
	"time"
)

// For returns after a length of time, or as soon as ctx ends, with its error. A length of zero or less is over at once, with no
// look at ctx.
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
