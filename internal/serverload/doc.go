// Package serverload keeps the load of model servers and of batch processes as far as a process knows it, and
// shares it between processes, mostly within a zone. Gateways and batch processes use it to select servers.
//
// A gateway sends a server only a small part of its requests, while all processes together fill its slots. So
// each process shares its observations with the others and selects servers by those of the whole zone. Four
// things are shared:
//
//   - loads, which servers report in a header of their responses (load.go);
//   - results of requests, which show servers that fail requests (results.go);
//   - long prompts that were just sent to a server and keep it busy (prefill.go);
//   - backlogs of batch processes (backlog.go).
//
// A Table holds them in a process. All are hints that expire within about two seconds: a header or datagram
// that can't be parsed is dropped and counted (Table.Invalid), an entry that has expired counts as unknown,
// and no request fails because a hint is missing.
//
// # Sharing
//
// Sharing sends datagrams over UDP. Two gateways of each zone are its aggregators, by rendezvous hashing
// (Thaler and Ravishankar, 1998) over the list of processes, so that all processes with the same list choose
// the same two. Each process sends its observations to the aggregators of its zone. These send what they have
// received to all processes of the zone, and the loads that were reported in their zone to the aggregators of
// the other zones. So the number of datagrams that a process sends and receives doesn't grow with the number of
// gateways, except at aggregators.
//
// The layout of the datagrams is in datagram.go. Datagrams may be lost, because the next one follows within 50 ms
// (an announcement of a prompt is sent only once). docs/design/reported-load.md has the measurements
// behind the design.
package serverload
