package batchproxy

import (
	"context"
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	// connectTimeout is how long the establishment of a connection may take.
	connectTimeout = 400 * time.Millisecond
	// answerTimeout is how long a store may take for its answer, in addition to the wait of a long poll.
	answerTimeout = 1500 * time.Millisecond
	// heartbeat is the interval of heartbeats on a connection.
	heartbeat = 500 * time.Millisecond
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 20 * time.Second
)

// connection is a connection to a store. Its client reconnects automatically.
type connection struct {
	client   *transport.Client
	up       chan struct{} // closed when the connection is established for the first time
	lastUsed time.Time     // when a call last acquired the connection
	users    int           // number of calls in flight
}

// callProcess sends a call to one store. transport.ErrNotConnected means that the call wasn't sent; after any
// other error the store may have received it.
func (c *Caller) callProcess(ctx context.Context, ip string, call protocol.BatchCall) (protocol.BatchAnswer, error) {
	conn := c.acquire(ip)
	defer c.release(conn)
	wait := time.NewTimer(connectTimeout)
	defer wait.Stop()
	select {
	case <-conn.up:
	case <-wait.C:
		return protocol.BatchAnswer{}, transport.ErrNotConnected
	case <-ctx.Done():
		return protocol.BatchAnswer{}, transport.ErrNotConnected
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout+time.Duration(call.WaitMs)*time.Millisecond)
	defer cancel()
	reply, err := conn.client.Call(ctx, call)
	if err != nil {
		return protocol.BatchAnswer{}, err
	}
	answer, ok := reply.(protocol.BatchAnswer)
	if !ok {
		return protocol.BatchAnswer{}, transport.ErrUncertain
	}
	return answer, nil
}

// acquire returns the connection to a store for one call, and closes the connections that have been idle for
// longer than idleTimeout.
func (c *Caller) acquire(ip string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for other, conn := range c.connections {
		if conn.users == 0 && now.Sub(conn.lastUsed) > idleTimeout {
			conn.client.Close()
			delete(c.connections, other)
		}
	}
	conn := c.connections[ip]
	if conn == nil {
		conn = &connection{up: make(chan struct{})}
		var once sync.Once
		conn.client = transport.NewClient(c.settings.EndpointAt(ip, node.PortBatch), c.options, nil, func(up bool) {
			if up {
				once.Do(func() { close(conn.up) })
			}
		})
		c.connections[ip] = conn
	}
	conn.users++
	conn.lastUsed = now
	return conn
}

// release ends a call's use of a connection.
func (c *Caller) release(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.users--
}

// Close closes all connections.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.connections {
		conn.client.Close()
	}
}
