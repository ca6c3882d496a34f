package control

import (
	"time"

	"gaugeslip/coord/replica"
)

// causeFields are the keys and values with which the log tells of a cause; what is zero is left out.
func causeFields(cause replica.Cause) []any {
	line := []any{"cause", string(cause.Kind)}
	if cause.Member != "" {
		line = append(line, "of", cause.Member)
	}
	for _, figure := range []struct {
		name   string
		length time.Duration
	}{
		{"silence", cause.Silence}, {"paused", cause.Paused}, {"stuck", cause.Stuck}, {"patience", cause.Patience},
		{"sync", cause.Sync}, {"lease-over", cause.LeaseOver},
	} {
		if length := figure.length.Round(time.Millisecond); length > 0 {
			line = append(line, figure.name, length)
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
