package replica

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns clients that submit, read and end batch jobs, and that hold the stores to the rules at each answer.

const (
	callTimeout = 3500 * time.Millisecond
	callHops    = 3
	mostTries   = 4
)

type clients struct {
	world    *world
	jobs     map[string]*clientJob
	order    []*clientJob
	accepted int // batch jobs
	read     int // positions
	quiet    bool
	onAccept func()
}

type clientJob struct {
	id         string
	body       []byte
	items      []job.Item
	index      map[string]int // of items by id
	firstTry   time.Duration
	tries      int
	promises   int // tries answered with 503
	open       int // tries without an answer yet
	acceptedAt time.Duration
	accepted   bool
	starts     int
	seen       map[int]string // results by position
	places     map[string]int // positions by item
	done       map[int]bool   // items that a server has finished
	ending     bool
	endedAt    time.Duration
	ended      bool
}

// expired tells whether the batch job may be forgotten.
func (c *clients) expired(j *clientJob) bool { return c.world.now >= j.firstTry+c.world.status }

// whole tells whether all items were read.
func (j *clientJob) whole() bool { return len(j.seen) == len(j.items) }

func (c *clients) submit(id string, count int) *clientJob {
	j := &clientJob{id: id, index: map[string]int{}, seen: map[int]string{}, places: map[string]int{}, done: map[int]bool{},
		firstTry: c.world.now}
	type request struct {
		ID     string `json:"id"`
		Path   string `json:"path"`
		Body   []byte `json:"body"`
		Tokens int    `json:"tokens"`
	}
	var requests []request
	for i := range count {
		requests = append(requests, request{ID: id + "-" + strconv.Itoa(i), Path: "/p", Body: []byte("body " + strconv.Itoa(i)),
			Tokens: itemTokens(i)})
	}
	j.body, _ = json.Marshal(map[string]any{"requests": requests})
	items, err := job.ParseSubmission(j.body)
	if err != nil {
		panic(err)
	}
	j.items = items
	for i := range items {
		j.index[items[i].ID] = i
	}
	c.jobs[id] = j
	c.order = append(c.order, j)
	c.try(j)
	return j
}

// started takes note of an item that reached a server.
func (c *clients) started(s *store, id string) {
	w := c.world
	j := c.jobs[id]
	j.starts++
	if j.ended && w.now > j.endedAt+worldCancel {
		w.fail("%s: an item starts at %s %v after the end:%s", id, s.node, w.now-j.endedAt, w.describe(id))
	}
	for _, other := range w.stores {
		h := other.machine.jobs[id]
		if other != s && other.up && h != nil && h.owned && h.replicated && other.machine.MayAct() {
			w.fail("%s: runs at %s, and %s owns it, too:%s", id, s.node, other.node, w.describe(id))
		}
	}
	c.checkPromise(j)
}

func (c *clients) checkPromise(j *clientJob) {
	if j.starts > 0 && j.open == 0 && j.promises == j.tries {
		c.world.fail("%s: an item ran though all %d tries were refused", j.id, j.tries)
	}
}

// ask sends a call to a store and follows it to the owner.
func (c *clients) ask(s *store, call protocol.BatchCall, items []job.Item, hops int, done func(protocol.BatchAnswer)) {
	w := c.world
	answered := false
	finish := func(answer protocol.BatchAnswer) {
		if !answered {
			answered = true
			done(answer)
		}
	}
	w.after(callTimeout, func() { finish(protocol.BatchAnswer{}) })
	w.after(w.between(time.Millisecond, 3*time.Millisecond), func() {
		s.do(func() {
			s.lastToken++
			s.answers[s.lastToken] = func(answer protocol.BatchAnswer) {
				w.after(w.between(time.Millisecond, 3*time.Millisecond), func() { c.follow(answer, call, items, hops, finish) })
			}
			s.machine.Call(s.lastToken, call, items)
		})
	})
}

func (c *clients) follow(answer protocol.BatchAnswer, call protocol.BatchCall, items []job.Item, hops int, finish func(protocol.BatchAnswer)) {
	if answer.Owner == "" || hops == 0 {
		finish(answer)
		return
	}
	if next := c.world.byIP(answer.Owner); next != nil {
		c.ask(next, call, items, hops-1, finish)
		return
	}
	finish(protocol.BatchAnswer{Status: 504})
}

func (c *clients) try(j *clientJob) {
	w := c.world
	j.tries++
	j.open++
	call := protocol.BatchCall{Operation: protocol.BatchSubmit, BatchJob: j.id, Tenant: "t", Route: "r", Body: j.body}
	c.ask(w.anyStore(), call, j.items, callHops, func(answer protocol.BatchAnswer) {
		j.open--
		c.tried(j, answer)
		if j.tries < mostTries && !j.accepted {
			w.after(w.between(0, 800*time.Millisecond), func() { c.try(j) })
		}
	})
	if w.random.IntN(4) == 0 && j.tries < mostTries { // a copy that goes elsewhere at the same time
		w.after(w.between(0, 20*time.Millisecond), func() { c.try(j) })
	}
}

func (c *clients) tried(j *clientJob, answer protocol.BatchAnswer) {
	w := c.world
	w.note("%s is answered %d", j.id, answer.Status)
	switch {
	case answer.Status == 202 && !j.accepted:
		j.accepted, j.acceptedAt = true, w.now
		c.accepted++
		c.checkBound(j)
		c.readOn(j)
		w.after(w.between(0, 3*time.Second), func() { c.body(j) })
		if w.random.IntN(3) == 0 {
			w.after(w.between(0, 6*time.Second), func() { c.try(j) }) // another client sends it once more
		}
		if w.random.IntN(6) == 0 {
			w.after(w.between(0, 5*time.Second), func() { c.end(j) })
		}
		if act := c.onAccept; act != nil {
			c.onAccept = nil
			act()
		}
	case answer.Status == 503 || answer.Status == 429 && w.bound > 0:
		j.promises++
		c.checkPromise(j)
	case answer.Status >= 400 && answer.Status < 500 && !c.expired(j):
		w.fail("%s: a submission is answered %d", j.id, answer.Status)
	}
}

