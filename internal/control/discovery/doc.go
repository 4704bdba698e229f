// Package discovery reads the platform's list of servers, and decides which control process reads it and
// when.
//
// One control process reads for all, because each call has a price and the platform limits the rate of calls.
// The reader is the process of rank 0 among the chain's members, sorted by address; it sends the list to the
// others. A process that hasn't received a list for some time takes over without coordination, lower ranks
// first, so that a partitioned process also keeps reading. It stops once it receives a list from a process of
// lower rank ([Schedule]).
//
// [Reader] reads the pages of the list within the platform's rate limit. A list is complete or there is none: a
// page that can't be read fails the whole read. [List] has a digest of its content, by which control processes
// recognize a list that they already have.
//
// [Reader] can also read a single zone. This is meant for systems of several thousand servers, where each zone's
// control process would read the list of its own zone.
package discovery
