package budget

import (
	"cmp"
	"slices"
)

// minChangeDivisor sets the smallest change of a part that is applied: an equal part divided by it. Otherwise parts would follow the
// noise of the demand. Units that nobody wants are distributed all the same.
const minChangeDivisor = 8 // an eighth

// divide distributes pool units among members by max-min fairness: a member that wants less than an equal part gets what it wants, and
// the others get equal parts of the rest. Units that nobody wants are distributed evenly, as a reserve. current holds the present
// parts. A part that would change only little stays, if the sum allows it. The parts sum to at most pool.
func divide(pool Units, want, current []Units) []Units {
	n := len(want)
	parts := make([]Units, n)
	if n == 0 || pool <= 0 {
		return parts
	}
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(want[a], want[b]) })
	left := pool
	for k, i := range order {
		parts[i] = min(max(want[i], 0), left/Units(n-k))
		left -= parts[i]
	}
	for k, i := range order { // units that nobody wants
		x := left / Units(n-k)
		parts[i] += x
		left -= x
	}
	minChange := pool / Units(n) / minChangeDivisor
	sum := Units(0)
	kept := slices.Clone(parts)
	for i := range kept {
		if d := parts[i] - current[i]; current[i] > 0 && d < minChange && -d < minChange {
			kept[i] = current[i]
		}
		sum += kept[i]
	}
	if sum <= pool {
		return kept
	}
	return parts
}