type page struct {
	Total   int `json:"total"`
	Next    int `json:"next-token"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// readOn reads on until all is read.
func (c *clients) readOn(j *clientJob) {
	w := c.world
	start := len(j.seen)
	if w.random.IntN(3) == 0 {
		start = w.random.IntN(start + 1)
	}
	sent := w.now
	call := protocol.BatchCall{Operation: protocol.BatchRead, BatchJob: j.id, Tenant: "t", Start: start, WaitMs: 1000}
	c.ask(w.anyStore(), call, nil, callHops, func(answer protocol.BatchAnswer) {
		c.take(j, start, sent, answer)
		switch {
		case c.expired(j) || c.quiet:
		case !j.whole() && !j.ended:
			w.after(w.between(0, 600*time.Millisecond), func() { c.readOn(j) })
		case w.random.IntN(2) == 0: // somebody looks again later
			w.after(w.between(0, 6*time.Second), func() { c.readOn(j) })
		}
	})
}

// take holds results that were read to those that were read before.
func (c *clients) take(j *clientJob, start int, sent time.Duration, answer protocol.BatchAnswer) {
	w := c.world
	if answer.Status == 404 && sent > j.acceptedAt && !c.expired(j) {
		w.fail("%s: 404 though it was accepted at %v:%s", j.id, j.acceptedAt, w.describe(j.id))
	}
	if answer.Status != 200 {
		return
	}
	var read page
	if err := json.Unmarshal(answer.Body, &read); err != nil {
		w.fail("%s: %v", j.id, err)
		return
	}
	if read.Total != len(j.items) || read.Next != start+len(read.Results) {
		w.fail("%s: total %d, next %d after %d from %d", j.id, read.Total, read.Next, len(read.Results), start)
	}
	if len(read.Results) == 0 && start < len(j.seen) {
		w.fail("%s: nothing at position %d, which was read, asked at %v:%s", j.id, start, sent, w.describe(j.id))
	}
	for i, result := range read.Results {
		c.takeResult(j, start+i, result.ID, result.Text)
	}
}

func (c *clients) takeResult(j *clientJob, position int, item, text string) {
	w := c.world
	index, known := j.index[item]
	if !known || !isWholeText(text, j.id, index) {
		w.fail("%s: position %d holds %q of item %q", j.id, position, text, item)
	}
	if place, read := j.places[item]; read && place != position {
		w.fail("%s: item %s at positions %d and %d:%s", j.id, item, place, position, w.describe(j.id))
	}
	content := item + " " + text
	if earlier, read := j.seen[position]; read && earlier != content {
		w.fail("%s: position %d held %q, now %q:%s", j.id, position, earlier, content, w.describe(j.id))
	}
	if _, read := j.seen[position]; !read {
		c.read++
	}
	j.seen[position], j.places[item] = content, position
}

// body asks for an item's body, which is there until the item is listed.
func (c *clients) body(j *clientJob) {
	w := c.world
	index := w.random.IntN(len(j.items))
	sent := w.now
	call := protocol.BatchCall{Operation: protocol.BatchBody, BatchJob: j.id, Tenant: "t", Item: j.items[index].ID}
	c.ask(w.anyStore(), call, nil, callHops, func(answer protocol.BatchAnswer) {
		c.takeBody(j, index, sent, answer)
		if !j.whole() && !j.ending && !c.quiet {
			w.after(w.between(0, 3*time.Second), func() { c.body(j) })
		}
	})
}

func (c *clients) takeBody(j *clientJob, index int, sent time.Duration, answer protocol.BatchAnswer) {
	w := c.world
	switch {
	case answer.Status == 200 && !bytes.Equal(answer.Body, j.items[index].Body):
		w.fail("%s: the body of item %d is %q", j.id, index, answer.Body)
	case answer.Status == 404 && sent > j.acceptedAt && !j.ending && !c.expired(j) && !c.isListed(j, index):
		w.fail("%s: 404 for the body of item %d, which isn't listed:%s", j.id, index, w.describe(j.id))
	}
}

// isListed tells whether a store shows an item as listed.
func (c *clients) isListed(j *clientJob, index int) bool {
	if _, read := j.places[j.items[index].ID]; read {
		return true
	}
	for _, s := range c.world.stores {
		if h := s.machine.jobs[j.id]; h != nil && h.items[index].finished {
			return true
		}
	}
	return false
}

func (c *clients) end(j *clientJob) {
	w := c.world
	j.ending = true
	call := protocol.BatchCall{Operation: protocol.BatchEnd, BatchJob: j.id, Tenant: "t"}
	sent := w.now
	c.ask(w.anyStore(), call, nil, callHops, func(answer protocol.BatchAnswer) {
		switch {
		case answer.Status == 200 && !j.ended:
			w.note("%s is ended", j.id)
			j.ended, j.endedAt = true, w.now
			if w.random.IntN(3) == 0 {
				w.after(w.between(0, 5*time.Second), func() { c.end(j) })
			}
		case answer.Status == 404 && sent > j.acceptedAt && !c.expired(j):
			w.fail("%s: 404 to the end of an accepted batch job:%s", j.id, w.describe(j.id))
		case answer.Status != 200 && !c.expired(j):
			w.after(w.between(0, 500*time.Millisecond), func() { c.end(j) })
		}
	})
}
