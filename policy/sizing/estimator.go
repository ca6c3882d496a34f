package sizing

import (
	"math"
	"time"
)

const (
	// untaughtSlope is the share of a hint's distance from the mean hint, as logarithms, that is believed at first:
	// small rough hints are too small more often than not, large ones too large.
	untaughtSlope = 0.5
	// memory is how many hints or runs a mean goes back over.
	memory = 300
	// prior is how many runs the slope at the start weighs.
	prior = 10
	// shiftRate is the part of a surprise by which the whole line moves.
	shiftRate = 0.01
)

// Estimator corrects the hints of one kind of task by what its runs have measured: the logarithm of the size is a line over
// the logarithm of the hint. Which tasks share an Estimator is the caller's choice. Make one with NewEstimator.
type Estimator struct {
	hinted, measured float64 // how many of each
	meanHint         float64 // of logarithms
	shift            float64 // of the line at the mean hint
	variance         float64 // of logarithms of hints
	covariance       float64 // of logarithms of hints and of sizes
}

// NewEstimator returns an Estimator that has seen nothing.
func NewEstimator() Estimator {
	return Estimator{variance: 1, covariance: untaughtSlope}
}

// ObserveHint takes in the hint of a task that arrives. All that arrive count, run or not: those that are run in time are smaller
// than the mean. Call it before Size and Observe for the task.
func (e *Estimator) ObserveHint(hint time.Duration) {
	e.hinted++
	e.meanHint += (logarithm(hint) - e.meanHint) / min(e.hinted, memory)
}

// ObserveRun takes in the measured length of a run and the hint that the task came with.
func (e *Estimator) ObserveRun(hint, measured time.Duration) {
	e.measured++
	rate := 1 / min(e.measured+prior, memory)
	size := logarithm(measured)
	distance := logarithm(hint) - e.meanHint
	e.shift += shiftRate * (size - e.meanHint - e.shift)
	e.variance += rate * (distance*distance - e.variance)
	e.covariance += rate * (distance*(size-e.meanHint-e.shift) - e.covariance)
}

// Size returns the size to expect of a task with this hint; one that isn't positive stands for the mean hint.
func (e *Estimator) Size(hint time.Duration) time.Duration {
	distance := 0.0
	if hint > 0 {
		distance = logarithm(hint) - e.meanHint
	}
	return duration(math.Exp(e.meanHint + e.shift + e.covariance/e.variance*distance))
}

// Runs returns how many runs have been taken in.
func (e *Estimator) Runs() int { return int(e.measured) }

// logarithm takes what is not positive for the shortest time there is.
func logarithm(d time.Duration) float64 { return math.Log(float64(max(d, 1))) }

// duration returns nanoseconds as a time.Duration, the longest there is for more.
func duration(nanoseconds float64) time.Duration {
	if nanoseconds >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(nanoseconds)
}
