package sizing

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type referenceItem struct {
	ticket Ticket
	value  int
}

// A Queue behaves like a slice that is sorted stably by deadline.
func TestQueueMatchesSortedSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue, next := NewQueue[int](), 0
		var want, gone []referenceItem
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				deadline := time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline"))
				next++
				want = append(want, referenceItem{queue.Push(deadline, next), next})
				slices.SortStableFunc(want, func(a, b referenceItem) int {
					return cmp.Compare(a.ticket.Deadline, b.ticket.Deadline)
				})
			},
			"pop": func(t *rapid.T) {
				ticket, value, ok := queue.Pop()
				require.Equal(t, len(want) > 0, ok)
				if ok {
					require.Equal(t, want[0], referenceItem{ticket, value})
					gone, want = append(gone, want[0]), want[1:]
				}
			},
			"remove": func(t *rapid.T) {
				if len(want) == 0 {
					_, ok := queue.Remove(Ticket{})
					require.False(t, ok, "the queue is empty")
					return
				}
				at := rapid.IntRange(0, len(want)-1).Draw(t, "at")
				value, ok := queue.Remove(want[at].ticket)
				require.True(t, ok)
				require.Equal(t, want[at].value, value)
				gone, want = append(gone, want[at]), slices.Delete(want, at, at+1)
			},
			"remove absent": func(t *rapid.T) {
				never := append(slices.Clone(gone), referenceItem{ticket: Ticket{}})
				_, ok := queue.Remove(rapid.SampledFrom(never).Draw(t, "gone").ticket)
				require.False(t, ok)
			},
			"stop early": func(t *rapid.T) {
				limit := rapid.IntRange(0, len(want)).Draw(t, "limit")
				var seen []referenceItem
				for ticket, value := range queue.All() {
					if len(seen) == limit {
						break
					}
					seen = append(seen, referenceItem{ticket, value})
				}
				require.True(t, slices.Equal(want[:limit], seen), "want %v, seen %v", want[:limit], seen)
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(want), queue.Len())
				ticket, value, ok := queue.First()
				require.Equal(t, len(want) > 0, ok)
				if ok {
					require.Equal(t, want[0], referenceItem{ticket, value})
				}
			},
		})
	})
}

func TestQueueIsFIFOForEqualDeadlines(t *testing.T) {
	queue := NewQueue[string]()
	for _, value := range []string{"first", "second", "third"} {
		queue.Push(time.Second, value)
	}
	queue.Push(0, "urgent")
	var seen []string
	for _, value := range queue.All() {
		seen = append(seen, value)
	}
	assert.Equal(t, []string{"urgent", "first", "second", "third"}, seen)
}

func BenchmarkQueue(b *testing.B) {
	queue := NewQueue[int]()
	for i := range 10000 {
		queue.Push(time.Duration(i*7919%10000), i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ticket, value, _ := queue.Pop()
		queue.Push(ticket.Deadline+time.Duration(i*7919%10000), value)
	}
}
