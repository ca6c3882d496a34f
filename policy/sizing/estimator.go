package sizing

import (
	"math"
	"time"
)

const (
	// initialSlope is the share of a hint's distance from the mean hint, as logarithms, that counts before runs are
	// measured: small rough hints are too small more often than not, and large ones too large.
	initialSlope = 0.5
	// meanWindow is the number of hints or runs over which a mean extends.
	meanWindow = 300
	// priorRuns is the weight of the initial slope, in runs.
	priorRuns = 10
	// shiftRate is the share of an error by which the whole line moves.
	shiftRate = 0.01
)

// Estimator corrects the hints of one kind of task by the measured lengths of its runs: the logarithm of the size is a linear
// function of the logarithm of the hint. The caller chooses which tasks share an Estimator. Make one with NewEstimator.
type Estimator struct {
	hints, runs float64 // number of each observed
	meanHint    float64 // mean logarithm of hints
	shift       float64 // of the line at the mean hint
	variance    float64 // of logarithms of hints
	covariance  float64 // of logarithms of hints and of sizes
}

// NewEstimator returns an Estimator without observations.
func NewEstimator() Estimator {
	return Estimator{variance: 1, covariance: initialSlope}
}

// ObserveHint adds the hint of a task that arrives. All arriving tasks count, run or not: those that run in time are smaller than
// the mean. Call it before Size and Observe for the task.
func (e *Estimator) ObserveHint(hint time.Duration) {
	e.hints++
	e.meanHint += (logarithm(hint) - e.meanHint) / min(e.hints, meanWindow)
}

// ObserveRun adds the measured length of a run and the hint of its task.
func (e *Estimator) ObserveRun(hint, measured time.Duration) {
	e.runs++
	rate := 1 / min(e.runs+priorRuns, meanWindow)
	size := logarithm(measured)
	distance := logarithm(hint) - e.meanHint
	e.shift += shiftRate * (size - e.meanHint - e.shift)
	e.variance += rate * (distance*distance - e.variance)
	e.covariance += rate * (distance*(size-e.meanHint-e.shift) - e.covariance)
}

// Size returns the expected size of a task with this hint. A hint that isn't positive stands for the mean hint.
func (e *Estimator) Size(hint time.Duration) time.Duration {
	distance := 0.0
	if hint > 0 {
		distance = logarithm(hint) - e.meanHint
	}
	return duration(math.Exp(e.meanHint + e.shift + e.covariance/e.variance*distance))
}

// Runs returns the number of runs observed.
func (e *Estimator) Runs() int { return int(e.runs) }

// logarithm treats a duration that isn't positive as 1 ns.
func logarithm(d time.Duration) float64 { return math.Log(float64(max(d, 1))) }

// duration returns nanoseconds as a time.Duration, at most the longest one.
func duration(nanoseconds float64) time.Duration {
	if nanoseconds >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(nanoseconds)
}
