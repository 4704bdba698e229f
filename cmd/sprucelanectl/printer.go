package main

import (
	"encoding/json"
	"fmt"
	"io"

	"sprucelane.example/sprucelane/internal/node"
)

// printer writes the output of commands, as text or as JSON.
type printer struct {
	out     io.Writer
	errOut  io.Writer // receives the reason why a command failed
	options *options
}

// print writes value as JSON, or calls text to write it as text, depending on the output option.
func (p *printer) print(value any, text func(io.Writer)) error {
	if p.options.Output == "json" {
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	text(p.out)
	return nil
}

// checkResult is the output of a check.
type checkResult struct {
	Valid    bool      `json:"valid"`
	Findings []finding `json:"findings"`
}

// finding is node.Finding with JSON field names.
type finding struct {
	Place string `json:"place"`
	Text  string `json:"text"`
}

// findings prints the result of a check with findings.
func (p *printer) findings(list node.Findings) {
	result := checkResult{Findings: make([]finding, 0, len(list))}
	for _, f := range list {
		result.Findings = append(result.Findings, finding(f))
	}
	_ = p.print(result, func(out io.Writer) { fmt.Fprintln(out, list.Error()) })
}

// valid prints the result of a check without findings; text is the output in text form.
func (p *printer) valid(text string) error {
	return p.print(checkResult{Valid: true, Findings: []finding{}}, func(out io.Writer) { fmt.Fprintln(out, text) })
}
