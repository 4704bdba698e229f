package server

import "sprucelane.example/sprucelane/internal/node"

// Check reports all settings that keep a batch process from running. The error is of type node.Findings.
func Check(settings *node.Settings) error {
	var findings node.Findings
	if settings.DataDir == "" {
		findings = append(findings, node.Finding{Place: "data-dir", Text: "a batch process needs a folder on a disk"})
	}
	if !settings.Offers("store") {
		findings = append(findings, node.Finding{Place: "serves", Text: "a batch process serves store"})
	}
	if settings.Port(node.PortBatch) > settings.LastPort {
		findings = append(findings,
			node.Finding{Place: "port-range", Text: "the port between stores is beyond its end"})
	}
	return findings.OrNil()
}
