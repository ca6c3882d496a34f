package waiting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The maximum delay counts from the arrival of a job, so that a queue that processes it late accepts no more than
// others.
func TestMaxDelayCountsFromArrival(t *testing.T) {
	for _, late := range []time.Duration{0, time.Millisecond, time.Minute} {
		for _, test := range []struct {
			beyond time.Duration
			kind   ActionKind
		}{{0, Accept}, {time.Millisecond, Answer}} {
			limits := Defaults()
			r := New(limits, Fleet{Replicas: 1, MaxAttempts: 3, Classes: []Class{{Name: "plot-load", Deadline: time.Minute}}})
			const arrived = time.Hour
			r.Submit(arrived+late, &Job{Number: 1, Name: "a", Arrived: arrived, NotBefore: arrived + limits.MaxDelay + test.beyond})
			assert.Equal(t, test.kind, r.Actions()[0].Kind, "%v late, %v beyond", late, test.beyond)
		}
	}
}
