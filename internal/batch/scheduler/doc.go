// Package scheduler decides which item of a batch job runs next and at which server. It is a pure state
// machine over monotonic time, with a seeded source of random numbers: it knows neither bodies nor
// connections. Package runner carries it.
//
// # Order of items
//
// Batch jobs are served earliest deadline first (Liu and Layland, 1973). A job whose items would miss the
// deadline even if they started now comes after all others: to be later still costs it little, while one
// overdue job ahead of the queue would make all jobs behind it late (the domino effect of EDF under
// overload). See Planner.Next.
//
// # Choice of the server
//
// Without reported loads, an item goes to the server with the least cost (planner.go) among those below
// their limit. The limit of each server follows what the server shows of its load: it grows by steps while
// first events come promptly, and shrinks by a factor on late ones, rejections and broken connections
// (additive increase, multiplicative decrease; Chiu and Jain, 1989). See serverstate.go.
//
// Where servers report their loads, items go where slots are free, and leave a reserve to live requests.
// All stores see nearly the same loads at the same time. So that they don't all pick the same server, each
// samples two at random and takes the one with less cost (power of two choices; Mitzenmacher, 2001), and
// takes only its share of the free slots in an interval. See reportedload.go and slotbudget.go.
package scheduler
