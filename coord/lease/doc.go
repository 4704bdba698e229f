// Package lease grants rights for a duration, with fencing tokens.
//
// It is pure: no clock is read, every call is told the time of a steady clock. The two sides never
// compare clocks. A Holder counts the duration from the moment at which it sent the question; a
// Granter from the moment at which it answers, which is later. So the holder's right has ended, by
// its own clock, before the granter may give it to another, as long as steady clocks run alike within
// the Granter's Guard.
//
// Each grant has a token that is higher than all before it, over all granters of a system, because
// its upper half is the epoch in which the granter serves. What a lease protects keeps a Fence,
// which refuses tokens lower than the highest that it has seen: a holder that stood still between
// its look at the clock and its act is refused there.
//
// A granter that takes over doesn't know the grants of the one before. It refuses until the longest
// of them must have ended, unless it is given the grants.
package lease
