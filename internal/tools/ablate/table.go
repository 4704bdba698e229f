package main

import (
	"fmt"
	"math"
	"strings"
)

// table writes, for each mechanism and day, by how much worth falls without it: the mean over the seeds and the largest deviation of one
// from it. The first row is the worth with all on.
func table(o options, results []result) string {
	worth := map[run]result{}
	for _, one := range results {
		worth[one.run] = one
	}
	var b strings.Builder
	fmt.Fprintf(&b, "| switched off | %s |\n|---|%s\n", strings.Join(o.days, " | "), strings.Repeat("---|", len(o.days)))
	for _, off := range append([]string{""}, o.mechanisms...) {
		name := off
		if off == "" {
			name = "nothing (worth)"
		}
		fmt.Fprintf(&b, "| %s |", name)
		for _, day := range o.days {
			fmt.Fprintf(&b, " %s |", cell(o, worth, off, day))
		}
		b.WriteString("\n")
	}
	return b.String()
}

func cell(o options, worth map[run]result, off, day string) string {
	var values []float64
	broken := ""
	for _, seed := range o.seeds {
		with, without := worth[run{day: day, seed: seed}], worth[run{off: off, day: day, seed: seed}]
		if with.err != nil || without.err != nil {
			return "not played"
		}
		if without.broken {
			broken = ", broken"
		}
		if off == "" {
			values = append(values, with.score)
		} else {
			values = append(values, without.score-with.score)
		}
	}
	mean, spread := meanAndDeviation(values)
	if off == "" {
		return fmt.Sprintf("%.3f ± %.3f%s", mean, spread, broken)
	}
	return fmt.Sprintf("%+.3f ± %.3f%s", mean, spread, broken)
}

func meanAndDeviation(values []float64) (mean, spread float64) {
	for _, value := range values {
		mean += value / float64(len(values))
	}
	for _, value := range values {
		spread = max(spread, math.Abs(value-mean))
	}
	return mean, spread
}
