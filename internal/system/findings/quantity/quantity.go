// Package quantity turns figures as documents write them (with or without a fraction, in milliseconds or seconds) into the
// types that the programs count with. Nothing here overflows: what is too large becomes the largest.
package quantity

import (
	"math"
	"time"
)

// MaxExactInteger is the largest whole number up to which every whole number has a float64 of its own.
const MaxExactInteger = 1 << 53

// Milliseconds is the duration of so many milliseconds.
func Milliseconds(figure float64) time.Duration {
	return duration(figure, time.Millisecond)
}

// Seconds is the duration of so many seconds.
func Seconds(figure float64) time.Duration {
	return duration(figure, time.Second)
}

// Integer is the whole number that the figure is; ok is false when it has a fraction or is too large to be told from its
// neighbours.
func Integer(figure float64) (number int64, ok bool) {
	if figure != math.Trunc(figure) || math.Abs(figure) > MaxExactInteger {
		return 0, false
	}
	return int64(figure), true
}

// CeilClamped is the smallest whole number that isn't below the figure, and most at the most.
func CeilClamped(figure float64, most int64) int64 {
	if figure >= float64(most) {
		return most
	}
	return int64(math.Ceil(figure))
}

// duration multiplies the whole part apart from the fraction: as one float64, a time since 1970 would lose its last digits.
func duration(figure float64, unit time.Duration) time.Duration {
	whole, fraction := math.Modf(figure)
	if most := float64(math.MaxInt64 / unit); whole >= most {
		return math.MaxInt64
	} else if whole <= -most {
		return math.MinInt64
	}
	return time.Duration(whole)*unit + time.Duration(math.Round(fraction*float64(unit)))
}
