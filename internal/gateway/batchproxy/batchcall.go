// Package batchproxy hands clients' calls for batch jobs to the batch processes: to one of the agreed set, to the owner that it
// names, and to another where one gives no answer. It must never promise more than the process that answered, and where a
// submission may have been taken by one that fell silent it promises nothing.
package batchproxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverload"
)

const (
	// connectWait is how long a connection may take to come up.
	connectWait = 400 * time.Millisecond
	// answerWait is how long a process may take for its answer, beyond the time for which it may hold it.
	answerWait = 1500 * time.Millisecond
	// hopsMost bounds the processes that are asked for one call.
	hopsMost = 6
	// idleMost is how long a connection that nobody uses is kept.
	idleMost = 20 * time.Second
	// retryAfter is when to come back where no batch process can be asked.
	retryAfter = 300 * time.Millisecond
)

// Caller keeps the connections.
type Caller struct {
	settings *node.Settings
	options  transport.Options
	members  func() *protocol.MemberList
	board    *serverload.Board                                                                           // what waits at batch processes
	put      func(ctx context.Context, ip string, call protocol.BatchCall) (protocol.BatchAnswer, error) // ask, but in tests

	mu    sync.Mutex
	links map[string]*link     // by IP
	slow  map[string]time.Time // by IP: until when it is asked last
	turn  int
}

type link struct {
	client *transport.Client
	up     chan struct{} // closed once it has been connected
	used   time.Time
	users  int
}

// New gives a caller that takes the set of batch processes from members, and what waits there from a board.
func New(settings *node.Settings, options transport.Options, members func() *protocol.MemberList, board *serverload.Board) *Caller {
	options.Heartbeat = 500 * time.Millisecond
	c := &Caller{settings: settings, options: options, members: members, board: board, links: map[string]*link{}, slow: map[string]time.Time{}}
	c.put = c.ask
	return c
}

// Call asks until there is an answer or the context ends.
func (c *Caller) Call(ctx context.Context, call protocol.BatchCall) protocol.BatchAnswer {
	members := c.members()
	if members == nil {
		return refusal(call, false)
	}
	call.StoreView = members.Stores.Epoch
	order := c.order(members.Stores.Members)
	if call.Operation == protocol.BatchSubmit {
		return c.submit(ctx, call, c.leastBusyFirst(order, members.Stores.Members))
	}
	route := newRoute(order)
	uncertain := false
	for range hopsMost {
		ip := route.next()
		if ip == "" || ctx.Err() != nil {
			break
		}
		answer, err := c.put(ctx, ip, call)
		if err != nil {
			c.passOver(ip)
			uncertain = uncertain || !errors.Is(err, transport.ErrNotConnected)
			continue
		}
		if answer.Status == 0 {
			route.owner(answer.Owner)
			continue
		}
		if answer.Status == http.StatusServiceUnavailable && route.more() {
			last := answer
			if second, ok := c.second(ctx, route, call); ok {
				last = second
			}
			answer = last
		}
		return promised(call, answer, uncertain)
	}
	return refusal(call, uncertain)
}

// second asks one more process after one that could not be sure.
func (c *Caller) second(ctx context.Context, route *route, call protocol.BatchCall) (protocol.BatchAnswer, bool) {
	answer, err := c.put(ctx, route.next(), call)
	return answer, err == nil && answer.Status != 0
}

// promised takes a promise back that doesn't hold for a process that may have taken the call before.
func promised(call protocol.BatchCall, answer protocol.BatchAnswer, uncertain bool) protocol.BatchAnswer {
	refused := answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests
	if refused && uncertain && call.Operation == protocol.BatchSubmit {
		return protocol.BatchAnswer{Status: http.StatusGatewayTimeout}
	}
	return answer
}

// refusal is the answer where no process gave one.
func refusal(call protocol.BatchCall, uncertain bool) protocol.BatchAnswer {
	if uncertain && call.Operation == protocol.BatchSubmit {
		return protocol.BatchAnswer{Status: http.StatusGatewayTimeout}
	}
	return protocol.BatchAnswer{Status: http.StatusServiceUnavailable, RetryAfterMs: int(retryAfter.Milliseconds())}
}

// order gives the processes in the order in which they are asked: those of the own zone first, the others in turn.
func (c *Caller) order(members []protocol.StoreMember) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	now := time.Now()
	var near, far, slow, leaving []string
	for i := range members {
		member := &members[(i+c.turn)%len(members)]
		switch {
		case member.State == protocol.StoreRetired:
		case member.State == protocol.StoreRetiring:
			leaving = append(leaving, member.IP)
		case c.isPassedOver(member.IP, now):
			slow = append(slow, member.IP)
		case member.Zone == c.settings.Zone:
			near = append(near, member.IP)
		default:
			far = append(far, member.IP)
		}
	}
	return slices.Concat(near, far, slow, leaving)
}

// ask puts the call to one process.
func (c *Caller) ask(ctx context.Context, ip string, call protocol.BatchCall) (protocol.BatchAnswer, error) {
	one := c.link(ip)
	defer c.unlink(one)
	wait := time.NewTimer(connectWait)
	defer wait.Stop()
	select {
	case <-one.up:
	case <-wait.C:
		return protocol.BatchAnswer{}, transport.ErrNotConnected
	case <-ctx.Done():
		return protocol.BatchAnswer{}, transport.ErrNotConnected
	}
	ctx, cancel := context.WithTimeout(ctx, answerWait+time.Duration(call.WaitMs)*time.Millisecond)
	defer cancel()
	reply, err := one.client.Call(ctx, call)
	if err != nil {
		return protocol.BatchAnswer{}, err
	}
	answer, ok := reply.(protocol.BatchAnswer)
	if !ok {
		return protocol.BatchAnswer{}, transport.ErrUncertain
	}
	return answer, nil
}

// link gives the connection to a process, and closes those that nobody has used for long.
func (c *Caller) link(ip string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for other, one := range c.links {
		if one.users == 0 && now.Sub(one.used) > idleMost {
			one.client.Close()
			delete(c.links, other)
		}
	}
	one := c.links[ip]
	if one == nil {
		one = &link{up: make(chan struct{})}
		var once sync.Once
		one.client = transport.NewClient(c.settings.EndpointAt(ip, node.PortBatch), c.options, nil, func(up bool) {
			if up {
				once.Do(func() { close(one.up) })
			}
		})
		c.links[ip] = one
	}
	one.users++
	one.used = now
	return one
}

func (c *Caller) unlink(one *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	one.users--
}

// Close ends all connections.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, one := range c.links {
		one.client.Close()
	}
}
