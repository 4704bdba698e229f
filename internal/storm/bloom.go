package storm

import (
	"math/bits"
)

// BloomFilter is a set of keys with two hash functions and false positives.
type BloomFilter [bloomBytes]byte

// add adds a key.
func (f *BloomFilter) add(k uint64) {
	for _, h := range [...]uint64{k, k >> 24} {
		f[h/8%bloomBytes] |= 1 << (h % 8)
	}
}

// contains reports whether a key is probably in the set. A filter of which more than half the bits are set would
// have too many false positives, and contains nothing.
func (f *BloomFilter) contains(k uint64) bool {
	for _, h := range [...]uint64{k, k >> 24} {
		if f[h/8%bloomBytes]>>(h%8)&1 == 0 {
			return false
		}
	}
	return !f.saturated()
}

// saturated reports whether more than half of the bits are set.
func (f *BloomFilter) saturated() bool {
	n := 0
	for _, b := range f {
		n += bits.OnesCount8(b)
	}
	return n > bloomBytes*8/2
}
