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

const most = 100_000

// request has a body of that length, told or not, that arrives in parts.
func request(length int, told int64) *http.Request {
	made := httptest.NewRequest(http.MethodPost, "/", iotest.HalfReader(bytes.NewReader(bytes.Repeat([]byte("x"), length))))
	made.ContentLength = told
	return made
}

func TestBodiesAreReadWhole(t *testing.T) {
	for _, length := range []int{0, 1, firstUntold - 1, firstUntold, firstUntold + 1, mostAtOnce, mostAtOnce + 1, most - 1, most} {
		for _, told := range []int64{int64(length), -1} {
			budget := memorybudget.NewBudget(2 * most)
			lease := budget.NewLease()
			body, err := Read(request(length, told), most, lease)
			require.NoError(t, err, "%d told as %d", length, told)
			assert.Len(t, body, length)
			assert.LessOrEqual(t, int64(cap(body)), budget.Held(), "what is held is accounted for")
			lease.Release()
			assert.Zero(t, budget.Held())
		}
	}
}

func TestBodiesThatArentRead(t *testing.T) {
	for name, test := range map[string]struct {
		request *http.Request
		budget  int64
		want    error
	}{
		"longer than may be, told":   {request(10, most+1), most, ErrTooLarge},
		"longer than may be, untold": {request(most+1, -1), 2 * most, ErrTooLarge},
		"shorter than told":          {request(10, 20), most, io.ErrUnexpectedEOF},
		"no memory at all":           {request(10, 10), 5, ErrNoMemory},
		"no memory for the rest":     {request(most, most), most / 2, ErrNoMemory},
		"broken off":                 {httptest.NewRequest(http.MethodPost, "/", iotest.ErrReader(io.ErrClosedPipe)), most, io.ErrClosedPipe},
	} {
		budget := memorybudget.NewBudget(test.budget)
		lease := budget.NewLease()
		_, err := Read(test.request, most, lease)
		assert.ErrorIs(t, err, test.want, name)
		lease.Release()
		assert.Zero(t, budget.Held(), name)
	}
}

// Whatever comes at once, the budget is never exceeded, and all of it is there again afterwards.
func TestABudgetIsKeptToUnderLoad(t *testing.T) {
	const readers = 16
	budget := memorybudget.NewBudget(3 * most)
	var all sync.WaitGroup
	for reader := range readers {
		all.Go(func() {
			random := rand.New(rand.NewPCG(uint64(reader), 0))
			for range 200 {
				length := random.IntN(most)
				told := []int64{int64(length), -1}[random.IntN(2)]
				lease := budget.NewLease()
				body, err := Read(request(length, told), most, lease)
				assert.LessOrEqual(t, budget.Held(), int64(3*most))
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

// A body of which nothing arrives holds little, whatever length it tells.
func TestAToldLengthTakesNoMemory(t *testing.T) {
	budget := memorybudget.NewBudget(2 * most)
	lease := budget.NewLease()
	_, err := Read(request(0, most), most, lease)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.LessOrEqual(t, budget.Held(), int64(mostAtOnce))
	lease.Release()
}
