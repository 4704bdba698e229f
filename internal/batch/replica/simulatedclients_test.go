package replica

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Clients of a simulation, which submit, read and end batch jobs, and check each answer.

const (
	callTimeout = 3500 * time.Millisecond
	callHops    = 3
	maxAttempts = 4
)

// clients are all clients of a simulation.
type clients struct {
	sim      *storeSimulation
	jobs     map[string]*clientJob
	order    []*clientJob
	accepted int // batch jobs
	read     int // positions
	quiet    bool
	onAccept func()
}

// clientJob is what the clients know of a batch job.
type clientJob struct {
	id             string
	body           []byte
	items          []job.Item
	index          map[string]int // of items by id
	firstSubmitted time.Duration
	attempts       int
	rejections     int // tries answered with 503
	unanswered     int // tries without an answer yet
	acceptedAt     time.Duration
	accepted       bool
	starts         int
	seen           map[int]string // results by position
	positions      map[string]int // positions by item
	done           map[int]bool   // items that a server has finished
	endRequested   bool
	endedAt        time.Duration
	ended          bool
}

// expired reports whether a batch job may be forgotten.
func (c *clients) expired(j *clientJob) bool { return c.sim.now >= j.firstSubmitted+c.sim.retention }

// allRead reports whether the results of all items were read.
func (j *clientJob) allRead() bool { return len(j.seen) == len(j.items) }

// submittedRequest is one request of a submission's body.
type submittedRequest struct {
	ID     string `json:"id"`
	Path   string `json:"path"`
	Body   []byte `json:"body"`
	Tokens int    `json:"tokens"`
}

// encodeSubmission returns the body of a submission, and the items that it is parsed to.
func encodeSubmission(requests []submittedRequest) (body []byte, items []job.Item) {
	body, err := json.Marshal(map[string]any{"requests": requests})
	if err != nil {
		panic(err)
	}
	items, err = job.ParseSubmission(body)
	if err != nil {
		panic(err)
	}
	return body, items
}

// submit submits a new batch job with a number of items.
func (c *clients) submit(id string, count int) *clientJob {
	j := &clientJob{
		id: id, firstSubmitted: c.sim.now,
		index: map[string]int{}, seen: map[int]string{}, positions: map[string]int{}, done: map[int]bool{},
	}
	var requests []submittedRequest
	for i := range count {
		requests = append(requests, submittedRequest{
			ID: id + "-" + strconv.Itoa(i), Path: "/p", Body: []byte("body " + strconv.Itoa(i)), Tokens: itemTokens(i),
		})
	}
	j.body, j.items = encodeSubmission(requests)
	for i := range j.items {
		j.index[j.items[i].ID] = i
	}
	c.jobs[id] = j
	c.order = append(c.order, j)
	c.submitOnce(j)
	return j
}

