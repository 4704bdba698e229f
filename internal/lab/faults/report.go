package faults

import (
	_ "embed"
	"fmt"
	"html/template"
	"os"
	"strings"
	"time"
)

// This file owns the report of runs: one page that needs nothing else.

//go:embed report.html
var page string

var reportPage = template.Must(template.New("report").Funcs(template.FuncMap{
	"curve": curve, "marks": marks, "percent": func(x float64) string { return fmt.Sprintf("%.1f", 100*x) }, "words": Words,
}).Parse(page))

// The picture's size.
const (
	wide, high = 640.0, 120.0
)

// curve gives the points of a run's seconds.
func curve(e End) string {
	var points []string
	for i, s := range e.Seconds {
		x := wide * (float64(i) + 0.5) / float64(len(e.Seconds))
		points = append(points, fmt.Sprintf("%.1f,%.1f", x, high*(1-min(1, max(0, s)))))
	}
	return strings.Join(points, " ")
}

// Mark is the time of one fault in the picture.
type Mark struct {
	X, Wide float64
	Says    string
}

func marks(script []Trouble, e End) (list []Mark) {
	length := time.Duration(len(e.Seconds)) * time.Second
	for _, t := range script {
		list = append(list, Mark{wide * t.At.Seconds() / length.Seconds(), max(2, wide*t.For.Seconds()/length.Seconds()), t.String()})
	}
	return list
}

// WriteReport writes the page to a file.
func WriteReport(path string, shown []Shown) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := reportPage.Execute(f, struct{ Shown []Shown }{shown}); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
