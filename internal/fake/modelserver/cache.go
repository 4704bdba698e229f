package modelserver

import (
	"container/list"
	"sync"
)

// cache keeps the parts of prompts that were read, those used last. A part counts only where all parts before it are kept.
type cache struct {
	mu     sync.Mutex
	most   int // tokens
	tokens int
	order  *list.List // of part, last used in front
	places map[string]*list.Element
}

func newCache(most int) *cache {
	return &cache{most: most, order: list.New(), places: map[string]*list.Element{}}
}

// read takes the parts of a prompt in and gives how many tokens had to be read.
func (c *cache) read(parts []part) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	unread, kept := 0, true
	path := ""
	for _, one := range parts {
		path += "/" + one.id
		place, found := c.places[path]
		if kept = kept && found; kept {
			c.order.MoveToFront(place)
			continue
		}
		unread += one.tokens
		c.put(path, one.tokens)
	}
	c.shrink()
	return unread
}

func (c *cache) put(path string, tokens int) {
	if _, found := c.places[path]; found {
		return
	}
	c.places[path] = c.order.PushFront(part{path, tokens})
	c.tokens += tokens
}

func (c *cache) shrink() {
	for c.tokens > c.most && c.order.Len() > 0 {
		oldest := c.order.Remove(c.order.Back()).(part)
		delete(c.places, oldest.id)
		c.tokens -= oldest.tokens
	}
}

func (c *cache) used() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens
}
