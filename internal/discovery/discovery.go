// Package discovery owns the way from a source of pool members to the gateway's pool: the platform's watch, or
// Consul's health and catalogue API. It keeps the stable numbers of instances and tells every change in order. It
// must never judge a member's health or hold a change back.
package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// List is a list of pool members in the platform's form: all of them where Reset is set, else what changed.
type List struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Instance is one entry.
type Instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

var serverStates = map[string]policy.ServerState{"up": policy.Ready, "draining": policy.Draining, "removed": policy.Departed}

// Pool is told of members before the module is, so that nothing is sent to where the pool knows no way.
type Pool interface {
	Set(id policy.ServerID, addr string, state policy.ServerState)
}

// Roster gives every instance its number, the same for as long as it is listed, and passes lists on.
type Membership struct {
	pool         Pool
	onList       func(policy.ListKind, []policy.ServerInfo)
	zones, kinds []string
	lastID       policy.ServerID

	mu         sync.Mutex // not held while a list is passed on
	instances  map[string]*numbered
	version    uint64 // the version of the list
	lastAnswer time.Time
	calls      Calls
}

// Calls counts what was asked of the source and how it went.
type Calls struct {
	Answered, Rejected, Unanswered uint64 // turned away: any answer that is no list
}

// Calls gives the counts so far.
func (r *Membership) Calls() Calls {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// Failed notes a call that brought no list.
func (r *Membership) RecordFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.As(err, new(statusError)) {
		r.calls.Rejected++
	} else {
		r.calls.Unanswered++
	}
}

type numbered struct {
	id       policy.ServerID
	instance Instance
}

// Carried is what a roster knows, for Restore.
type State struct {
	Generation uint64             `json:"generation"`
	LastID     policy.ServerID    `json:"last"`
	Instances  []NumberedInstance `json:"members"`
}

// CarriedMember is a listed instance with its number.
type NumberedInstance struct {
	ServerID policy.ServerID `json:"number"`
	Instance
}

// Carry gives what the roster knows.
func (r *Membership) ExportState() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := State{Generation: r.version, LastID: r.lastID}
	for _, e := range r.instances {
		c.Instances = append(c.Instances, NumberedInstance{e.id, e.instance})
	}
	slices.SortFunc(c.Instances, func(a, b NumberedInstance) int { return cmp.Compare(a.ServerID, b.ServerID) })
	return c
}

// Restore takes over the numbers of a roster of the same gateway, and its list, which is passed on. It comes before any
// other list, and takes nothing where the numbers can't be such.
func (r *Membership) ImportState(c State) error {
	seen := map[policy.ServerID]bool{}
	for _, m := range c.Instances {
		if m.ServerID < 1 || m.ServerID > c.LastID || seen[m.ServerID] || m.ID == "" {
			return errors.New("carried list: odd numbers")
		}
		seen[m.ServerID] = true
	}
	list := make([]Instance, 0, len(c.Instances))
	r.mu.Lock()
	r.lastID, r.version = c.LastID, c.Generation
	for _, m := range c.Instances {
		r.instances[m.ID] = &numbered{id: m.ServerID, instance: m.Instance}
		list = append(list, m.Instance)
	}
	r.mu.Unlock()
	r.Apply(policy.ListFull, list)
	return nil
}

// Version is that of the list that was passed on last.
func (r *Membership) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// At notes which version of the list has been passed on.
func (r *Membership) SetVersion(generation uint64) {
	r.mu.Lock()
	r.version = generation
	r.mu.Unlock()
}

// Life is one listed instance in its present life.
type Incarnation struct {
	Instance  string
	StartedMs int64
}

// Lives names what is listed, by number.
func (r *Membership) Incarnations() map[policy.ServerID]Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	lives := make(map[policy.ServerID]Incarnation, len(r.instances))
	for name, e := range r.instances {
		lives[e.id] = Incarnation{name, e.instance.StartedMs}
	}
	return lives
}

// Spoke notes that the source has answered, whether it had news or none.
func (r *Membership) RecordAnswer() {
	r.mu.Lock()
	r.lastAnswer = time.Now()
	r.calls.Answered++
	r.mu.Unlock()
}

// Silent is how long the source has said nothing.
func (r *Membership) SinceLastAnswer() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastAnswer)
}

// NewRoster gives an empty roster. Zones and kinds are the names in the order of the module's numbers.
func NewMembership(pool Pool, module func(policy.ListKind, []policy.ServerInfo), zones, kinds []string) *Membership {
	return &Membership{pool: pool, onList: module, zones: zones, kinds: kinds, instances: map[string]*numbered{}, lastAnswer: time.Now()}
}

// Apply takes a list in. Entries that make no sense are left out and logged; the rest counts. It isn't safe for
// concurrent use.
func (r *Membership) Apply(kind policy.ListKind, list []Instance) {
	r.onList(kind, r.update(kind, list))
}

