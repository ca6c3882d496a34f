package control

import (
	"time"

	"gaugeslip/coord/replica"
)

// causeFields returns the log keys and values of a cause, without those that are zero.
func causeFields(cause replica.Cause) []any {
	line := []any{"cause", string(cause.Kind)}
	if cause.Member != "" {
		line = append(line, "of", cause.Member)
	}
	for _, field := range []struct {
		name   string
		length time.Duration
	}{
		{"silence", cause.Silence}, {"paused", cause.Paused}, {"stuck", cause.Stuck}, {"patience", cause.Patience},
		{"sync", cause.Sync}, {"lease-over", cause.LeaseOver},
	} {
		if length := field.length.Round(time.Millisecond); length > 0 {
			line = append(line, field.name, length)
		}
	}
	if cause.Index > 0 {
		line = append(line, "index", cause.Index)
	}
	if len(cause.Answered) > 0 {
		line = append(line, "answered", cause.Answered)
	}
	if cause.Adopted {
		line = append(line, "adopted", true)
	}
	return line
}
