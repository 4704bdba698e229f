// Package faults owns the fault rig: several gateways as real processes, with links cut, stalls, kills and restarts between
// them by a script, and a referee who counts from outside. The same scripts play in the emulator. It must never look into a
// gateway otherwise than through what members, clients, discovery and the links saw.
package faults

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/config"
	"sprucelane.example/sprucelane/internal/emulator"
	"sprucelane.example/sprucelane/internal/fake/poolmember"
	"sprucelane.example/sprucelane/internal/lab"
	"sprucelane.example/sprucelane/internal/lab/load"
	"sprucelane.example/sprucelane/internal/lab/referee"
	"sprucelane.example/sprucelane/policy"
)

// Trouble is one fault of a script.
type Trouble = emulator.Fault

// What processes alone can play.
const (
	Upgrade emulator.Kind = "upgrade" // a new process in a gateway's place, as operators do
	Refuses emulator.Kind = "refuses" // discovery turns gateways' calls away
)

// Plan of a run.
type Plan struct {
	Binary   string
	Dir      string // for the gateways' files and logs; empty: a temporary one
	Seed     uint64
	Gateways int
	Members  int
	Spec     poolmember.Spec
	Load     float64 // first tries, of what all members can do
	Spread   int     // gateways of an account's set; 0: all
	Heavy    float64 // share of the accounts that ask four times as much
	Ceiling  float64 // hard ceilings, times the quotas; 0: none
	Length   time.Duration
	Script   []Trouble
	Site     map[string]any // the operators' file; nil: none
	Store    bool           // whether each gateway has a folder that outlasts its process
	Notice   time.Duration  // after which the front knows that a gateway is dead, or that it is back
	Sockets  int            // descriptors of a gateway; 0: 1024
	Slack    time.Duration  // of every limit of time: what the machine adds
}

// Default is the site that the scripts were written for: five gateways before twelve members, at 0.6 of what these can do.
func Default() Plan {
	return Plan{Seed: 1, Gateways: 5, Members: 12, Spec: poolmember.Default(), Load: 0.6, Heavy: 0.1, Ceiling: 2, Length: 30 * time.Second,
		Notice: 200 * time.Millisecond, Slack: 50 * time.Millisecond}
}

// The most of each: in the emulator, and as processes and stand-ins on one machine.
const (
	mostGateways, mostMembers   = 1000, 10000
	mostProcesses, mostStandins = 40, 200
)

// Check tells what is wrong with a plan, by key.
func (p Plan) Check() error {
	switch {
	case p.Gateways < 1 || p.Gateways > mostGateways:
		return fmt.Errorf("gateways: must be 1 to %d", mostGateways)
	case p.Members < 1 || p.Members > mostMembers:
		return fmt.Errorf("members: must be 1 to %d", mostMembers)
	case !(p.Load > 0 && p.Load <= 3):
		return errors.New("load: must be above 0 and at most 3")
	case p.Length <= 0 || p.Length > 10*time.Minute:
		return errors.New("for: must be above 0 and at most 10m")
	case p.Spread < 0 || p.Spread > p.Gateways:
		return errors.New("spread: must be 0 to the number of gateways")
	}
	for i, t := range p.Script {
		if t.Kind == Upgrade || t.Kind == Refuses {
			t.Kind = emulator.Kill
		}
		if err := t.Check(); err != nil {
			return fmt.Errorf("script[%d]: %w", i, err)
		}
	}
	return nil
}

func (p Plan) has(kinds ...emulator.Kind) bool {
	return slices.ContainsFunc(p.Script, func(t Trouble) bool { return slices.Contains(kinds, t.Kind) })
}

// asks is the load of the plan: the platform's classes and plans.
func (p Plan) asks() load.Options {
	rate := p.Load * float64(p.Members) * p.Spec.Capacity()
	o := lab.PlatformLoad(p.Seed, rate, max(20, 4*p.Members), cmp.Or(p.Spread, p.Gateways))
	o.Heavy, o.Slack = p.Heavy, p.Slack
	return o
}

// End is what a run came to, on processes or in the emulator.
type End struct {
	On       string         `json:"on"` // processes, emulator
	Seed     uint64         `json:"seed"`
	Script   string         `json:"script"`
	Share    float64        `json:"share"`   // of the worth offered that was served in time
	Seconds  []float64      `json:"seconds"` // the same of what was asked in each second
	Tries    int            `json:"tries"`
	Ends     map[string]int `json:"ends"`
	Beyond   float64        `json:"beyond"`       // worth sent on beyond the quotas, over that offered
	Ceiling  float64        `json:"over_ceiling"` // most beyond a hard ceiling, in units
	PeakCold float64        `json:"peak_cold"`    // most that a cold member was sent, over what it could do
	Broken   []string       `json:"broken"`       // rules, with their stories
	Peaks    map[string]int `json:"peaks"`        // most in 100 ms over the fleet, of: dials, calls, datagrams
	Totals   map[string]int `json:"totals"`
	Took     []float64      `json:"took"` // seconds that gateways which started during the run took to full service
}

