// Package serverselection selects the server for each attempt of a request. It does no input or output, and
// reads no clock: callers pass the time.
//
// # Cost
//
// The Selector picks the candidate with the lowest cost. The cost estimates how long the request waits for its
// first token at a server, expressed in prompt tokens that the server has to read (prefill) before. It is the sum
// of
//
//   - the tokens of the prompt that the server's prefix cache doesn't hold (least outstanding work),
//   - the tokens of this gateway's other prompts that wait there, and of long prompts that other gateways
//     have announced,
//   - a cost for each request in flight there: those that the server last reported, and those that this gateway
//     has sent it since,
//   - a constant for a server in another zone,
//   - penalties for a server that is slower than the others, or has stalled,
//   - and some jitter, so that gateways with the same information don't all select the same server.
//
// # Prefix affinity
//
// Requests whose prompts share a long prefix should go to the same few servers, whose prefix caches then hold
// it. Gateways agree on these servers without communication: all order the servers of a backend in the same way
// for a prefix, by rendezvous hashing (Thaler and Ravishankar, 1998), and assume that the first two hold much of
// it in their caches. As affinity is only one term of the cost, load spreads to other servers when these are busy.
// Hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018) has the same aim; here the bound is soft.
//
// # Sampling
//
// If servers report their load, all gateways see nearly the same loads. If each picked the least loaded server,
// all requests of a tenth of a second would go to the same one. So each gateway draws two servers at random (the
// power of two choices; Mitzenmacher, 2001), adds the two that are preferred for a long prefix, and picks the
// cheapest of these.
//
// # Ejection
//
// A server that fails requests is ejected for a time that doubles with each failure (outlier ejection, as in
// Envoy). Afterwards it gets one request at a time (slow start). A server that rejects a request is ejected for
// a shorter time. Servers that fail the requests of a whole zone aren't drawn (see package serverload). If all
// servers are ejected, the one whose ejection ends first is used: ejecting healthy servers by mistake must not
// make a backend unavailable.
package serverselection
