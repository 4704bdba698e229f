package serverselection

import "time"

const (
	// cacheLife is how long a part that was sent to a server is believed to be in its cache.
	prefixTTL = 15 * time.Second
	// cacheMost bounds the parts remembered of one server.
	maxCachedPrefixes = 512
)

// cache is what a server has lately been sent, as far as this gateway has seen it.
type prefixCache struct{ sentAt map[uint64]time.Time }

// holds gives the tokens of a prompt that the server need not read again.
func (c *prefixCache) cachedTokens(parts []Prefix, now time.Time) int {
	held := 0
	for _, part := range parts {
		last, known := c.sentAt[part.Hash]
		if !known || now.Sub(last) > prefixTTL {
			break
		}
		held = part.Tokens
	}
	return held
}

// note remembers parts that the server reads now.
func (c *prefixCache) record(parts []Prefix, now time.Time) {
	if c.sentAt == nil {
		c.sentAt = make(map[uint64]time.Time, len(parts))
	}
	for _, part := range parts {
		if part.Tokens >= minCachedTokens {
			c.sentAt[part.Hash] = now
		}
	}
	if len(c.sentAt) > maxCachedPrefixes {
		c.evict(now)
	}
}

// shrink forgets what is old, and where that isn't enough a part of the rest.
func (c *prefixCache) evict(now time.Time) {
	for chain, last := range c.sentAt {
		if now.Sub(last) > prefixTTL {
			delete(c.sentAt, chain)
		}
	}
	for chain := range c.sentAt {
		if len(c.sentAt) <= maxCachedPrefixes*3/4 {
			return
		}
		delete(c.sentAt, chain)
	}
}