// tenth is the grain of peaks.
const tenth = 100 * time.Millisecond

// rig is a run on processes.
type rig struct {
	Plan
	site  *lab.Site
	mesh  *Mesh
	began time.Time
	set   policy.Settings

	mu       sync.Mutex
	referee  *referee.Referee
	requests map[string]*seen
	members  map[*poolmember.Member]*referee.Member
	last     policy.RequestID
	counts   map[string]map[int]int // by what, in each tenth of a second
	troubled map[int][]span         // gateways that were killed, stopped or ended, and until when
	ways     map[int]func(from, to int) Way
	severed  map[string]*Relay // by gateway and member
	errs     []error
	down     func(gateway int) // of tests: a gateway that was killed is about to start again
}

// span is a time in which a gateway's process could not answer.
type span struct{ from, to time.Time }

// seen is a client's request, with its attempts.
type seen struct {
	referee.Request
	door  int
	asked time.Time
	no    int
	out   map[int]int // attempts that are out, and where: members by their number
}

func (r *rig) now() referee.Time { return time.Since(r.began) + emulator.Origin }

func (r *rig) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[what] == nil {
		r.counts[what] = map[int]int{}
	}
	r.counts[what][int(time.Since(r.began)/tenth)]++
}

// Asked implements load.Watch.
func (r *rig) Asked(a load.Asked) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	q := &seen{door: a.Door, asked: time.Now(), out: map[int]int{}}
	q.Request.Request = policy.Request{ID: r.last, Class: a.Class, Plan: a.Plan, Customer: policy.CustomerID(a.Account), Units: a.Units,
		Deadline: r.now() + a.Patience, ClientRetry: a.Retry}
	q.Price = a.Price
	r.referee.Note(r.now(), &q.Request, fmt.Sprintf("%s asked of g%d, %s of account %x", a.ID, a.Door, r.set.Classes[a.Class].Name, a.Account))
	r.requests[a.ID] = q
}

// Ended implements load.Watch.
func (r *rig) Ended(id string, door int, end load.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, now := r.requests[id], r.now()
	q.Lost = r.wasTroubled(door, q.asked, time.Now()) // a process that stood still can't know when it was asked
	switch end {
	case load.Served, load.Failed:
		r.referee.Answered(now, &q.Request, end.String())
	case load.Refused:
		r.referee.Refused(now, &q.Request)
		r.referee.Answered(now, &q.Request, end.String())
	case load.Spoilt:
		r.referee.Breaks(now, referee.Invented, &q.Request)
	default:
		r.referee.Note(now, &q.Request, "its client: "+end.String())
		r.referee.Over(now, []*referee.Request{&q.Request})
		q.Final = true
	}
}

