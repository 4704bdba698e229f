// Package schema checks the shape of the operator's configuration with CUE (configuration.cue), so that all
// faults of a document are reported at once, each with its path, line and column.
//
// The check is a service to the operator. Whether a configuration is valid is decided by package
// configuration alone, on every replica: what passes here may still be invalid, and what an earlier version
// accepted stays valid whatever the schema says now.
package schema
