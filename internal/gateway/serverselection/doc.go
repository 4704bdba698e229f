// Package serverselection selects the server for each attempt of a request. It does no input or output, and
// reads no clock: callers pass the time.
//
// # Cost
//
// Of the candidates it takes the one with the lowest cost: an estimate of how long the request waits for its
// first token there, expressed in prompt tokens that the server has to read (prefill) before. The cost adds
// up
//
//   - the tokens of the prompt that the server's prefix cache doesn't hold (least outstanding work),
//   - the tokens of this gateway's other prompts that wait there, and of long prompts that other gateways
//     have announced,
//   - the requests in flight there: those that the server last reported, and what this gateway has sent it
//     since,
//   - a constant for a server in another zone,
//   - penalties for a server that is slower than the others, or has stalled,
//   - and some jitter, so that gateways that know the same don't all select the same server.
//
// # Prefix affinity
//
// Requests that share a long beginning of their prompt should meet at the same few servers, whose prefix
// caches then hold it. Gateways agree on these servers without talking to each other: all order the servers
// of a backend alike for a prefix, by rendezvous hashing (Thaler and Ravishankar, 1998), and assume that the
// first two hold much of it. As affinity is only one term of the cost, load spreads past these servers when
// they are busy; this is the aim of hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018),
// with a soft bound.
//
// # Sampling
//
// If servers report their load, all gateways see nearly the same loads. If each took the server with the
// least, all requests of a tenth of a second would go to one. So each draws two servers (the power of two
// choices; Mitzenmacher, 2001), adds the two that a long prefix prefers, and takes the cheapest of them.
//
// # Ejection
//
// A server that fails requests is ejected for a time that doubles with each failure (outlier ejection, as in
// Envoy), and comes back with one request at a time (slow start). A server that rejects a request is left out
// for a shorter time. Servers that fail the requests of a whole zone aren't drawn (see package serverload).
// If all servers are ejected, the one whose time ends first is used: a wrong suspicion must not take a
// backend down.
package serverselection
