package main

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// printPairs prints each pair and, for each day and for all, the mean difference and its
// spread.
func printPairs(w io.Writer, pairs []pair) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer func() { _ = t.Flush() }()
	fmt.Fprintln(t, "day\tseed\tbefore\tafter\tdifference\trefused\tlate\tfailed\tworst window\tworst data centre\tworst kind\tprices\tbroken\t")
	var day, all []float64
	for i, p := range pairs {
		b, a := p.reports[0], p.reports[1]
		day, all = append(day, a.Worth-b.Worth), append(all, a.Worth-b.Worth)
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%.3f\t%+.4f\t%+d\t%+d\t%+d\t%+.3f\t%+.3f\t%+.3f\t%+.4f\t%d, %d\t\n",
			p.day, p.seed, b.Worth, a.Worth, a.Worth-b.Worth,
			a.All.Refused-b.All.Refused, a.All.Late-b.All.Late, a.All.Failed-b.All.Failed,
			worst(a.Windows)-worst(b.Windows), worst(a.Zones)-worst(b.Zones), worst(a.Kinds)-worst(b.Kinds),
			a.prices()-b.prices(), b.broken(), a.broken())
		if i+1 == len(pairs) || pairs[i+1].day != p.day {
			printMean(t, p.day, day)
			day = nil
		}
	}
	printMean(t, "all", all)
}

// printMean prints a mean and the standard deviation of its values.
func printMean(w io.Writer, name string, values []float64) {
	mean, squares := 0.0, 0.0
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	deviation := math.Sqrt(squares / float64(max(1, len(values)-1)))
	fmt.Fprintf(w, "%s\tmean\t\t\t%+.4f\t± %.4f\t\t\t\t\t\t\t\t\n", name, mean, deviation)
}

// worst returns the lowest worth.
func worst(list []counts) float64 {
	lowest := 1.0
	for _, c := range list {
		lowest = min(lowest, c.Worth)
	}
	return lowest
}

// broken returns the number of broken rules, and one more if the play failed.
func (r *report) broken() int {
	n := len(r.Breaks)
	if r.Fault != nil {
		n++
	}
	return n
}

// prices returns what the prices take off: the credit by its parts less the worth.
func (r *report) prices() float64 {
	credit := 0.0
	for _, part := range r.Parts {
		weight, _ := part[1].(float64)
		share, _ := part[2].(float64)
		credit += weight * share
	}
	return credit - r.Worth
}
