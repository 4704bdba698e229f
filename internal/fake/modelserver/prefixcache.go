package modelserver

import (
	"container/list"
	"sync"
)

// prefixCache holds the parts of prompts that were read, and evicts the least recently used ones. As in an
// engine's KV cache, a part is only usable together with all parts before it: its key is the path of ids from
// the start of the prompt.
type prefixCache struct {
	mu       sync.Mutex // guards the fields below
	capacity int        // tokens
	tokens   int        // of all entries
	recency  *list.List // of promptPart, with its path as id; the most recently used first
	entries  map[string]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), entries: map[string]*list.Element{}}
}

// insert adds the parts of a prompt, and returns the number of tokens that weren't cached.
func (c *prefixCache) insert(parts []promptPart) (uncached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := true
	path := ""
	for _, part := range parts {
		path += "/" + part.id
		entry, found := c.entries[path]
		if hit = hit && found; hit {
			c.recency.MoveToFront(entry)
			continue
		}
		uncached += part.tokens
		c.addLocked(path, part.tokens)
	}
	c.evictLocked()
	return uncached
}

func (c *prefixCache) addLocked(path string, tokens int) {
	if _, found := c.entries[path]; found {
		return
	}
	c.entries[path] = c.recency.PushFront(promptPart{path, tokens})
	c.tokens += tokens
}

func (c *prefixCache) evictLocked() {
	for c.tokens > c.capacity && c.recency.Len() > 0 {
		oldest := c.recency.Remove(c.recency.Back()).(promptPart)
		delete(c.entries, oldest.id)
		c.tokens -= oldest.tokens
	}
}

// used returns the tokens of all entries.
func (c *prefixCache) used() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens
}
