package quotas

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/quota"
)

// allocate serves an allocator on loopback.
func allocate(t *testing.T, snapshot *configuration.Snapshot) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	origin := time.Now()
	allocator := quota.NewAllocator(quota.AllocatorOptions{Rules: quota.Rules{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}})
	allocator.Configure(snapshot)
	allocator.Start(time.Hour, time.Hour) // nobody has held anything for long
	server := transport.Serve(l, transport.Options{}, func(_ context.Context, _ *transport.Session, message any) (any, error) {
		mu.Lock()
		defer mu.Unlock()
		return allocator.Request(time.Hour+time.Since(origin), message.(protocol.QuotaRequest)), nil
	})
	t.Cleanup(server.Close)
	return l.Addr().String()
}

func run(t *testing.T, name, address string) *Quotas {
	q := New(Options{Process: protocol.Process{Node: name, Incarnation: name}, Address: func() string { return address }})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { q.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return q
}

func TestQuotas(t *testing.T) {
	snapshot := configuration.NewSnapshot(configuration.Document{Tenants: []configuration.Tenant{
		{Name: "small", RatePerSec: 20, Burst: 10}, {Name: "free"}}}, 1)
	small := snapshot.TenantNamed("small")
	Convey("Two gateways together stay within a tenant's limit, and requests get what there is", t, func() {
		address := allocate(t, snapshot)
		gateways := []*Quotas{run(t, "a", address), run(t, "b", address)}
		for _, g := range gateways {
			g.Configure(snapshot)
		}
		admitted, refused, first := 0, 0, time.Now()
		for time.Since(first) < 2*time.Second {
			for _, g := range gateways {
				if ok, retryAfter := g.Take(context.Background(), small); ok {
					admitted++
				} else {
					refused++
					if retryAfter <= 0 {
						So(retryAfter, ShouldBeGreaterThan, 0)
					}
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
		So(admitted, ShouldBeBetween, 15, int((20*5+10)*1.1+20)+1)
		So(refused, ShouldBeGreaterThan, 0)
	})
	Convey("Without an allocator nobody waits for long, and who has no limit is let in", t, func() {
		q := run(t, "c", "")
		for range 5 {
			began := time.Now()
			ok, retryAfter := q.Take(context.Background(), small)
			So(ok, ShouldBeFalse)
			So(retryAfter, ShouldBeGreaterThan, 0)
			So(time.Since(began), ShouldBeLessThan, 5*waitMost)
		}
		ok, _ := q.Take(context.Background(), snapshot.TenantNamed("free"))
		So(ok, ShouldBeTrue)
		ok, _ = q.Take(context.Background(), nil)
		So(ok, ShouldBeTrue)
	})
	Convey("One whose client leaves makes way", t, func() {
		q := New(Options{Address: func() string { return "" }})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		ok, _ := q.Take(ctx, small)
		So(ok, ShouldBeFalse)
		So(q.waiters, ShouldBeEmpty)
	})
}
