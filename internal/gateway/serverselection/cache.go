package serverselection

import "time"

const (
	// cacheLife is how long a part that was sent to a server is believed to be in its cache.
	cacheLife = 15 * time.Second
	// cacheMost bounds the parts remembered of one server.
	cacheMost = 512
)

// cache is what a server has lately been sent, as far as this gateway has seen it.
type cache struct{ read map[uint64]time.Time }

// holds gives the tokens of a prompt that the server need not read again.
func (c *cache) holds(parts []Part, now time.Time) int {
	held := 0
	for _, part := range parts {
		last, known := c.read[part.Chain]
		if !known || now.Sub(last) > cacheLife {
			break
		}
		held = part.Tokens
	}
	return held
}

// note remembers parts that the server reads now.
func (c *cache) note(parts []Part, now time.Time) {
	if c.read == nil {
		c.read = make(map[uint64]time.Time, len(parts))
	}
	for _, part := range parts {
		if part.Tokens >= cacheLeast {
			c.read[part.Chain] = now
		}
	}
	if len(c.read) > cacheMost {
		c.shrink(now)
	}
}

// shrink forgets what is old, and where that isn't enough a part of the rest.
func (c *cache) shrink(now time.Time) {
	for chain, last := range c.read {
		if now.Sub(last) > cacheLife {
			delete(c.read, chain)
		}
	}
	for chain := range c.read {
		if len(c.read) <= cacheMost*3/4 {
			return
		}
		delete(c.read, chain)
	}
}
