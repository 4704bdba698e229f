package replica

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the clients of a simulation, which submit, read and end batch jobs, and check each answer.

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
	accepted int // number of accepted batch jobs
	read     int // number of positions that were read
	stopped  bool
	onAccept func()
}

// clientJob is the clients' knowledge of a batch job.
type clientJob struct {
	id             string
	body           []byte
	items          []job.Item
	index          map[string]int // indexes of items by id
	firstSubmitted time.Duration
	attempts       int
	rejections     int // attempts answered with 503
	unanswered     int // attempts without an answer yet
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

// expired reports whether the stores may have dropped a batch job.
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

// encodeSubmission returns the body of a submission, and the items that result from parsing it.
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

// submit submits a new batch job with count items.
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

// givenUp reports whether a store may have given up items of a batch job, by the store's clock.
func (c *clients) givenUp(j *clientJob) bool {
	return c.sim.now >= j.firstSubmitted+c.sim.itemLifetime
}

// itemStarted checks that an item that was sent to a server was allowed to start.
func (c *clients) itemStarted(s *simulatedStore, id string) {
	sim := c.sim
	j := c.jobs[id]
	j.starts++
	if j.ended && sim.now > j.endedAt+cancelDeadline {
		sim.fail("%s: an item starts at %s %v after the end:%s", id, s.node, sim.now-j.endedAt, sim.describe(id))
	}
	for _, other := range sim.stores {
		stored := other.machine.jobs[id]
		if other != s && other.up && stored != nil && stored.owned && stored.replicated && other.machine.MayAct() {
			sim.fail("%s: runs at %s, and %s owns it, too:%s", id, s.node, other.node, sim.describe(id))
		}
	}
	c.checkRejections(j)
}

// checkRejections checks that no item of a batch job runs if all its submissions were rejected.
func (c *clients) checkRejections(j *clientJob) {
	if j.starts > 0 && j.unanswered == 0 && j.rejections == j.attempts {
		c.sim.fail("%s: an item ran though all %d attempts were rejected", j.id, j.attempts)
	}
}

// call sends a call to a store, follows its answers to the owner, and calls done with the last answer, or with an empty
// one after callTimeout.
func (c *clients) call(
	s *simulatedStore, call protocol.BatchCall, items []job.Item, hops int, done func(protocol.BatchAnswer),
) {
	sim := c.sim
	answered := false
	finish := func(answer protocol.BatchAnswer) {
		if !answered {
			answered = true
			done(answer)
		}
	}
	sim.schedule(callTimeout, func() { finish(protocol.BatchAnswer{}) })
	sim.schedule(sim.randomDuration(time.Millisecond, 3*time.Millisecond), func() {
		s.do(func() {
			s.lastCall++
			s.answers[s.lastCall] = func(answer protocol.BatchAnswer) {
				sim.schedule(sim.randomDuration(time.Millisecond, 3*time.Millisecond), func() {
					c.follow(answer, call, items, hops, finish)
				})
			}
			s.machine.Call(s.lastCall, call, items)
		})
	})
}

// follow repeats a call at the owner that its answer names.
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

// submitOnce submits a batch job, and sometimes a duplicate to another store.
func (c *clients) submitOnce(j *clientJob) {
	sim := c.sim
	j.attempts++
	j.unanswered++
	call := protocol.BatchCall{Operation: protocol.BatchSubmit, BatchJob: j.id, Tenant: "t", Route: "r", Body: j.body}
	c.call(sim.anyStore(), call, j.items, callHops, func(answer protocol.BatchAnswer) {
		j.unanswered--
		c.handleSubmitAnswer(j, answer)
		if j.attempts < maxAttempts && !j.accepted {
			sim.schedule(sim.randomDuration(0, 800*time.Millisecond), func() { c.submitOnce(j) })
		}
	})
	if sim.random.IntN(4) == 0 && j.attempts < maxAttempts { // a duplicate at about the same time, to any store
		sim.schedule(sim.randomDuration(0, 20*time.Millisecond), func() { c.submitOnce(j) })
	}
}

// handleSubmitAnswer checks the answer to a submission, and schedules the calls that follow an acceptance.
func (c *clients) handleSubmitAnswer(j *clientJob, answer protocol.BatchAnswer) {
	sim := c.sim
	sim.note("%s is answered %d", j.id, answer.Status)
	switch {
	case answer.Status == 202 && !j.accepted:
		j.accepted, j.acceptedAt = true, sim.now
		c.accepted++
		c.checkTokenLimit(j)
		c.keepReading(j)
		sim.schedule(sim.randomDuration(0, 3*time.Second), func() { c.readBody(j) })
		if sim.random.IntN(3) == 0 {
			sim.schedule(sim.randomDuration(0, 6*time.Second), func() { c.submitOnce(j) }) // another client submits it again
		}
		if sim.random.IntN(6) == 0 {
			sim.schedule(sim.randomDuration(0, 5*time.Second), func() { c.end(j) })
		}
		if act := c.onAccept; act != nil {
			c.onAccept = nil
			act()
		}
	case answer.Status == 503 || answer.Status == 429 && sim.tokenLimit > 0:
		j.rejections++
		c.checkRejections(j)
	case answer.Status >= 400 && answer.Status < 500 && !c.expired(j):
		sim.fail("%s: a submission is answered %d", j.id, answer.Status)
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

// keepReading reads results until all have been read, and sometimes again later.
func (c *clients) keepReading(j *clientJob) {
	sim := c.sim
	start := len(j.seen)
	if sim.random.IntN(3) == 0 {
		start = sim.random.IntN(start + 1)
	}
	sent := sim.now
	call := protocol.BatchCall{Operation: protocol.BatchRead, BatchJob: j.id, Tenant: "t", Start: start, WaitMs: 1000}
	c.call(sim.anyStore(), call, nil, callHops, func(answer protocol.BatchAnswer) {
		c.checkPage(j, start, sent, answer)
		switch {
		case c.expired(j) || c.stopped:
		case !j.allRead() && !j.ended:
			sim.schedule(sim.randomDuration(0, 600*time.Millisecond), func() { c.keepReading(j) })
		case sim.random.IntN(2) == 0: // a client reads again later
			sim.schedule(sim.randomDuration(0, 6*time.Second), func() { c.keepReading(j) })
		}
	})
}

// checkPage checks a page of results against the results that were read before.
func (c *clients) checkPage(j *clientJob, start int, sent time.Duration, answer protocol.BatchAnswer) {
	sim := c.sim
	if answer.Status == 404 && sent > j.acceptedAt && !c.expired(j) {
		sim.fail("%s: 404 though it was accepted at %v:%s", j.id, j.acceptedAt, sim.describe(j.id))
	}
	if answer.Status != 200 {
		return
	}
	var read page
	if err := json.Unmarshal(answer.Body, &read); err != nil {
		sim.fail("%s: %v", j.id, err)
		return
	}
	if read.Total != len(j.items) || read.Next != start+len(read.Results) {
		sim.fail("%s: total %d, next %d after %d from %d", j.id, read.Total, read.Next, len(read.Results), start)
	}
	if len(read.Results) == 0 && start < len(j.seen) {
		sim.fail("%s: nothing at position %d, which was read, asked at %v:%s", j.id, start, sent, sim.describe(j.id))
	}
	for i, result := range read.Results {
		c.checkResult(j, start+i, result.ID, result.Text)
	}
}

func (c *clients) checkResult(j *clientJob, position int, item, text string) {
	sim := c.sim
	index, known := j.index[item]
	givenUp := text == "" && c.givenUp(j)
	if !known || !isCompleteText(text, j.id, index) && !givenUp {
		sim.fail("%s: position %d holds %q of item %q", j.id, position, text, item)
	}
	if place, read := j.positions[item]; read && place != position {
		sim.fail("%s: item %s at positions %d and %d:%s", j.id, item, place, position, sim.describe(j.id))
	}
	content := item + " " + text
	if earlier, read := j.seen[position]; read && earlier != content {
		sim.fail("%s: position %d held %q, now %q:%s", j.id, position, earlier, content, sim.describe(j.id))
	}
	if _, read := j.seen[position]; !read {
		c.read++
	}
	j.seen[position], j.positions[item] = content, position
}

// readBody reads an item's body, which must be available until the item's result is listed.
func (c *clients) readBody(j *clientJob) {
	sim := c.sim
	index := sim.random.IntN(len(j.items))
	sent := sim.now
	call := protocol.BatchCall{Operation: protocol.BatchBody, BatchJob: j.id, Tenant: "t", Item: j.items[index].ID}
	c.call(sim.anyStore(), call, nil, callHops, func(answer protocol.BatchAnswer) {
		c.checkBody(j, index, sent, answer)
		if !j.allRead() && !j.endRequested && !c.stopped {
			sim.schedule(sim.randomDuration(0, 3*time.Second), func() { c.readBody(j) })
		}
	})
}

func (c *clients) checkBody(j *clientJob, index int, sent time.Duration, answer protocol.BatchAnswer) {
	sim := c.sim
	switch {
	case answer.Status == 200 && !bytes.Equal(answer.Body, j.items[index].Body):
		sim.fail("%s: the body of item %d is %q", j.id, index, answer.Body)
	case answer.Status == 404 && sent > j.acceptedAt && !j.endRequested && !c.expired(j) && !c.hasResult(j, index):
		sim.fail("%s: 404 for the body of item %d, which isn't listed:%s", j.id, index, sim.describe(j.id))
	}
}

// hasResult reports whether a store lists an item's result.
func (c *clients) hasResult(j *clientJob, index int) bool {
	if _, read := j.positions[j.items[index].ID]; read {
		return true
	}
	for _, s := range c.sim.stores {
		if stored := s.machine.jobs[j.id]; stored != nil && stored.items[index].finished {
			return true
		}
	}
	return false
}

// end ends a batch job.
func (c *clients) end(j *clientJob) {
	sim := c.sim
	j.endRequested = true
	call := protocol.BatchCall{Operation: protocol.BatchEnd, BatchJob: j.id, Tenant: "t"}
	sent := sim.now
	c.call(sim.anyStore(), call, nil, callHops, func(answer protocol.BatchAnswer) {
		switch {
		case answer.Status == 200 && !j.ended:
			sim.note("%s is ended", j.id)
			j.ended, j.endedAt = true, sim.now
			if sim.random.IntN(3) == 0 {
				sim.schedule(sim.randomDuration(0, 5*time.Second), func() { c.end(j) })
			}
		case answer.Status == 404 && sent > j.acceptedAt && !c.expired(j):
			sim.fail("%s: 404 to the end of an accepted batch job:%s", j.id, sim.describe(j.id))
		case answer.Status != 200 && !c.expired(j):
			sim.schedule(sim.randomDuration(0, 500*time.Millisecond), func() { c.end(j) })
		}
	})
}
