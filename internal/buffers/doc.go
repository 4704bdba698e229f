// Package buffers bounds the memory that bodies and responses hold together. It is a weighted semaphore, as
// in golang.org/x/sync/semaphore, whose limit may change and whose waits have a deadline. When the limit is
// reached, further acquisitions wait, and fail at their deadline.
//
// A caller that needs more while it holds some says so (AcquireMore): where such callers wait for each other, one of
// them is refused at once, so that none of them waits until its deadline for what the others hold. Request bodies and
// responses of the daemon have a budget each all the same, since a body is held until its response has been read.
package buffers
