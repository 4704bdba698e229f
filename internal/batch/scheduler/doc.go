// Package scheduler decides which item of a batch job runs next and at which server. It is a pure state
// machine over monotonic time, with a seeded source of random numbers: it handles neither request bodies
// nor connections. Package runner drives it.
//
// # Order of items
//
// Batch jobs are served earliest deadline first (Liu and Layland, 1973). A job whose items would miss the
// deadline even if they started now comes after all others: it is late in any case, so more delay costs it
// little, while an overdue job at the head of the queue would make all jobs behind it late (the domino
// effect of EDF under overload). See Planner.Next.
//
// # Choice of the server
//
// Without reported loads, an item goes to the server with the lowest cost (planner.go) among those below
// their limit. The limit of each server follows the server's observed behavior: it grows by steps while
// first events arrive promptly, and shrinks by a factor on late first events, rejections and broken
// connections (additive increase, multiplicative decrease; Chiu and Jain, 1989). See serverstate.go.
//
// Where servers report their loads, items go to servers with free slots, and leave some slots free for live
// requests. All stores see nearly the same loads at the same time. So that they don't all pick the same
// server, each store samples two servers at random and picks the one with the lower cost (power of two
// choices; Mitzenmacher, 2001), and takes only its share of the free slots in an interval. See
// reportedload.go and slotbudget.go.
package scheduler