// itemStarted checks an item that was sent to a server.
func (c *clients) itemStarted(s *simulatedStore, id string) {
	w := c.sim
	j := c.jobs[id]
	j.starts++
	if j.ended && w.now > j.endedAt+cancelDeadline {
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

// checkPromise checks that a batch job that was only ever rejected doesn't run.
func (c *clients) checkPromise(j *clientJob) {
	if j.starts > 0 && j.unanswered == 0 && j.rejections == j.attempts {
		c.sim.fail("%s: an item ran though all %d tries were refused", j.id, j.attempts)
	}
}

// call sends a call to a store and follows it to the owner.
func (c *clients) call(
	s *simulatedStore, call protocol.BatchCall, items []job.Item, hops int, done func(protocol.BatchAnswer),
) {
	w := c.sim
	answered := false
	finish := func(answer protocol.BatchAnswer) {
		if !answered {
			answered = true
			done(answer)
		}
	}
	w.schedule(callTimeout, func() { finish(protocol.BatchAnswer{}) })
	w.schedule(w.randomDuration(time.Millisecond, 3*time.Millisecond), func() {
		s.do(func() {
			s.lastToken++
			s.answers[s.lastToken] = func(answer protocol.BatchAnswer) {
				w.schedule(w.randomDuration(time.Millisecond, 3*time.Millisecond), func() {
					c.follow(answer, call, items, hops, finish)
				})
			}
			s.machine.Call(s.lastToken, call, items)
		})
	})
}

// follow makes a call again at the owner that its answer names.
func (c *clients) follow(
	answer protocol.BatchAnswer, call protocol.BatchCall, items []job.Item, hops int, finish func(protocol.BatchAnswer),
) {
	if answer.Owner == "" || hops == 0 {
		finish(answer)
		return
	}
	if next := c.sim.byIP(answer.Owner); next != nil {
		c.call(next, call, items, hops-1, finish)
		return
	}
	finish(protocol.BatchAnswer{Status: 504})
}

// submitOnce submits a batch job, and perhaps a duplicate elsewhere.
func (c *clients) submitOnce(j *clientJob) {
	w := c.sim
	j.attempts++
	j.unanswered++
	call := protocol.BatchCall{Operation: protocol.BatchSubmit, BatchJob: j.id, Tenant: "t", Route: "r", Body: j.body}
	c.call(w.anyStore(), call, j.items, callHops, func(answer protocol.BatchAnswer) {
		j.unanswered--
		c.handleSubmitAnswer(j, answer)
		if j.attempts < maxAttempts && !j.accepted {
			w.schedule(w.randomDuration(0, 800*time.Millisecond), func() { c.submitOnce(j) })
		}
	})
	if w.random.IntN(4) == 0 && j.attempts < maxAttempts { // a duplicate that goes elsewhere at the same time
		w.schedule(w.randomDuration(0, 20*time.Millisecond), func() { c.submitOnce(j) })
	}
}

// handleSubmitAnswer checks the answer to a submission, and starts what follows an acceptance.
func (c *clients) handleSubmitAnswer(j *clientJob, answer protocol.BatchAnswer) {
	w := c.sim
	w.note("%s is answered %d", j.id, answer.Status)
	switch {
	case answer.Status == 202 && !j.accepted:
		j.accepted, j.acceptedAt = true, w.now
		c.accepted++
		c.checkTokenLimit(j)
		c.keepReading(j)
		w.schedule(w.randomDuration(0, 3*time.Second), func() { c.readBody(j) })
		if w.random.IntN(3) == 0 {
			w.schedule(w.randomDuration(0, 6*time.Second), func() { c.submitOnce(j) }) // another client sends it once more
		}
		if w.random.IntN(6) == 0 {
			w.schedule(w.randomDuration(0, 5*time.Second), func() { c.end(j) })
		}
		if act := c.onAccept; act != nil {
			c.onAccept = nil
			act()
		}
	case answer.Status == 503 || answer.Status == 429 && w.tokenLimit > 0:
		j.rejections++
		c.checkPromise(j)
	case answer.Status >= 400 && answer.Status < 500 && !c.expired(j):
		w.fail("%s: a submission is answered %d", j.id, answer.Status)
	}
}

// page is the body of an answer with results.
type page struct {
	Total   int `json:"total"`
	Next    int `json:"next-token"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// keepReading reads until all results were read.
func (c *clients) keepReading(j *clientJob) {
	w := c.sim
	start := len(j.seen)
	if w.random.IntN(3) == 0 {
		start = w.random.IntN(start + 1)
	}
	sent := w.now
	call := protocol.BatchCall{Operation: protocol.BatchRead, BatchJob: j.id, Tenant: "t", Start: start, WaitMs: 1000}
	c.call(w.anyStore(), call, nil, callHops, func(answer protocol.BatchAnswer) {
		c.checkPage(j, start, sent, answer)
		switch {
		case c.expired(j) || c.quiet:
		case !j.allRead() && !j.ended:
			w.schedule(w.randomDuration(0, 600*time.Millisecond), func() { c.keepReading(j) })
		case w.random.IntN(2) == 0: // somebody looks again later
			w.schedule(w.randomDuration(0, 6*time.Second), func() { c.keepReading(j) })
		}
	})
}

// checkPage checks results against those that were read before.
func (c *clients) checkPage(j *clientJob, start int, sent time.Duration, answer protocol.BatchAnswer) {
	w := c.sim
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
		c.checkResult(j, start+i, result.ID, result.Text)
	}
}

func (c *clients) checkResult(j *clientJob, position int, item, text string) {
	w := c.sim
	index, known := j.index[item]
	if !known || !isCompleteText(text, j.id, index) {
		w.fail("%s: position %d holds %q of item %q", j.id, position, text, item)
	}
	if place, read := j.positions[item]; read && place != position {
		w.fail("%s: item %s at positions %d and %d:%s", j.id, item, place, position, w.describe(j.id))
	}
	content := item + " " + text
	if earlier, read := j.seen[position]; read && earlier != content {
		w.fail("%s: position %d held %q, now %q:%s", j.id, position, earlier, content, w.describe(j.id))
	}
	if _, read := j.seen[position]; !read {
		c.read++
	}
	j.seen[position], j.positions[item] = content, position
}

// readBody asks for an item's body, which is there until its result is listed.
func (c *clients) readBody(j *clientJob) {
	w := c.sim
	index := w.random.IntN(len(j.items))
	sent := w.now
	call := protocol.BatchCall{Operation: protocol.BatchBody, BatchJob: j.id, Tenant: "t", Item: j.items[index].ID}
	c.call(w.anyStore(), call, nil, callHops, func(answer protocol.BatchAnswer) {
		c.takeBody(j, index, sent, answer)
		if !j.allRead() && !j.endRequested && !c.quiet {
			w.schedule(w.randomDuration(0, 3*time.Second), func() { c.readBody(j) })
		}
	})
}

func (c *clients) takeBody(j *clientJob, index int, sent time.Duration, answer protocol.BatchAnswer) {
	w := c.sim
	switch {
	case answer.Status == 200 && !bytes.Equal(answer.Body, j.items[index].Body):
		w.fail("%s: the body of item %d is %q", j.id, index, answer.Body)
	case answer.Status == 404 && sent > j.acceptedAt && !j.endRequested && !c.expired(j) && !c.hasResult(j, index):
		w.fail("%s: 404 for the body of item %d, which isn't listed:%s", j.id, index, w.describe(j.id))
	}
}

// hasResult reports whether a store lists an item's result.
func (c *clients) hasResult(j *clientJob, index int) bool {
	if _, read := j.positions[j.items[index].ID]; read {
		return true
	}
	for _, s := range c.sim.stores {
		if h := s.machine.jobs[j.id]; h != nil && h.items[index].finished {
			return true
		}
	}
	return false
}

// end ends a batch job.
func (c *clients) end(j *clientJob) {
	w := c.sim
	j.endRequested = true
	call := protocol.BatchCall{Operation: protocol.BatchEnd, BatchJob: j.id, Tenant: "t"}
	sent := w.now
	c.call(w.anyStore(), call, nil, callHops, func(answer protocol.BatchAnswer) {
		switch {
		case answer.Status == 200 && !j.ended:
			w.note("%s is ended", j.id)
			j.ended, j.endedAt = true, w.now
			if w.random.IntN(3) == 0 {
				w.schedule(w.randomDuration(0, 5*time.Second), func() { c.end(j) })
			}
		case answer.Status == 404 && sent > j.acceptedAt && !c.expired(j):
			w.fail("%s: 404 to the end of an accepted batch job:%s", j.id, w.describe(j.id))
		case answer.Status != 200 && !c.expired(j):
			w.schedule(w.randomDuration(0, 500*time.Millisecond), func() { c.end(j) })
		}
	})
}
