package serverselection

import "time"

const (
	// prefixTTL is how long a prefix that was sent to a server is assumed to be in its cache.
	prefixTTL = 15 * time.Second
	// minCachedTokens is the least length of a prefix that is recorded.
	minCachedTokens = 64
	// maxCachedPrefixes bounds the number of prefixes that are kept for one server.
	maxCachedPrefixes = 512
)

// prefixCache is a model of a server's prefix cache, built from the prompts that this gateway has sent there. The
// selector's mu guards it.
type prefixCache struct {
	sentAt map[uint64]time.Time // by prefix hash
}

// cachedTokens returns the length in tokens of the longest prefix that the server is assumed to have in its cache.
// prefixes are those of one prompt, from the shortest.
func (c *prefixCache) cachedTokens(prefixes []Prefix, now time.Time) int {
	cached := 0
	for _, prefix := range prefixes {
		last, known := c.sentAt[prefix.Hash]
		if !known || now.Sub(last) > prefixTTL {
			break
		}
		cached = prefix.Tokens
	}
	return cached
}

// record adds the prefixes of a prompt that is sent to the server.
func (c *prefixCache) record(prefixes []Prefix, now time.Time) {
	if c.sentAt == nil {
		c.sentAt = make(map[uint64]time.Time, len(prefixes))
	}
	for _, prefix := range prefixes {
		if prefix.Tokens >= minCachedTokens {
			c.sentAt[prefix.Hash] = now
		}
	}
	if len(c.sentAt) > maxCachedPrefixes {
		c.evict(now)
	}
}

// evict drops the prefixes that have expired, and then arbitrary ones until at most three quarters of
// maxCachedPrefixes are left.
func (c *prefixCache) evict(now time.Time) {
	for hash, last := range c.sentAt {
		if now.Sub(last) > prefixTTL {
			delete(c.sentAt, hash)
		}
	}
	for hash := range c.sentAt {
		if len(c.sentAt) <= maxCachedPrefixes*3/4 {
			return
		}
		delete(c.sentAt, hash)
	}
}
