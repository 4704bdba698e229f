// Package buffers bounds the memory that bodies and responses hold together. It is a weighted semaphore, as in
// golang.org/x/sync/semaphore, whose limit may change and whose waits have a deadline. When the limit is reached,
// whoever needs more waits; only what can't wait any longer fails.
//
// Whoever waits while holding bytes of the same budget can deadlock with others that do the same, until their
// deadlines. Request bodies and responses therefore have a budget each, since a body is held until its response has
// been read.
package buffers
