package main

import (
	"fmt"
	"math"
	"strings"
)

// table returns a Markdown table. Its first row has the scores with all mechanisms on; each further row has
// the change of the scores with one mechanism switched off. A cell holds the mean over the seeds and the
// largest deviation of a seed from it.
func table(o options, results []result) string {
	byRun := map[run]result{}
	for _, r := range results {
		byRun[r.run] = r
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
			fmt.Fprintf(&b, " %s |", cell(o, byRun, off, day))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// cell returns the text of the cell for a mechanism and a day.
func cell(o options, byRun map[run]result, off, day string) string {
	var values []float64
	suffix := ""
	for _, seed := range o.seeds {
		with, without := byRun[run{day: day, seed: seed}], byRun[run{off: off, day: day, seed: seed}]
		if with.err != nil || without.err != nil {
			return "not played"
		}
		if without.ruleViolated {
			suffix = ", broken"
		}
		if off == "" {
			values = append(values, with.score)
		} else {
			values = append(values, without.score-with.score)
		}
	}
	mean, deviation := meanAndDeviation(values)
	format := "%+.3f ± %.3f%s"
	if off == "" {
		format = "%.3f ± %.3f%s"
	}
	return fmt.Sprintf(format, mean, deviation, suffix)
}

// meanAndDeviation returns the mean, and the largest deviation of a value from it.
func meanAndDeviation(values []float64) (mean, deviation float64) {
	for _, value := range values {
		mean += value / float64(len(values))
	}
	for _, value := range values {
		deviation = max(deviation, math.Abs(value-mean))
	}
	return mean, deviation
}
