package budget

import (
	"cmp"
	"slices"
)

// minChangeDivisor is the change of a part, as a share of an equal one, under which it stays as it is: parts would else bounce with the
// noise of what is wanted. What nobody else wants is given out beside that.
const minChangeDivisor = 8 // an eighth

// divide deals pool units out to members by what they want, weighted max-min: whoever wants less than an equal part gets it, the
// rest have equal parts of what is left, and what nobody wants is dealt out evenly for whatever comes. Had is what each has now;
// a part that would change by little stays, as long as the sum allows. The parts sum to at most pool.
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
	for k, i := range order { // what nobody wants
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
