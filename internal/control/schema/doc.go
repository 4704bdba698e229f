// Package schema checks the operator's configuration against a CUE schema (configuration.cue), so that all
// errors in a document are reported at once, each with its path, line and column.
//
// The check is a convenience for the operator. Package configuration alone decides, on every replica, whether a
// configuration is valid: a document that passes this check may still be invalid, and a configuration that an
// earlier version accepted stays valid even if it doesn't match the current schema.
package schema
