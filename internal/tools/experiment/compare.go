package main

import (
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
)

// result is what a variant is worth on one site: its plays less the base's of the same day and seed.
type result struct {
	variant   string
	mechanism string
	site      string
	pairs     int
	// mean is the mean difference, deviation its standard error.
	mean, deviation float64
	// worst is the lowest difference, worstDay its day and seed.
	worst    float64
	worstDay string
	// broken is how many of its plays broke a rule, failed how many came to nothing on either side.
	broken, failed int
}

// pairKey names what two plays have in common.
type pairKey struct {
	site, day string
	seed      uint64
}

func (p play) pair() pairKey { return pairKey{p.site, p.day, p.seed} }

// compare pairs all outcomes with the base's.
func compare(variants []variant, outcomes []outcome) []result {
	base := make(map[pairKey]*outcome)
	var sites []string
	for i := range outcomes {
		if outcomes[i].variant != baseName {
			continue
		}
		base[outcomes[i].pair()] = &outcomes[i]
		if len(sites) == 0 || sites[len(sites)-1] != outcomes[i].site {
			sites = append(sites, outcomes[i].site)
		}
	}
	var results []result
	for i := range variants {
		for _, site := range sites {
			results = append(results, compareOn(&variants[i], site, base, outcomes))
		}
	}
	return results
}

func compareOn(v *variant, site string, base map[pairKey]*outcome, outcomes []outcome) result {
	r := result{variant: v.Name, mechanism: v.Mechanism, site: label(site), worst: math.Inf(1)}
	var differences []float64
	for i := range outcomes {
		o := &outcomes[i]
		if o.variant != v.Name || o.site != site {
			continue
		}
		if o.broken {
			r.broken++
		}
		before := base[o.pair()]
		if o.err != nil || before == nil || before.err != nil {
			r.failed++
			continue
		}
		difference := o.worth - before.worth
		differences = append(differences, difference)
		if difference < r.worst {
			r.worst, r.worstDay = difference, fmt.Sprintf("%s/%d", label(o.day), o.seed)
		}
	}
	r.pairs = len(differences)
	if r.pairs > 0 {
		r.mean = stat.Mean(differences, nil)
	}
	if r.pairs > 1 {
		r.deviation = stat.StdErr(stat.StdDev(differences, nil), float64(r.pairs))
	}
	return r
}

// beyondNoise tells whether the difference is more than twice its standard error.
func (r *result) beyondNoise() bool { return r.pairs > 1 && math.Abs(r.mean) > 2*r.deviation }

// printResults prints a Markdown table.
func printResults(out io.Writer, results []result) {
	fmt.Fprintln(out, "| variant | mechanism | site | pairs | mean | standard error | beyond twice that | worst | broken | failed |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for i := range results {
		r := &results[i]
		verdict := "no"
		if r.beyondNoise() {
			verdict = "yes"
		}
		worst := "none"
		if r.pairs > 0 {
			worst = fmt.Sprintf("%+.3f %s", r.worst, r.worstDay)
		}
		fmt.Fprintf(out, "| %s | %s | %s | %d | %+.4f | %.4f | %s | %s | %d | %d |\n", r.variant, r.mechanism, r.site, r.pairs, r.mean,
			r.deviation, verdict, worst, r.broken, r.failed)
	}
}

// allSound tells whether all plays came to something and broke no rule.
func allSound(outcomes []outcome) bool {
	for i := range outcomes {
		if outcomes[i].err != nil || outcomes[i].broken {
			return false
		}
	}
	return true
}
