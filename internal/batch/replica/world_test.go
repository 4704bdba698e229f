package replica

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/journal"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns a simulated world for machines: disks that lose what was not synced, links that lose, delay and reorder,
// an authority that grants leases and changes the view, and clients. All chance follows from a seed.

const (
	worldLease  = 1500 * time.Millisecond
	worldSilent = 2200 * time.Millisecond // after which the authority takes a store out
	worldPoll   = 400 * time.Millisecond
	worldCancel = 3 * time.Second
)

type event struct {
	at    time.Duration
	order int
	run   func()
}

type world struct {
	random  *rand.Rand
	now     time.Duration
	events  []event
	order   int
	copies  int
	stores  []*store
	view    protocol.StoreView
	removed map[placement.Key]bool
	clients *clients
	loss    float64
	calm    bool
	failure error
}

type store struct {
	world       *world
	node        string
	incarnation int
	zone        string
	disk        [][]byte // records, written
	durable     int      // of them
	base        int      // records on the disk when the process started
	life        uint64
	up          bool
	frozen      bool
	retired     bool
	member      bool // it was in the view once
	inbox       []func()
	machine     *Machine
	generation  int // of the process
	syncing     bool
	lastHeard   time.Duration // by the authority
	leaseUntil  time.Duration
	running     map[string]map[int]bool
	idle        bool // no items are run
	answers     map[Token]func(protocol.BatchAnswer)
	lastToken   Token
}

func newWorld(seed uint64, count, copies int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), copies: copies, removed: map[placement.Key]bool{}}
	for i := range count {
		w.addStore("store-"+strconv.Itoa(i+1), "zone-"+strconv.Itoa(i%3+1))
	}
	w.clients = &clients{world: w, jobs: map[string]*clientJob{}}
	w.after(0, w.authority)
	return w
}

func (w *world) addStore(node, zone string) *store {
	s := &store{world: w, node: node, zone: zone, incarnation: 1}
	w.stores = append(w.stores, s)
	s.start()
	return s
}

func (w *world) after(delay time.Duration, run func()) {
	w.order++
	w.events = append(w.events, event{at: w.now + delay, order: w.order, run: run})
	w.up(len(w.events) - 1)
}

func (w *world) less(i, j int) bool {
	a, b := &w.events[i], &w.events[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (w *world) up(i int) {
	for i > 0 && w.less(i, (i-1)/2) {
		w.events[i], w.events[(i-1)/2] = w.events[(i-1)/2], w.events[i]
		i = (i - 1) / 2
	}
}

func (w *world) pop() event {
	first := w.events[0]
	last := len(w.events) - 1
	w.events[0] = w.events[last]
	w.events[last] = event{}
	w.events = w.events[:last]
	i := 0
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if w.less(child, least) {
				least = child
			}
		}
		if least == i {
			return first
		}
		w.events[i], w.events[least] = w.events[least], w.events[i]
		i = least
	}
}

