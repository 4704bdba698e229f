package serverselection

import "time"

const (
	// prefixTTL is how long a prefix that was sent to a server is assumed to be in its cache.
	prefixTTL = 15 * time.Second
	// minCachedTokens is the shortest prefix that is remembered.
	minCachedTokens = 64
	// maxCachedPrefixes bounds the prefixes that are remembered of one server.
	maxCachedPrefixes = 512
)

// prefixCache is a model of a server's prefix cache, from what this gateway has sent there. The selector's mu
// guards it.
type prefixCache struct {
	sentAt map[uint64]time.Time // by prefix hash
}

// cachedTokens returns the length of the longest prefix that the server need not read again.
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

// record notes that a prompt with these prefixes is sent to the server.
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

// evict drops the prefixes that have expired, and then arbitrary ones until a quarter of the space is free.
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
