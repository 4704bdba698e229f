// Package configuration represents the operator's configuration (routes, backends, tenants and limits) as a value.
// The package is pure: it reads no clock, performs no I/O, and doesn't decide which version is in force. The
// replicated state machine (internal/control/statemachine) decides that: it applies ChangeRequests in the order of
// its log.
//
// # Concepts
//
// A Document is the typed content of a configuration (model.go). Its generation is the version number that the
// operator assigns; it rises with each change.
//
// A Version is one configuration. It is immutable and therefore safe to share. It keeps each named item (a route, a
// backend, a tenant) both as the operator sent it and as a typed value: members that this program doesn't know are
// preserved, and items are read back byte for byte.
//
// A ChangeRequest replaces the whole document (PUT) or patches items by name (PATCH). It contains the generation
// that it builds on (If-Match), so two operators can't overwrite each other's changes unnoticed. Its Digest
// identifies it: a request that is repeated because its answer was lost gets the same answer and changes nothing.
//
// State is the replicated part: the current Version and the digests of the last accepted requests. It is a
// deterministic function of the requests applied, so that replicas agree. Gateways and batch processes have a
// State too, which they keep current by updates: the patches since their version if these are still logged,
// otherwise the whole document.
//
// A Snapshot is a version with the indexes that requests are routed by.
//
// # Validation
//
// Parsing reports all errors at once, as node.Findings with the path in the document and the line and column.
// First each item is checked alone (validate.go: parser.checkItem), then the relations between items
// (checkReferences): references to unknown backends, routes with the same host and prefix, and API keys that belong
// to two tenants. The structure is checked earlier, against the CUE schema (internal/control/schema); the checks of
// this package are made by each replica.
package configuration