// take brings what is known up to date and gives the list in the module's words.
func (r *Membership) update(kind policy.ListKind, list []Instance) []policy.ServerInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	infos := make([]policy.ServerInfo, 0, len(list))
	seen := make(map[string]bool, len(list))
	for _, in := range list {
		state, ok := serverStates[in.Lifecycle]
		if _, _, err := net.SplitHostPort(in.Addr); in.ID == "" || !ok || err != nil && state != policy.Departed {
			slog.Warn("instance_left_out", "instance", in.ID, "addr", in.Addr, "lifecycle", in.Lifecycle)
			continue
		}
		e := r.instances[in.ID]
		if e == nil {
			r.lastID++
			e = &numbered{id: r.lastID}
			r.instances[in.ID] = e
		}
		if in.Addr == "" {
			in.Addr = e.instance.Addr
		}
		e.instance, seen[in.ID] = in, true
		r.pool.Set(e.id, in.Addr, state)
		infos = append(infos, policy.ServerInfo{ID: e.id, Zone: indexOf(r.zones, in.Zone), Kind: indexOf(r.kinds, in.Kind),
			Cell: in.Cell, State: state, Weight: in.Weight, StartedAt: time.Duration(in.StartedMs) * time.Millisecond})
		if state == policy.Departed {
			delete(r.instances, in.ID)
		}
	}
	if kind != policy.ListChanges {
		for name, e := range r.instances {
			if !seen[name] {
				r.pool.Set(e.id, e.instance.Addr, policy.Departed)
				delete(r.instances, name)
			}
		}
	}
	return infos
}

func indexOf(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return len(names) // a name that the settings don't hold is like none of theirs
}

// What a source has and could tell counts as told 6 s later, whatever call of it failed, was refused or was given up. So one
// call that goes wrong in any way leaves time for the next, added up:
//
//	given up:     watchWait + watchSlack 3.0 s, the connection's coming included, and a pause of 0.9 s
//	broken:       the same pause at the most
//	refused:      a pause of 5 s (refusedMost), less all the time since the source last said anything, but 1 s
//	given up and then refused: 3.9 s, and a pause of 1.1 s
//
// and a second is left for the answer. No call is given up sooner, as a call that waits its turn at a busy source and is
// dropped then has cost that source a turn for nothing.
const (
	updateDeadline = 6 * time.Second
	longPollWait   = 2500 * time.Millisecond
	longPollSlack  = 500 * time.Millisecond // in which an agent that speaks answers a wait that is over
	connectTimeout = time.Second            // for a connection to come up
	maxListSize    = 8 << 20                // bytes of a list
)

