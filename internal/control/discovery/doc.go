// Package discovery reads the platform's list of servers, and decides which control process reads it and
// when.
//
// One control process reads for all, since each call has a price and the platform limits the rate of calls:
// the one of rank 0 among the chain's members by address. It sends the list to the others. A process that
// hasn't received a list for a while takes over without asking another, those of lower ranks first, so that a
// partitioned process keeps reading; it stops once it receives a list from one of a lower rank ([Schedule]).
//
// [Reader] reads the pages of the list within the platform's rate. A list is handed on whole or not at all: a
// page that can't be read fails the reading. [List] has a digest of its content, by which control processes
// recognize a list that they have.
//
// [Reader] can read a single zone; that is for systems of several thousand servers, where each zone's control
// process would read its own.
package discovery