func (w *world) runUntil(end time.Duration) {
	for w.failure == nil && len(w.events) > 0 && w.events[0].at <= end {
		next := w.pop()
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) fail(format string, values ...any) {
	if w.failure == nil {
		w.failure = fmt.Errorf("at %v: "+format, append([]any{w.now}, values...)...)
	}
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

// process gives the store's identity in its present incarnation.
func (s *store) process() protocol.Process {
	return protocol.Process{
		Node: s.node, Role: protocol.RoleBatch, Zone: s.zone, IP: s.node, Incarnation: strconv.Itoa(s.incarnation),
	}
}

func (s *store) key() placement.Key { return placement.KeyOf(s.process()) }

func (s *store) start() {
	s.life++
	s.generation++
	s.up, s.frozen = true, false
	s.inbox = nil
	s.leaseUntil = 0
	s.running = map[string]map[int]bool{}
	s.answers = map[Token]func(protocol.BatchAnswer){}
	s.durable = len(s.disk)
	s.syncing = false
	s.base = len(s.disk)
	s.machine = New(Options{
		Self: s.process(), Life: s.life, Copies: s.world.copies, KeepFor: time.Hour, Reserve: 0,
	}, s)
	for i, record := range s.disk {
		if err := s.machine.Replay(journal.Location{Segment: uint32(i), Length: uint32(len(record))}, record); err != nil {
			s.world.fail("replay on %s: %v", s.node, err)
		}
	}
	s.every(100*time.Millisecond, func() { s.machine.Tick() })
	s.poll()
}

// do runs something in the process: at once, after a thaw, or never if it ended.
func (s *store) do(run func()) {
	if !s.up {
		return
	}
	if s.frozen {
		s.inbox = append(s.inbox, run)
		return
	}
	run()
}

func (s *store) later(delay time.Duration, run func()) {
	generation := s.generation
	s.world.after(delay, func() {
		if s.generation == generation {
			s.do(run)
		}
	})
}

func (s *store) every(period time.Duration, run func()) {
	s.later(period, func() {
		run()
		s.every(period, run)
	})
}

// restart starts the process unless it runs.
func (s *store) restart() {
	if !s.up && !s.retired {
		s.start()
	}
}

func (s *store) stop() {
	s.up = false
	s.generation++
	for _, answered := range s.answers {
		answered(protocol.BatchAnswer{})
	}
	s.answers = nil
}

// loosePower ends the process and keeps what was synced, and a part of what was written after it.
func (s *store) losePower() {
	if s.up {
		s.stop()
	}
	keep := s.durable + s.world.random.IntN(len(s.disk)-s.durable+1)
	s.disk = s.disk[:keep]
}

func (s *store) wipe() {
	if s.up {
		s.stop()
	}
	s.disk, s.durable = nil, 0
	s.incarnation++
	s.member = false
}

func (s *store) freeze(duration time.Duration) {
	if !s.up || s.frozen {
		return
	}
	s.frozen = true
	generation := s.generation
	s.world.after(duration, func() {
		if s.generation == generation {
			s.thaw()
		}
	})
}

func (s *store) thaw() {
	s.frozen = false
	inbox := s.inbox
	s.inbox = nil
	s.world.random.Shuffle(len(inbox), func(i, j int) { inbox[i], inbox[j] = inbox[j], inbox[i] })
	for _, run := range inbox {
		s.do(run)
	}
}

// The machine's environment.

func (s *store) Now() time.Duration { return s.world.now }
func (s *store) Wall() int64        { return s.world.now.Milliseconds() }
func (s *store) Free() int64        { return 1 << 40 }

func (s *store) Write(record []byte, urgent bool) (uint64, journal.Location) {
	s.disk = append(s.disk, record)
	index := len(s.disk) - 1
	if !s.syncing {
		s.syncing = true
		delay := s.world.between(500*time.Microsecond, 5*time.Millisecond)
		if !urgent {
			delay += 30 * time.Millisecond
		}
		s.later(delay, s.sync)
	}
	return uint64(index + 1 - s.base), journal.Location{Segment: uint32(index), Length: uint32(len(record))}
}

func (s *store) sync() {
	s.syncing = false
	s.durable = len(s.disk)
	s.machine.Written(uint64(s.durable - s.base))
}

func (s *store) Read(at journal.Location) ([]byte, error) {
	if int(at.Segment) >= s.durable {
		s.world.fail("%s reads record %d, durable are %d", s.node, at.Segment, s.durable)
		return nil, journal.ErrCorrupt
	}
	return s.disk[at.Segment][at.Offset : at.Offset+at.Length], nil
}

func (s *store) Send(to protocol.Process, message any) {
	w := s.world
	if w.random.Float64() < w.loss {
		return
	}
	target := w.storeOf(placement.KeyOf(to))
	if target == nil {
		return
	}
	sender := s.process()
	delay := w.between(time.Millisecond, 3*time.Millisecond)
	if w.random.IntN(40) == 0 {
		delay = w.between(time.Millisecond, 300*time.Millisecond)
	}
	incarnation := target.incarnation
	w.after(delay, func() {
		if target.incarnation == incarnation {
			target.do(func() { target.machine.Message(sender, message) })
		}
	})
}

func (s *store) Answer(token Token, answer protocol.BatchAnswer) {
	answered := s.answers[token]
	if answered == nil {
		return
	}
	delete(s.answers, token)
	if answer.Status != 503 && answer.Status != 504 && answer.Owner == "" && !s.machine.Allowed() {
		answer = protocol.BatchAnswer{Status: 504}
	}
	answered(answer)
}

func (s *store) Start(id string) {
	if s.idle {
		return
	}
	if s.running[id] == nil {
		s.running[id] = map[int]bool{}
	}
	s.later(time.Millisecond, func() { s.runAll(id) })
}

func (s *store) Stop(id string) { delete(s.running, id) }

func (s *store) runAll(id string) {
	work, ok := s.machine.Work(id)
	if !ok || s.running[id] == nil {
		return
	}
	for _, item := range work.Items {
		if !s.running[id][item.Index] {
			s.running[id][item.Index] = true
			s.later(s.world.between(0, 200*time.Millisecond), func() { s.runItem(id, item.Index) })
		}
	}
}

func (s *store) runItem(id string, index int) {
	if s.running[id] == nil {
		return
	}
	if !s.machine.MayRun(id, index) {
		s.later(300*time.Millisecond, func() { s.runItem(id, index) })
		return
	}
	s.world.clients.started(id)
	text := fmt.Sprintf("%s/%d by %s at %d", id, index, s.node, s.world.now)
	s.later(s.world.between(50*time.Millisecond, 900*time.Millisecond), func() { s.finish(id, index, text) })
}

func (s *store) finish(id string, index int, text string) {
	if s.running[id] != nil && !s.machine.Finish(id, index, job.Completed, []byte(text)) {
		s.later(200*time.Millisecond, func() { s.finish(id, index, text) })
	}
}

// The authority: it hears polls, grants leases, and changes the view.

func (s *store) poll() {
	w := s.world
	sent := w.now
	key, generation := s.key(), s.generation
	w.after(w.between(time.Millisecond, 4*time.Millisecond), func() {
		if w.random.Float64() < w.loss {
			return
		}
		if s.key() != key || !s.up && s.generation != generation {
			return
		}
		s.lastHeard = w.now
		view, member := w.view, w.isMember(key)
		if member {
			s.leaseUntil = max(s.leaseUntil, w.now+worldLease)
		}
		w.after(w.between(time.Millisecond, 4*time.Millisecond), func() {
			if s.generation == generation {
				s.do(func() {
					s.machine.View(view)
					s.machine.Grant(member, sent+worldLease)
				})
			}
		})
	})
	s.later(worldPoll, s.poll)
}

func (w *world) isMember(key placement.Key) bool {
	_, present := placement.MemberOf(w.view, key)
	return present
}

func (w *world) storeOf(key placement.Key) *store {
	for _, s := range w.stores {
		if s.key() == key {
			return s
		}
	}
	return nil
}

// authority takes silent stores out and lets new ones in, one change at a time.
func (w *world) authority() {
	w.after(100*time.Millisecond, w.authority)
	members := slices.Clone(w.view.Members)
	for i, member := range members {
		s := w.storeOf(placement.KeyOf(member.Process))
		if s == nil || w.now-s.lastHeard > worldSilent && w.now > s.leaseUntil {
			if s == nil && w.now < w.wipedLease() {
				continue
			}
			if len(members) > 1 {
				w.change(slices.Delete(members, i, i+1))
				return
			}
		}
	}
	for _, s := range w.stores {
		if !s.retired && s.up && w.now-s.lastHeard < worldPoll && s.lastHeard > 0 && !w.isMember(s.key()) {
			w.change(append(members, protocol.StoreMember{Process: s.process()}))
			return
		}
	}
}

// wipedLease is when the lease of a store that lost its disk has surely ended.
func (w *world) wipedLease() time.Duration {
	latest := time.Duration(0)
	for _, s := range w.stores {
		latest = max(latest, s.leaseUntil)
	}
	return min(latest, w.now)
}

func (w *world) change(members []protocol.StoreMember) {
	w.view = protocol.StoreView{Epoch: w.view.Epoch + 1, Members: members}
}

// setState asks a member to be emptied.
func (w *world) setState(key placement.Key, state protocol.StoreState) {
	members := slices.Clone(w.view.Members)
	for i := range members {
		if placement.KeyOf(members[i].Process) == key {
			members[i].State = state
		}
	}
	w.change(members)
}

// clients submit, read and end batch jobs, and hold the stores to the rules.
type clients struct {
	world *world
	jobs  map[string]*clientJob
	order []*clientJob
}

type clientJob struct {
	id         string
	body       []byte
	items      []job.Item
	tries      int
	promises   int // tries answered with 503
	open       int // tries without an answer yet
	acceptedAt time.Duration
	accepted   bool
	starts     int
	seen       map[int]string // by position
	endedAt    time.Duration
	ended      bool
}

func (c *clients) submit(id string, count int) *clientJob {
	j := &clientJob{id: id, seen: map[int]string{}}
	type request struct {
		ID     string `json:"id"`
		Path   string `json:"path"`
		Body   []byte `json:"body"`
		Tokens int    `json:"tokens"`
	}
	var requests []request
	for i := range count {
		requests = append(requests, request{ID: id + "-" + strconv.Itoa(i), Path: "/p", Body: []byte("body " + strconv.Itoa(i))})
	}
	j.body, _ = json.Marshal(map[string]any{"requests": requests})
	items, err := job.ParseSubmission(j.body)
	if err != nil {
		panic(err)
	}
	j.items = items
	c.jobs[id] = j
	c.order = append(c.order, j)
	c.try(j)
	return j
}

// started counts an item that reached a server.
func (c *clients) started(id string) {
	j := c.jobs[id]
	j.starts++
	if j.ended && c.world.now > j.endedAt+worldCancel {
		c.world.fail("%s: an item starts %v after the end", id, c.world.now-j.endedAt)
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
	w.after(3500*time.Millisecond, func() { finish(protocol.BatchAnswer{}) })
	w.after(w.between(time.Millisecond, 3*time.Millisecond), func() {
		s.do(func() {
			s.lastToken++
			s.answers[s.lastToken] = func(answer protocol.BatchAnswer) {
				w.after(w.between(time.Millisecond, 3*time.Millisecond), func() {
					if answer.Owner == "" || hops == 0 {
						finish(answer)
						return
					}
					next := w.byIP(answer.Owner)
					if next == nil {
						finish(protocol.BatchAnswer{Status: 504})
						return
					}
					c.ask(next, call, items, hops-1, finish)
				})
			}
			s.machine.Call(s.lastToken, call, items)
		})
	})
}

func (w *world) byIP(ip string) *store {
	for _, s := range w.stores {
		if s.node == ip {
			return s
		}
	}
	return nil
}

func (w *world) anyStore() *store { return w.stores[w.random.IntN(len(w.stores))] }

func (c *clients) try(j *clientJob) {
	w := c.world
	j.tries++
	j.open++
	call := protocol.BatchCall{Operation: protocol.BatchSubmit, BatchJob: j.id, Tenant: "t", Route: "r", Body: j.body}
	c.ask(w.anyStore(), call, j.items, 3, func(answer protocol.BatchAnswer) {
		j.open--
		switch answer.Status {
		case 202:
			if !j.accepted {
				j.accepted, j.acceptedAt = true, w.now
				c.read(j)
			}
			return
		case 503:
			j.promises++
			c.checkPromise(j)
		}
		if j.tries < 4 && !j.accepted {
			w.after(w.between(0, 800*time.Millisecond), func() { c.try(j) })
		}
	})
	if w.random.IntN(4) == 0 && j.tries < 4 { // a copy that goes elsewhere at the same time
		w.after(w.between(0, 20*time.Millisecond), func() { c.try(j) })
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

func (c *clients) read(j *clientJob) {
	w := c.world
	start := len(j.seen)
	if w.random.IntN(3) == 0 {
		start = w.random.IntN(start + 1)
	}
	sent := w.now
	call := protocol.BatchCall{Operation: protocol.BatchRead, BatchJob: j.id, Tenant: "t", Start: start, WaitMs: 1000}
	c.ask(w.anyStore(), call, nil, 3, func(answer protocol.BatchAnswer) {
		c.take(j, start, sent, answer)
		if len(j.seen) < len(j.items) && !j.ended {
			w.after(w.between(0, 600*time.Millisecond), func() { c.read(j) })
		}
	})
}

func (c *clients) take(j *clientJob, start int, sent time.Duration, answer protocol.BatchAnswer) {
	w := c.world
	if answer.Status == 404 && sent > j.acceptedAt {
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
	for i, result := range read.Results {
		position, content := start+i, result.ID+" "+result.Text
		if earlier, known := j.seen[position]; known && earlier != content {
			w.fail("%s: position %d held %q, now %q", j.id, position, earlier, content)
		}
		for other, earlier := range j.seen {
			if other != position && len(earlier) > len(result.ID) && earlier[:len(result.ID)+1] == result.ID+" " {
				w.fail("%s: item %s at positions %d and %d", j.id, result.ID, other, position)
			}
		}
		j.seen[position] = content
	}
	if !j.ended && len(read.Results) == 0 && start < len(j.seen) {
		w.fail("%s: nothing at position %d, which was read, asked at %v:%s", j.id, start, sent, w.describe(j.id))
	}
}

func (c *clients) end(j *clientJob) {
	w := c.world
	call := protocol.BatchCall{Operation: protocol.BatchEnd, BatchJob: j.id, Tenant: "t"}
	sent := w.now
	c.ask(w.anyStore(), call, nil, 3, func(answer protocol.BatchAnswer) {
		switch {
		case answer.Status == 200 && !j.ended:
			j.ended, j.endedAt = true, w.now
		case answer.Status == 404 && j.accepted && sent > j.acceptedAt:
			w.fail("%s: 404 to the end of an accepted batch job", j.id)
		case answer.Status != 200:
			w.after(w.between(0, 500*time.Millisecond), func() { c.end(j) })
		}
	})
}
