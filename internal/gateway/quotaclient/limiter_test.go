package quotaclient

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/quota"
)

var testWaitLimits = WaitLimits{Uncertain: 2 * time.Second, Certain: 2 * time.Second}

// fakeAllocator is an allocator that listens on the loopback interface.
type fakeAllocator struct {
	mutex     sync.Mutex
	allocator *quota.Allocator
	origin    time.Time
	leads     atomic.Bool
	server    *transport.Server
}

func identity(node string) transport.Options {
	return transport.Options{Identity: transport.Identity{System: protocol.System, Node: node}}
}

func startAllocator(t *testing.T, snapshot *configuration.Snapshot) *fakeAllocator {
	rules := quota.Rules{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	c := &fakeAllocator{allocator: quota.NewAllocator(quota.AllocatorOptions{Rules: rules}), origin: time.Now()}
	c.allocator.Configure(snapshot)
	c.allocator.Start(0, time.Minute, nil, nil)
	c.leads.Store(true)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.server = transport.Serve(listener, identity("control"), c.handle)
	t.Cleanup(c.server.Close)
	return c
}

func (c *fakeAllocator) handle(_ context.Context, _ *transport.Session, message any) (any, error) {
	request, ok := message.(protocol.QuotaRequest)
	if !ok || !c.leads.Load() {
		return nil, transport.NewError("not-lead", "elsewhere")
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.allocator.Request(time.Since(c.origin), request), nil
}

func (c *fakeAllocator) members() *protocol.MemberList {
	return &protocol.MemberList{QuotaAddress: c.server.Addr().String()}
}

func startLimiter(t *testing.T, node string, members func() *protocol.MemberList) *Limiter {
	l := New(Options{Process: protocol.Process{Node: node, Incarnation: "1"}, Transport: identity(node), Members: members})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return l
}

func testSnapshot() *configuration.Snapshot {
	return configuration.NewSnapshot(configuration.Document{Tenants: []configuration.Tenant{
		{Name: "large", RatePerSec: 200, Burst: 200},
		{Name: "middle", RatePerSec: 20, Burst: 10},
		{Name: "small", RatePerSec: 1, Burst: 1},
		{Name: "free"},
	}}, 1)
}

func TestLimiter(t *testing.T) {
	snapshot := testSnapshot()

	Convey("Requests within the limit are admitted, at several gateways at once", t, func() {
		server := startAllocator(t, snapshot)
		var rejected atomic.Int64
		var wait sync.WaitGroup
		for i := range 3 {
			limiter := startLimiter(t, fmt.Sprintf("front-%d", i), server.members)
			for range 4 {
				wait.Go(func() {
					for range 10 {
						if !limiter.Acquire(context.Background(), snapshot.TenantByName("large"), testWaitLimits).Admit {
							rejected.Add(1)
						}
					}
				})
			}
		}
		wait.Wait()
		So(rejected.Load(), ShouldEqual, 0)
	})

	Convey("Two gateways together stay within a tenant's limit, and requests get the available tokens", t, func() {
		server := startAllocator(t, snapshot)
		limiters := []*Limiter{startLimiter(t, "front-a", server.members), startLimiter(t, "front-b", server.members)}
		admitted, rejected := 0, 0
		short := WaitLimits{Uncertain: 20 * time.Millisecond, Certain: 20 * time.Millisecond}
		for first := time.Now(); time.Since(first) < 2*time.Second; time.Sleep(5 * time.Millisecond) {
			for _, limiter := range limiters {
				if limiter.Acquire(context.Background(), snapshot.TenantByName("middle"), short).Admit {
					admitted++
				} else {
					rejected++
				}
			}
		}
		So(admitted, ShouldBeBetween, 15, int((20*5+10)*1.1+20)+1)
		So(rejected, ShouldBeGreaterThan, 0)
	})

	Convey("Beyond the limit a request is rejected with a Retry-After", t, func() {
		server := startAllocator(t, snapshot)
		limiter := startLimiter(t, "front-1", server.members)
		admitted := 0
		var last Decision
		for range 100 {
			if last = limiter.Acquire(context.Background(), snapshot.TenantByName("small"), testWaitLimits); last.Admit {
				admitted++
			}
		}
		So(admitted, ShouldBeBetween, 5, 28)
		So(last.Admit, ShouldBeFalse)
		So(last.RetryAfter, ShouldBeBetween, 100*time.Millisecond, 2*time.Second)
		So(limiter.Counts().Rejected, ShouldEqual, 100-admitted)
		So(limiter.Acquire(context.Background(), snapshot.TenantByName("free"), testWaitLimits).Admit, ShouldBeTrue)
		So(limiter.Acquire(context.Background(), nil, testWaitLimits).Admit, ShouldBeTrue)
	})

	Convey("Without an allocator requests are rejected soon, but existing leases are used", t, func() {
		unconnected := startLimiter(t, "front-2", func() *protocol.MemberList { return nil })
		short := WaitLimits{Uncertain: 30 * time.Millisecond, Certain: 60 * time.Millisecond}
		So(unconnected.Acquire(context.Background(), snapshot.TenantByName("large"), short).Admit, ShouldBeFalse)

		server := startAllocator(t, snapshot)
		limiter := startLimiter(t, "front-3", server.members)
		for range 30 {
			limiter.Acquire(context.Background(), snapshot.TenantByName("large"), testWaitLimits)
		}
		So(eventually(func() bool {
			limiter.mutex.Lock()
			defer limiter.mutex.Unlock()
			return limiter.client.TimeToToken(limiter.now(), snapshot.TenantByName("large")) < time.Second
		}), ShouldBeTrue)
		server.leads.Store(false)
		So(eventually(func() bool { return limiter.Counts().Failed > 0 }), ShouldBeTrue)
		So(limiter.Acquire(context.Background(), snapshot.TenantByName("large"), testWaitLimits).Admit, ShouldBeTrue)
	})

	Convey("A request whose client leaves stops waiting", t, func() {
		limiter := startLimiter(t, "front-4", func() *protocol.MemberList { return nil })
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(limiter.Acquire(ctx, snapshot.TenantByName("small"), testWaitLimits).Admit, ShouldBeFalse)
		limiter.mutex.Lock()
		defer limiter.mutex.Unlock()
		So(limiter.waiters, ShouldBeEmpty)
	})
}

// eventually waits for a condition for a few seconds.
func eventually(condition func() bool) bool {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