// Watch follows the platform's agent until ctx ends, from a version of the list that is already held. One call begins a watch, and
// after a failure or a silence it is continued from the last version heard: where many gateways start at once a whole
// list for each, and then a watch, is what the source can't bear. The whole list is asked for only where anew says so,
// as what another agent told is not to be relied on, where the versions went back, or where nobody listened: an agent that
// starts again may count its versions from the beginning, and be past the one held here by the time that it is asked.
func Watch(ctx context.Context, addr string, held uint64, anew bool, p *Backoff, r *Membership) {
	c := &client{baseURL: "http://" + addr, http: newHTTP()}
	defer c.http.CloseIdleConnections()
	for after := held; ctx.Err() == nil; {
		path := "/v1/endpoints"
		if !anew {
			path += fmt.Sprintf("?after=%d&wait_ms=%d", after, longPollWait.Milliseconds())
		}
		var l List
		asked := time.Now()
		_, err := c.get(ctx, path, longPollWait+longPollSlack, &l)
		if err != nil {
			if ctx.Err() == nil {
				r.RecordFailure(err)
				slog.Warn("discovery_failed", "anew", anew, "err", err)
			}
			anew = anew || errors.Is(err, syscall.ECONNREFUSED)
			sleep(ctx, p.afterFailure(err, time.Since(asked)))
			continue
		}
		if anew && !l.Reset {
			sleep(ctx, p.afterUnreachable())
			continue
		}
		r.RecordAnswer()
		if anew = l.Generation < after && !l.Reset; anew { // the source has lost its versions: changes would be missed
			sleep(ctx, p.afterUnreachable())
			continue
		}
		p.reset()
		if l.Reset {
			r.Apply(policy.ListFull, l.Instances)
		} else if len(l.Instances) > 0 {
			r.Apply(policy.ListChanges, l.Instances)
		}
		after = l.Generation
		r.SetVersion(after)
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Consul names a service in a Consul agent's catalogue.
type Consul struct {
	Addr, Service, Tag, Token string
}

// consulService is what /v1/health/service/ tells of one instance; /v1/catalog/service/ tells the inner part.
type consulHealthEntry struct {
	Node    struct{ Node, Address, Datacenter string }
	Service struct {
		ID, Address string
		Port        int
		Meta        map[string]string
		Weights     struct{ Passing float64 }
	}
	Checks []struct{ Status string }
}

type consulCatalogEntry struct {
	Node, Address, Datacenter, ServiceID, ServiceAddress string
	ServicePort                                          int
	ServiceMeta                                          map[string]string
	ServiceWeights                                       struct{ Passing float64 }
}

// WatchConsul follows a service's health by blocking queries until ctx ends. An index that goes back starts the
// query anew, an agent that fails is asked again after a growing pause, and where the health endpoint is refused
// or missing the catalogue, which knows no health, stands in.
func WatchConsul(ctx context.Context, at Consul, p *Backoff, r *Membership) {
	c := &client{baseURL: "http://" + at.Addr, http: newHTTP(), token: at.Token}
	defer c.http.CloseIdleConnections()
	index, catalogue := uint64(0), false
	for ctx.Err() == nil {
		q := url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {longPollWait.String()}}
		if at.Tag != "" {
			q.Set("tag", at.Tag)
		}
		path, wait := "/v1/health/service/", longPollWait*17/16+longPollSlack // an agent adds up to a sixteenth
		var health []consulHealthEntry
		var entries []consulCatalogEntry
		var into any = &health
		if catalogue {
			path, into = "/v1/catalog/service/", &entries
		}
		asked := time.Now()
		head, err := c.get(ctx, path+url.PathEscape(at.Service)+"?"+q.Encode(), wait, into)
		var code statusError
		if errors.As(err, &code) && (code == http.StatusNotFound || code == http.StatusForbidden) {
			catalogue, index = !catalogue, 0
		}
		if err != nil {
			if ctx.Err() == nil {
				slog.Warn("consul_failed", "service", at.Service, "catalogue", catalogue, "err", err)
			}
			index = 0 // after a gap the list is asked for at once
			r.RecordFailure(err)
			sleep(ctx, p.afterFailure(err, time.Since(asked)))
			continue
		}
		next, err := strconv.ParseUint(head.Get("X-Consul-Index"), 10, 64)
		switch {
		case err != nil || next == 0:
			slog.Warn("consul_failed", "service", at.Service, "err", "no X-Consul-Index")
			index = 0
			sleep(ctx, p.afterUnreachable())
		case next == index: // the wait ran out
			r.RecordAnswer()
			p.reset()
			continue
		case next < index: // the agent's state was lost: what it says next may be anything
			index = 0
			p.reset()
		default:
			index = next
			p.reset()
		}
		list := make([]Instance, 0, len(health)+len(entries))
		for _, h := range health {
			list = append(list, h.instance())
		}
		for _, e := range entries {
			var h consulHealthEntry
			h.Node.Node, h.Node.Address, h.Node.Datacenter = e.Node, e.Address, e.Datacenter
			h.Service.ID, h.Service.Address, h.Service.Port = e.ServiceID, e.ServiceAddress, e.ServicePort
			h.Service.Meta, h.Service.Weights = e.ServiceMeta, e.ServiceWeights
			list = append(list, h.instance())
		}
		r.RecordAnswer()
		r.Apply(policy.ListFull, list)
	}
}

// instance gives a service in the platform's form. A critical check, maintenance included, takes nothing new.
func (h consulHealthEntry) instance() Instance {
	host := h.Service.Address
	if host == "" {
		host = h.Node.Address
	}
	in := Instance{ID: h.Node.Node + "/" + h.Service.ID, Addr: net.JoinHostPort(host, strconv.Itoa(h.Service.Port)),
		Zone: h.Service.Meta["zone"], Kind: h.Service.Meta["machine_type"], Lifecycle: "up",
		Weight: max(1, h.Service.Weights.Passing)}
	if in.Zone == "" {
		in.Zone = h.Node.Datacenter
	}
	in.Cell, _ = strconv.Atoi(h.Service.Meta["cell"])
	in.StartedMs, _ = strconv.ParseInt(h.Service.Meta["started_at_ms"], 10, 64)
	for _, check := range h.Checks {
		if check.Status == "critical" || check.Status == "maintenance" {
			in.Lifecycle = "draining"
		}
	}
	return in
}

type client struct {
	baseURL, token string
	http           *http.Client
}

func newHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, IdleConnTimeout: time.Minute,
		DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext}}
}

type statusError int

func (s statusError) Error() string { return "status " + strconv.Itoa(int(s)) }

// get asks once, within a time: a silent agent must not hold the gateway.
func (c *client) get(ctx context.Context, path string, within time.Duration, into any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return nil, err
	}
	if c.token != "" {
		req.Header.Set("X-Consul-Token", c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
		return nil, statusError(resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListSize))
	if err != nil {
		return nil, err
	}
	return resp.Header, json.Unmarshal(body, into)
}
