// Package serverload holds what is known of the servers' load, and shares it between the processes of a zone.
//
// A gateway sees only a small part of a server's requests, while all processes together fill its slots. So what one
// process learns is shared with the others, and each decides by what the whole zone has seen. There are four kinds of
// knowledge:
//
//   - loads, which servers report in a header of their responses (load.go);
//   - results of requests, which show servers that fail what they get (results.go);
//   - long prompts that were just sent to a server, and keep it busy (prefill.go);
//   - backlogs of batch processes (backlog.go).
//
// A Table holds it in a process. Everything in it is a hint that expires soon: what can't be parsed is dropped and
// counted, what is too old counts as unknown, and no request fails for want of it.
//
// # Sharing
//
// Sharing sends datagrams over UDP. Two gateways of each zone are its aggregators (rendezvous hashing over the list
// of processes, so that all processes find the same two). Each process sends what it learns to the aggregators of its
// zone; these send what they have learnt to all processes of the zone, and what was learnt in their zone to the
// aggregators of the others. So what a process sends and receives doesn't grow with the number of gateways, except at
// aggregators.
//
// Datagrams may be lost: the next follows soon. docs/design/told-load.md has the measurements behind the design.
package serverload
