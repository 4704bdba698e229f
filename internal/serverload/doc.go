// Package serverload holds what a process knows of the load of model servers and of batch processes, and
// shares it between processes, mostly within a zone. Gateways and batch processes use it for the selection of
// servers.
//
// A gateway sends a server only a small part of its requests, while all processes together fill its slots. So
// what one process learns is shared with the others, and each decides by what the whole zone has seen. Four
// things are shared:
//
//   - loads, which servers report in a header of their responses (load.go);
//   - results of requests, which show servers that fail requests (results.go);
//   - long prompts that were just sent to a server and keep it busy (prefill.go);
//   - backlogs of batch processes (backlog.go).
//
// A Table holds them in a process. All are hints that expire within about two seconds: a header or datagram
// that can't be parsed is dropped and counted (Table.Invalid), an entry that is too old counts as unknown,
// and no request fails because one is missing.
//
// # Sharing
//
// Sharing sends datagrams over UDP. Two gateways of each zone are its aggregators, by rendezvous hashing
// (Thaler and Ravishankar, 1998) over the list of processes, so that all processes with the same list find
// the same two. Each process sends what it learns to the aggregators of its zone; these send what they have
// received to all processes of the zone, and the loads that were reported in their zone to the aggregators of
// the others. So what a process sends and receives doesn't grow with the number of gateways, except at
// aggregators.
//
// datagram.go has their layout. Datagrams may be lost, as the next follows within 50 ms (an announcement of a
// prompt is sent once). docs/design/reported-load.md has the measurements behind the design.
package serverload
