package storm

import (
	"math/bits"
)

// BloomFilter is a Bloom filter with two hash functions.
type BloomFilter [bloomBytes]byte

// add adds a key.
func (f *BloomFilter) add(k uint64) {
	for _, h := range [...]uint64{k, k >> 24} {
		f[h/8%bloomBytes] |= 1 << (h % 8)
	}
}

// contains reports whether a key is probably in the set. If more than half of the bits are set it returns false for
// every key, because there would be too many false positives.
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
