// Package buffers limits the total memory of buffered request bodies and responses. A Budget is a weighted
// semaphore, as in golang.org/x/sync/semaphore, whose limit may change and whose waits have a deadline. When the
// limit is reached, further acquisitions wait, and fail at their deadline.
//
// A caller that needs more bytes while it holds some calls AcquireMore. Where such callers wait for each other, one
// of them is refused at once, so that they don't all wait until their deadlines for bytes that the others hold.
// Nevertheless the daemon has separate budgets for request bodies and for responses, since a body is held until its
// response has been read.
package buffers
