// Package quantity converts the numbers of documents (with or without a fraction, in milliseconds or seconds) to Go types. The conversions
// never overflow: they clamp values that are too large.
package quantity

import (
	"math"
	"time"
)

// MostWhole is the largest number up to which float64 represents every integer exactly.
const MostWhole = 1 << 53

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(figure float64) time.Duration {
	return duration(figure, time.Millisecond)
}

// Seconds converts a number of seconds to a duration.
func Seconds(figure float64) time.Duration {
	return duration(figure, time.Second)
}

// Whole converts a number to an integer. ok is false if the number has a fraction, or if it is so large that float64 can't tell it from
// its neighbours.
func Whole(figure float64) (number int64, ok bool) {
	if figure != math.Trunc(figure) || math.Abs(figure) > MostWhole {
		return 0, false
	}
	return int64(figure), true
}

// AtLeast rounds up to the next integer, and clamps the result to most.
func AtLeast(figure float64, most int64) int64 {
	if figure >= float64(most) {
		return most
	}
	return int64(math.Ceil(figure))
}

// duration converts the whole part and the fraction separately. As one float64, a Unix time would lose its last digits.
func duration(figure float64, unit time.Duration) time.Duration {
	whole, fraction := math.Modf(figure)
	if most := float64(math.MaxInt64 / unit); whole >= most {
		return math.MaxInt64
	} else if whole <= -most {
		return math.MinInt64
	}
	return time.Duration(whole)*unit + time.Duration(math.Round(fraction*float64(unit)))
}
