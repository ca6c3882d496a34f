package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestUrgentWorkRunsWithinABatch(t *testing.T) {
	l := newLoop()
	l.urgentInterval = 0
	var order []string
	note := func(what string) func() { return func() { order = append(order, what) } }
	l.post(func() {
		order = append(order, "first")
		l.post(note("third"))
		l.postUrgent(note("message"))
	})
	l.post(note("second"))
	l.postUrgent(note("before"))
	l.afterUrgent = note("tick")
	l.post(func() { l.post(l.stop) })
	l.run(func() time.Duration { return 0 })
	require.GreaterOrEqual(t, len(order), 10)
	// After "third" the function that stops the loop may wait for another batch.
	assert.Equal(t, []string{"before", "tick", "first", "message", "tick", "second", "tick", "tick", "tick", "third"}, order[:10])
}

func TestUrgentWorkWaitsForAShortBatch(t *testing.T) {
	l := newLoop()
	l.urgentInterval = time.Hour
	var order []string
	l.post(func() {
		l.postUrgent(func() { order = append(order, "message"); l.stop() })
		order = append(order, "first")
	})
	l.post(func() { order = append(order, "second") })
	l.run(func() time.Duration { return 0 })
	assert.Equal(t, []string{"first", "second", "message"}, order)
}
