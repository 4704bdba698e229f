// Package configuration is the operator's configuration as a value: routes, backends, tenants and limits. It
// is pure: it reads no clock, does no input or output, and doesn't decide which version is in force. That is
// the replicated state machine's task (internal/control/statemachine), which applies ChangeRequests in the
// order of its log.
//
// # Concepts
//
// A Document is the typed content of a configuration (model.go). Its generation is the operator's number of a
// version and rises with each change.
//
// A Version is one configuration, immutable and so safe to share. It keeps each named item (a route, a
// backend, a tenant) as the operator sent it, beside its typed value: members that this program doesn't know
// survive, and items are read back byte for byte.
//
// A ChangeRequest replaces the whole document (PUT) or patches items by name (PATCH). It names the generation
// that it builds on (If-Match), so two operators can't overwrite each other's change unseen. Its Digest
// identifies it: a request that is sent again, because its answer was lost, gets the same answer and changes
// nothing.
//
// State is the replicated part: the current Version and the digests of the last accepted requests. It is a
// deterministic function of the requests applied, so that replicas agree. Gateways and batch processes have a
// State too, and follow by updates: the patches since their version where these are still logged, and else
// the whole document.
//
// A Snapshot is a version with the indexes that requests are routed by.
//
// # Validation
//
// Parsing reports all faults at once, as node.Findings with the path in the document and the line and column.
// First each item is checked alone (validate.go: parser.checkItem), then what spans items (checkReferences):
// names of backends, two routes with the same host and prefix, keys of two tenants. The shape is checked
// earlier, against the CUE schema (internal/control/schema); what is checked here is checked by each replica.
package configuration
