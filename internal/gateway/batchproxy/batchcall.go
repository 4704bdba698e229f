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
	connectTimeout = 400 * time.Millisecond
	// answerWait is how long a process may take for its answer, beyond the time for which it may hold it.
	answerTimeout = 1500 * time.Millisecond
	// hopsMost bounds the processes that are asked for one call.
	maxHops = 6
	// idleMost is how long a connection that nobody uses is kept.
	idleTimeout = 20 * time.Second
	// retryAfter is when to come back where no batch process can be asked.
	retryAfter = 300 * time.Millisecond
)

// Caller keeps the connections.
type Caller struct {
	settings *node.Settings
	options  transport.Options
	members  func() *protocol.MemberList
	backlogs *serverload.Table                                                                           // what waits at batch processes
	send     func(ctx context.Context, ip string, call protocol.BatchCall) (protocol.BatchAnswer, error) // ask, but in tests

	mu          sync.Mutex
	connections map[string]*connection // by IP
	avoidUntil  map[string]time.Time   // by IP: until when it is asked last
	rotation    int
}

type connection struct {
	client   *transport.Client
	up       chan struct{} // closed once it has been connected
	lastUsed time.Time
	users    int
}

// New gives a caller that takes the set of batch processes from members, and what waits there from a board.
func New(settings *node.Settings, options transport.Options, members func() *protocol.MemberList, board *serverload.Table) *Caller {
	options.Heartbeat = 500 * time.Millisecond
	c := &Caller{settings: settings, options: options, members: members, backlogs: board, connections: map[string]*connection{}, avoidUntil: map[string]time.Time{}}
	c.send = c.callProcess
	return c
}

// Call asks until there is an answer or the context ends.
func (c *Caller) Call(ctx context.Context, call protocol.BatchCall) protocol.BatchAnswer {
	members := c.members()
	if members == nil {
		return rejection(call, false)
	}
	call.StoreView = members.Stores.Epoch
	order := c.preference(members.Stores.Members)
	if call.Operation == protocol.BatchSubmit {
		return c.submit(ctx, call, c.leastBacklogFirst(order, members.Stores.Members))
	}
	targets := newTargetList(order)
	uncertain := false
	for range maxHops {
		ip := targets.next()
		if ip == "" || ctx.Err() != nil {
			break
		}
		answer, err := c.send(ctx, ip, call)
		if err != nil {
			c.avoid(ip)
			uncertain = uncertain || !errors.Is(err, transport.ErrNotConnected)
			continue
		}
		if answer.Status == 0 {
			targets.redirect(answer.Owner)
			continue
		}
		if answer.Status == http.StatusServiceUnavailable && targets.hasNext() {
			last := answer
			if second, ok := c.askAnother(ctx, targets, call); ok {
				last = second
			}
			answer = last
		}
		return withdrawPromise(call, answer, uncertain)
	}
	return rejection(call, uncertain)
}

// second asks one more process after one that could not be sure.
func (c *Caller) askAnother(ctx context.Context, targets *targetList, call protocol.BatchCall) (protocol.BatchAnswer, bool) {
	answer, err := c.send(ctx, targets.next(), call)
	return answer, err == nil && answer.Status != 0
}

// promised takes a promise back that doesn't hold for a process that may have taken the call before.
func withdrawPromise(call protocol.BatchCall, answer protocol.BatchAnswer, uncertain bool) protocol.BatchAnswer {
	refused := answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests
	if refused && uncertain && call.Operation == protocol.BatchSubmit {
		return protocol.BatchAnswer{Status: http.StatusGatewayTimeout}
	}
	return answer
}

// refusal is the answer where no process gave one.
func rejection(call protocol.BatchCall, uncertain bool) protocol.BatchAnswer {
	if uncertain && call.Operation == protocol.BatchSubmit {
		return protocol.BatchAnswer{Status: http.StatusGatewayTimeout}
	}
	return protocol.BatchAnswer{Status: http.StatusServiceUnavailable, RetryAfterMs: int(retryAfter.Milliseconds())}
}

// order gives the processes in the order in which they are asked: those of the own zone first, the others in turn.
func (c *Caller) preference(members []protocol.StoreMember) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotation++
	now := time.Now()
	var near, far, slow, leaving []string
	for i := range members {
		member := &members[(i+c.rotation)%len(members)]
		switch {
		case member.State == protocol.StoreRetired:
		case member.State == protocol.StoreRetiring:
			leaving = append(leaving, member.IP)
		case c.isAvoided(member.IP, now):
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
func (c *Caller) callProcess(ctx context.Context, ip string, call protocol.BatchCall) (protocol.BatchAnswer, error) {
	one := c.acquire(ip)
	defer c.release(one)
	wait := time.NewTimer(connectTimeout)
	defer wait.Stop()
	select {
	case <-one.up:
	case <-wait.C:
		return protocol.BatchAnswer{}, transport.ErrNotConnected
	case <-ctx.Done():
		return protocol.BatchAnswer{}, transport.ErrNotConnected
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout+time.Duration(call.WaitMs)*time.Millisecond)
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
func (c *Caller) acquire(ip string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for other, one := range c.connections {
		if one.users == 0 && now.Sub(one.lastUsed) > idleTimeout {
			one.client.Close()
			delete(c.connections, other)
		}
	}
	one := c.connections[ip]
	if one == nil {
		one = &connection{up: make(chan struct{})}
		var once sync.Once
		one.client = transport.NewClient(c.settings.EndpointAt(ip, node.PortBatch), c.options, nil, func(up bool) {
			if up {
				once.Do(func() { close(one.up) })
			}
		})
		c.connections[ip] = one
	}
	one.users++
	one.lastUsed = now
	return one
}

func (c *Caller) release(one *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	one.users--
}

// Close ends all connections.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, one := range c.connections {
		one.client.Close()
	}
}
