package transport

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func receive(t require.TestingT, receiver *Receiver[int], stream, sequence uint64, message int) {
	batch := &Batch[int]{Sender: 1, Stream: stream, Sequence: sequence, Messages: []int{message}}
	require.NoError(t, receiver.Receive(batch, &Ack{}))
}

func TestBatchesAreDeliveredInOrderForAnyArrivalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delivered := []int{}
		receiver := NewReceiver(func(messages []int) { delivered = append(delivered, messages...) })
		total := rapid.IntRange(1, 60).Draw(t, "total")
		expected := make([]int, total)
		for at := range expected {
			expected[at] = at
		}
		waiting := slices.Clone(expected)
		for len(waiting) > 0 {
			reach := 0
			for reach < len(waiting) && waiting[reach] < len(delivered)+window {
				reach++
			}
			at := rapid.IntRange(0, reach-1).Draw(t, "at")
			receive(t, receiver, 1, uint64(waiting[at]), waiting[at])
			waiting = slices.Delete(waiting, at, at+1)
			require.Equal(t, expected[:len(delivered)], delivered)
		}
		require.Equal(t, expected, delivered)
	})
}

func TestRepeatedAndOutdatedBatchesAreDropped(t *testing.T) {
	var delivered []int
	receiver := NewReceiver(func(messages []int) { delivered = append(delivered, messages...) })
	receive(t, receiver, 1, 0, 10)
	receive(t, receiver, 1, 0, 10)
	receive(t, receiver, 1, 2, 12)
	receive(t, receiver, 1, 2, 12)
	receive(t, receiver, 2, 0, 20)
	receive(t, receiver, 1, 1, 11)
	receive(t, receiver, 2, 1, 21)
	require.Equal(t, []int{10, 20, 21}, delivered)
}

func TestGapBeyondWindowIsReported(t *testing.T) {
	receiver := NewReceiver(func([]int) {})
	err := receiver.Receive(&Batch[int]{Sender: 1, Stream: 1, Sequence: window}, &Ack{})
	require.ErrorIs(t, err, ErrGap)
}

func TestLeastRecentSendersAreEvicted(t *testing.T) {
	delivered := 0
	receiver := NewReceiver(func([]int) { delivered++ })
	for sender := range uint64(2 * maxSenders) {
		require.NoError(t, receiver.Receive(&Batch[int]{Sender: sender, Stream: 1}, &Ack{}))
		require.NoError(t, receiver.Receive(&Batch[int]{Sender: 0, Stream: 1, Sequence: sender + 1}, &Ack{}))
	}
	require.Len(t, receiver.senders, maxSenders)
	require.Equal(t, 4*maxSenders, delivered, "an active sender must not be evicted")
}

func TestQueueKeepsNewestMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 9).Draw(t, "bound")
		subject := queue[int]{bound: bound}
		model := []int{}
		for number := range rapid.IntRange(0, 80).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				dropped := subject.push(number)
				require.Equal(t, len(model) == bound, dropped)
				model = append(model, number)
				model = model[max(0, len(model)-bound):]
			} else {
				limit := rapid.IntRange(0, 4).Draw(t, "most")
				count := min(limit, len(model))
				require.Equal(t, model[:count], subject.take([]int{}, limit))
				model = model[count:]
			}
			require.Equal(t, len(model), subject.len())
			require.LessOrEqual(t, len(subject.items), 2*bound+1)
		}
		require.Equal(t, len(model), subject.clear())
		require.Zero(t, subject.len())
	})
}
