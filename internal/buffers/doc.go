// Package buffers bounds the memory that bodies and responses hold together. It is a weighted semaphore, as
// in golang.org/x/sync/semaphore, whose limit may change and whose waits have a deadline. When the limit is
// reached, further acquisitions wait, and fail at their deadline.
//
// Callers that wait while they hold bytes of the same budget can deadlock with each other, until their
// deadlines. Request bodies and responses therefore have a budget each, since a body is held until its
// response has been read.
package buffers
