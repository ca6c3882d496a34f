// Package quantity converts the numbers of documents (with or without a fraction, in milliseconds or seconds) to Go types. The conversions
// never overflow: they clamp values that are too large.
package quantity

import (
	"math"
	"time"
)

// MaxExactInteger is the largest number up to which float64 represents every integer exactly.
const MaxExactInteger = 1 << 53

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(value float64) time.Duration {
	return duration(value, time.Millisecond)
}

// Seconds converts a number of seconds to a duration.
func Seconds(value float64) time.Duration {
	return duration(value, time.Second)
}

// Integer converts a number to an integer. ok is false if the number has a fraction, or if it is so large that float64 can't tell it from
// its neighbours.
func Integer(value float64) (number int64, ok bool) {
	if value != math.Trunc(value) || math.Abs(value) > MaxExactInteger {
		return 0, false
	}
	return int64(value), true
}

// CeilClamped rounds up to the next integer, and clamps the result to limit.
func CeilClamped(value float64, limit int64) int64 {
	if value >= float64(limit) {
		return limit
	}
	return int64(math.Ceil(value))
}

// duration converts the whole part and the fraction separately. As one float64, a Unix time would lose its last digits.
func duration(value float64, unit time.Duration) time.Duration {
	whole, fraction := math.Modf(value)
	if most := float64(math.MaxInt64 / unit); whole >= most {
		return math.MaxInt64
	} else if whole <= -most {
		return math.MinInt64
	}
	return time.Duration(whole)*unit + time.Duration(math.Round(fraction*float64(unit)))
}
