package requestbody

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/memorybudget"
)

const maxBody = 100_000

// newRequest returns a request whose body has that length and arrives in parts. A declared length of -1 is unknown.
func newRequest(length int, declared int64) *http.Request {
	made := httptest.NewRequest(http.MethodPost, "/", iotest.HalfReader(bytes.NewReader(bytes.Repeat([]byte("x"), length))))
	made.ContentLength = declared
	return made
}

func TestBodiesAreReadInFull(t *testing.T) {
	for _, length := range []int{0, 1, initialUnknownLength - 1, initialUnknownLength, initialUnknownLength + 1, initialKnownLength, initialKnownLength + 1, maxBody - 1, maxBody} {
		for _, declared := range []int64{int64(length), -1} {
			budget := memorybudget.NewBudget(2 * maxBody)
			lease := budget.NewLease()
			body, err := Read(newRequest(length, declared), maxBody, lease)
			require.NoError(t, err, "%d declared as %d", length, declared)
			assert.Len(t, body, length)
			assert.LessOrEqual(t, int64(cap(body)), budget.Held(), "the buffer is within the reserved memory")
			lease.Release()
			assert.Zero(t, budget.Held())
		}
	}
}

func TestRejectedBodies(t *testing.T) {
	for name, test := range map[string]struct {
		request *http.Request
		budget  int64
		want    error
	}{
		"too long, declared":     {newRequest(10, maxBody+1), maxBody, ErrTooLarge},
		"too long, undeclared":   {newRequest(maxBody+1, -1), 2 * maxBody, ErrTooLarge},
		"shorter than declared":  {newRequest(10, 20), maxBody, io.ErrUnexpectedEOF},
		"no memory at all":       {newRequest(10, 10), 5, ErrNoMemory},
		"no memory for the rest": {newRequest(maxBody, maxBody), maxBody / 2, ErrNoMemory},
		"read error":             {httptest.NewRequest(http.MethodPost, "/", iotest.ErrReader(io.ErrClosedPipe)), maxBody, io.ErrClosedPipe},
	} {
		budget := memorybudget.NewBudget(test.budget)
		lease := budget.NewLease()
		_, err := Read(test.request, maxBody, lease)
		assert.ErrorIs(t, err, test.want, name)
		lease.Release()
		assert.Zero(t, budget.Held(), name)
	}
}

// Concurrent requests never exceed the budget, and all memory is released afterwards.
func TestBudgetIsNotExceededUnderLoad(t *testing.T) {
	const readers = 16
	budget := memorybudget.NewBudget(3 * maxBody)
	var all sync.WaitGroup
	for reader := range readers {
		all.Go(func() {
			random := rand.New(rand.NewPCG(uint64(reader), 0))
			for range 200 {
				length := random.IntN(maxBody)
				declared := []int64{int64(length), -1}[random.IntN(2)]
				lease := budget.NewLease()
				body, err := Read(newRequest(length, declared), maxBody, lease)
				assert.LessOrEqual(t, budget.Held(), int64(3*maxBody))
				if err == nil {
					assert.Len(t, body, length)
				} else {
					assert.ErrorIs(t, err, ErrNoMemory)
				}
				lease.Release()
			}
		})
	}
	all.Wait()
	assert.Zero(t, budget.Held())
}

// A body of which nothing arrives reserves little memory, whatever length it declares.
func TestDeclaredLengthReservesLittleMemory(t *testing.T) {
	budget := memorybudget.NewBudget(2 * maxBody)
	lease := budget.NewLease()
	_, err := Read(newRequest(0, maxBody), maxBody, lease)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.LessOrEqual(t, budget.Held(), int64(initialKnownLength))
	lease.Release()
}
