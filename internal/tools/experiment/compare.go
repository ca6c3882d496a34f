package main

import (
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
)

// result is the effect of a variant on one site: the worth of its trials less that of the base's trials of the same day and seed.
type result struct {
	variant   string
	mechanism string
	site      string
	pairs     int
	// mean is the mean difference, standardError its standard error.
	mean, standardError float64
	// worst is the lowest difference, worstTrial the day and seed of that pair.
	worst      float64
	worstTrial string
	// violated counts the variant's trials that broke a rule. failed counts the pairs of which either trial has no result.
	violated, failed int
}

// pairKey identifies the two trials of a pair: one of a variant and one of the base.
type pairKey struct {
	site, day string
	seed      uint64
}

func (t trial) key() pairKey { return pairKey{t.site, t.day, t.seed} }

// compare pairs the outcomes of each variant with those of the base.
func compare(variants []variant, outcomes []outcome) []result {
	base := make(map[pairKey]*outcome)
	var sites []string
	for i := range outcomes {
		if outcomes[i].variant != baseName {
			continue
		}
		base[outcomes[i].key()] = &outcomes[i]
		if len(sites) == 0 || sites[len(sites)-1] != outcomes[i].site {
			sites = append(sites, outcomes[i].site)
		}
	}
	var results []result
	for i := range variants {
		for _, site := range sites {
			results = append(results, compareOnSite(&variants[i], site, base, outcomes))
		}
	}
	return results
}

func compareOnSite(v *variant, site string, base map[pairKey]*outcome, outcomes []outcome) result {
	r := result{variant: v.Name, mechanism: v.Mechanism, site: baseLabel(site), worst: math.Inf(1)}
	var differences []float64
	for i := range outcomes {
		o := &outcomes[i]
		if o.variant != v.Name || o.site != site {
			continue
		}
		if o.violated {
			r.violated++
		}
		before := base[o.key()]
		if o.err != nil || before == nil || before.err != nil {
			r.failed++
			continue
		}
		difference := o.worth - before.worth
		differences = append(differences, difference)
		if difference < r.worst {
			r.worst, r.worstTrial = difference, fmt.Sprintf("%s/%d", baseLabel(o.day), o.seed)
		}
	}
	r.pairs = len(differences)
	if r.pairs > 0 {
		r.mean = stat.Mean(differences, nil)
	}
	if r.pairs > 1 {
		r.standardError = stat.StdErr(stat.StdDev(differences, nil), float64(r.pairs))
	}
	return r
}

// beyondNoise reports whether the difference is more than twice its standard error.
func (r *result) beyondNoise() bool { return r.pairs > 1 && math.Abs(r.mean) > 2*r.standardError }

// printResults prints the results as a Markdown table.
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
			worst = fmt.Sprintf("%+.3f %s", r.worst, r.worstTrial)
		}
		fmt.Fprintf(out, "| %s | %s | %s | %d | %+.4f | %.4f | %s | %s | %d | %d |\n", r.variant, r.mechanism, r.site, r.pairs, r.mean,
			r.standardError, verdict, worst, r.violated, r.failed)
	}
}

// allPassed reports whether all trials have a result and none broke a rule.
func allPassed(outcomes []outcome) bool {
	for i := range outcomes {
		if outcomes[i].err != nil || outcomes[i].violated {
			return false
		}
	}
	return true
}