// wasTroubled tells whether a gateway's process could not answer at some time.
func (r *rig) wasTroubled(gateway int, from, to time.Time) bool {
	for _, s := range r.troubled[gateway] {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// trouble notes that a gateway's process can't answer from now on. What is given back says that it can again.
func (r *rig) trouble(gateway int) (over func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := len(r.troubled[gateway])
	r.troubled[gateway] = append(r.troubled[gateway], span{from: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.troubled[gateway][at].to = time.Now().Add(r.Slack) // what is late by the machine
	}
}

// Connected implements members.Tap.
func (r *rig) Connected() { r.count("dials") }

// Came implements members.Tap.
func (r *rig) Came(m *poolmember.Member, gateway int, id string, warmth float64) int {
	told := r.site.Agent.Told(gateway, m.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	now, q := r.now(), r.requests[id]
	if q == nil { // no client asked for it
		q = &seen{out: map[int]int{}}
		r.referee.Breaks(now, referee.Invented, nil)
		r.requests[id] = q
	}
	who := r.members[m]
	if who == nil {
		who = &referee.Member{}
		r.members[m] = who
	}
	if who.Told(gateway, r.at(told), told.IsZero()); q.no == 0 {
		r.referee.Draws(now, &q.Request)
	}
	no := q.no
	q.no++
	r.referee.Note(now, &q.Request, fmt.Sprintf("attempt %d of g%d came to %s", no, gateway, m.ID))
	r.referee.Sent(now, &q.Request, no, who, 0)
	r.referee.Arrived(now, &q.Request, gateway, who, warmth, m.Spec().Capacity())
	r.referee.Holds(&q.Request, 1)
	if len(q.out) > 0 && (!r.set.Hedging || r.set.Classes[q.Class].Idempotency == policy.NotIdempotent) {
		time.AfterFunc(r.Slack, func() { r.stillTwo(q) })
	}
	q.out[no] = no
	return no
}

// stillTwo breaks a rule where two attempts are out though the word of an end has had the time to come.
func (r *rig) stillTwo(q *seen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(q.out) > 1 {
		r.referee.Breaks(r.now(), referee.TwoAtOnce, &q.Request)
	}
}

func (r *rig) at(t time.Time) referee.Time { return t.Sub(r.began) + emulator.Origin }

// Ran implements members.Tap.
func (r *rig) Ran(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[id]; q != nil {
		r.referee.Ran(r.now(), &q.Request)
	}
}

// Ended of an attempt: it was answered, or its connection has ended.
type attempts struct{ *rig }

// Ended implements members.Tap.
func (a attempts) Ended(id string, attempt int, never bool) {
	r := a.rig
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	if q == nil {
		return
	}
	if never {
		q.Never(attempt)
	}
	delete(q.out, attempt)
	r.referee.Holds(&q.Request, -1)
}

// Play plays a plan on processes.
func Play(ctx context.Context, p Plan) (End, error) { return play(ctx, p, nil) }

func play(ctx context.Context, p Plan, down func(r *rig, gateway int)) (End, error) {
	if err := p.Check(); err != nil {
		return End{}, err
	}
	if p.Gateways > mostProcesses || p.Members > mostStandins {
		return End{}, fmt.Errorf("gateways, members: at most %d and %d on processes", mostProcesses, mostStandins)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &rig{Plan: p, requests: map[string]*seen{}, members: map[*poolmember.Member]*referee.Member{}, counts: map[string]map[int]int{},
		troubled: map[int][]span{}, ways: map[int]func(int, int) Way{}, severed: map[string]*Relay{}, began: time.Now()}
	if down != nil {
		r.down = func(n int) { down(r, n) }
	}
	plan := lab.Plan{Binary: p.Binary, Dir: p.Dir, Seed: p.Seed, Gateways: p.Gateways, Members: p.Members, Spec: p.Spec, SlowPart: 0.4,
		Delay: listDelay, Load: p.asks(), Peers: true, Control: p.has(Upgrade), Sockets: p.Sockets, Ceiling: p.Ceiling, Tap: attempts{r},
		Called: func(int) { r.count("calls") }}
	plan.Load.Watch = r
	plan.Ahead = func(g int) (ahead time.Duration) {
		for i, t := range p.Script {
			if t.Kind == emulator.ClockSkew && slices.Contains(emulator.FaultTargets(p.Seed, i, p.Gateways, t.Share), g) {
				ahead += time.Duration(cmp.Or(t.Size, 10) * float64(time.Second))
			}
		}
		return ahead
	}
	plan.PeersOf = func(g int, addresses []string) ([]string, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.mesh == nil {
			var err error
			if r.mesh, err = NewMesh(r.site.Host(), addresses, p.Seed, r.way, func() { r.count("datagrams") }); err != nil {
				return nil, err
			}
		}
		return r.mesh.Peers(g), nil
	}
	var relays []*Relay
	defer func() {
		for _, x := range relays {
			x.Close()
		}
	}()
	if p.has(emulator.Sever) {
		plan.Via = func(g int, member, addr string) string {
			key := fmt.Sprint(g, " ", member)
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.severed[key] == nil {
				x, err := NewRelay("127.0.0.1", addr)
				if err != nil {
					r.errs = append(r.errs, err)
					return addr
				}
				r.severed[key], relays = x, append(relays, x)
			}
			return r.severed[key].Addr()
		}
	}
	set, err := Settings(p)
	if err != nil {
		return End{}, err
	}
	r.set, r.referee = set, referee.New(set, p.Seed, emulator.Origin)
	r.referee.Way = p.Slack / 2
	r.referee.Slack = p.Slack.Seconds() + 0.1 // by the rules for sockets: what the rate gives in 150 ms
	if r.site, err = lab.Open(plan); err != nil {
		return End{}, err
	}
	defer r.close()
	var starts sync.WaitGroup
	for n := range p.Gateways {
		starts.Go(func() {
			if _, err := r.start(n); err != nil {
				r.fail(err)
			}
		})
	}
	starts.Wait()
	if err := r.failed(); err != nil {
		return End{}, err
	}
	r.mu.Lock()
	r.began = time.Now()
	clear(r.counts)
	r.mu.Unlock()
	var script sync.WaitGroup
	for i, t := range p.Script {
		script.Go(func() {
			if lab.Sleep(ctx, t.At) == nil {
				r.strike(ctx, i, t)
			}
		})
	}
	r.site.Run(ctx, p.Length)
	interrupted := ctx.Err()
	cancel()
	script.Wait()
	if err := errors.Join(interrupted, r.failed()); err != nil {
		return End{}, err
	}
	return r.end(), nil
}

// start starts a gateway's process.
func (r *rig) start(n int) (time.Duration, error) {
	file := r.Site
	if r.Store {
		file = maps.Clone(file)
		if file == nil {
			file = map[string]any{}
		}
		file["store"] = map[string]any{"path": r.folder(n)}
	}
	return r.site.StartGateway(n, file)
}

// folder is where a gateway keeps what outlasts its process.
func (r *rig) folder(n int) string { return filepath.Join(r.site.Dir, fmt.Sprintf("store-%d", n)) }

// listDelay is how late discovery tells what changes.
const listDelay = 500 * time.Millisecond

func (r *rig) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

func (r *rig) failed() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.errs...)
}

// close ends all that the run has started, whatever state it is in.
func (r *rig) close() {
	for n := range r.Gateways {
		if p := r.site.Gateway(n); p != nil {
			p.Signal(syscall.SIGCONT)
		}
	}
	r.site.Close()
	if r.mesh != nil {
		r.mesh.Close()
	}
}

// way gives what the links do to a datagram now.
func (r *rig) way(from, to int) (w Way) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, of := range r.ways {
		w = w.and(of(from, to))
	}
	return w
}

// Settings are the plan's, as the gateways, the referee and the emulator read them.
func Settings(p Plan) (policy.Settings, error) {
	site := &lab.Site{Plan: lab.Plan{Gateways: p.Gateways, Spec: p.Spec, Load: p.asks(), Peers: true, Ceiling: p.Ceiling}}
	text, err := json.Marshal(site.Settings(0))
	if err != nil {
		return policy.Settings{}, err
	}
	d, err := config.ParseSettings(text)
	return d.Settings, err
}

// end adds up what the run came to.
func (r *rig) end() End {
	records := r.site.Generator.Records()
	sum := load.Summarise(records, r.site.Load.Classes, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	e := End{On: "processes", Seed: r.Seed, Script: Words(r.Script), Share: sum.Share(), Tries: sum.Tries, Ends: map[string]int{},
		Beyond: r.referee.Beyond / max(sum.Offered, 1e-9), Ceiling: r.referee.OverCeiling, PeakCold: r.referee.PeakCold,
		Peaks: map[string]int{}, Totals: map[string]int{}}
	for i, n := range sum.Ends {
		if n > 0 {
			e.Ends[load.End(i).String()] = n
		}
	}
	for at := time.Duration(0); at < r.Length; at += time.Second {
		s := load.Summarise(records, r.site.Load.Classes, func(x load.Record) bool { return x.At >= at && x.At < at+time.Second })
		e.Seconds = append(e.Seconds, s.Share())
	}
	for what, list := range r.counts {
		for _, n := range list {
			e.Peaks[what], e.Totals[what] = max(e.Peaks[what], n), e.Totals[what]+n
		}
	}
	for n := range r.Gateways {
		text, _ := os.ReadFile(filepath.Join(r.site.Dir, fmt.Sprintf("g%d", n), "log"))
		for i, line := range strings.Split(string(text), "event=recovered took_ms=")[1:] {
			if ms, err := strconv.Atoi(strings.Fields(line)[0]); err == nil && i > 0 { // the first is the run's own start
				e.Took = append(e.Took, float64(ms)/1000)
			}
		}
	}
	for _, b := range r.referee.Broken {
		e.Broken = append(e.Broken, fmt.Sprintf("%v\n  %d times; again: sprucelab faults --seed %d --script '%s'", b, r.referee.Times[b.Rule], r.Seed, e.Script))
	}
	return e
}

// Log gives what a gateway of a kept run has written.
func (p Plan) Log(gateway int) string {
	text, _ := os.ReadFile(filepath.Join(p.Dir, fmt.Sprintf("g%d", gateway), "log"))
	return string(text)
}

// Back is how long after the last trouble of a script a run is as an undisturbed one is, less so much, for two seconds in a row
// and in the mean from then on; below 0: it is not any more.
func (e End) Back(calm End, over time.Duration, less float64) time.Duration {
	n := min(len(e.Seconds), len(calm.Seconds))
	for s := int(over / time.Second); s < n; s++ {
		mean, near := 0.0, true
		for k := s; k < n; k++ {
			d := calm.Seconds[k] - e.Seconds[k]
			mean += d / float64(n-s)
			near = near && (k >= s+2 || d <= less)
		}
		if near && mean <= less {
			return max(0, time.Duration(s)*time.Second-over)
		}
	}
	return -1
}

// Worst is the lowest second from the first trouble on.
func (e End) Worst(script []Trouble) float64 {
	first, worst := time.Duration(math.MaxInt64), 1.0
	for _, t := range script {
		first = min(first, t.At)
	}
	for s, share := range e.Seconds {
		if time.Duration(s+1)*time.Second > first {
			worst = min(worst, share)
		}
	}
	return worst
}
