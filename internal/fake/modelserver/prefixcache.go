package modelserver

import (
	"container/list"
	"sync"
)

// cache keeps the parts of prompts that were read, those used last. A part counts only where all parts before it are kept.
type prefixCache struct {
	mu       sync.Mutex
	capacity int // tokens
	tokens   int
	recency  *list.List // of part, last used in front
	entries  map[string]*list.Element
}

func newPrefixCache(most int) *prefixCache {
	return &prefixCache{capacity: most, recency: list.New(), entries: map[string]*list.Element{}}
}

// read takes the parts of a prompt in and gives how many tokens had to be read.
func (c *prefixCache) insert(parts []promptPart) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	unread, kept := 0, true
	path := ""
	for _, one := range parts {
		path += "/" + one.id
		place, found := c.entries[path]
		if kept = kept && found; kept {
			c.recency.MoveToFront(place)
			continue
		}
		unread += one.tokens
		c.add(path, one.tokens)
	}
	c.evict()
	return unread
}

func (c *prefixCache) add(path string, tokens int) {
	if _, found := c.entries[path]; found {
		return
	}
	c.entries[path] = c.recency.PushFront(promptPart{path, tokens})
	c.tokens += tokens
}

func (c *prefixCache) evict() {
	for c.tokens > c.capacity && c.recency.Len() > 0 {
		oldest := c.recency.Remove(c.recency.Back()).(promptPart)
		delete(c.entries, oldest.id)
		c.tokens -= oldest.tokens
	}
}

func (c *prefixCache) used() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens
}
