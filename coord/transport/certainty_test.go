package transport

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// disconnectingProxy forwards bytes between clients and a server, and ends every connection after a random
// number of bytes.
func disconnectingProxy(t testing.TB, address string, seed uint64) net.Listener {
	listener := listen(t)
	random := rand.New(rand.NewPCG(seed, seed))
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", address)
			if err != nil {
				client.Close()
				continue
			}
			go copyAtMost(server, client, 200+random.Int64N(4000))
			go copyAtMost(client, server, 200+random.Int64N(4000))
		}
	}()
	return listener
}

// copyAtMost copies up to limit bytes, then ends both connections.
func copyAtMost(to, from net.Conn, limit int64) {
	_, _ = io.CopyN(to, from, limit)
	to.Close()
	from.Close()
}

func TestCertainty(t *testing.T) {
	Convey("The outcome of Call agrees with the handled requests, over connections that end at random", t, func() {
		var mutex sync.Mutex
		handled := make(map[int]int)
		handler := func(_ context.Context, _ *Session, message any) (any, error) {
			request := message.(echoRequest)
			mutex.Lock()
			handled[request.Number]++
			mutex.Unlock()
			return echoReply(request), nil
		}
		server := Serve(listen(t), testOptions("server"), handler)
		defer server.Close()
		proxy := disconnectingProxy(t, server.Addr().String(), 1)
		defer proxy.Close()
		client := NewClient(proxy.Addr().String(), testOptions("client"), nil, nil)
		defer client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		outcomes := make([]error, 4000)
		called := make([]bool, len(outcomes))
		var wait sync.WaitGroup
		const workers = 4
		for worker := range workers {
			wait.Go(func() {
				for number := worker; number < len(outcomes) && ctx.Err() == nil; number += workers {
					if !client.Connected() {
						time.Sleep(time.Millisecond)
					}
					called[number] = true
					_, outcomes[number] = client.Call(ctx, echoRequest{Number: number, Text: "some text to carry"})
				}
			})
		}
		wait.Wait()
		server.Close()
		mutex.Lock()
		defer mutex.Unlock()
		counts := make(map[error]int)
		var wrong []int
		for number, err := range outcomes {
			switch {
			case !called[number]:
			case err == nil:
				counts[nil]++
				if handled[number] != 1 {
					wrong = append(wrong, number)
				}
			case errors.Is(err, ErrUncertain):
				counts[ErrUncertain]++
				if handled[number] > 1 {
					wrong = append(wrong, number)
				}
			default:
				counts[ErrNotConnected]++
				if !errors.Is(err, ErrNotConnected) || handled[number] != 0 {
					wrong = append(wrong, number)
				}
			}
		}
		So(wrong, ShouldBeEmpty)
		So(counts[nil], ShouldBeGreaterThan, 0)
		So(counts[ErrUncertain], ShouldBeGreaterThan, 0)
	})

	Convey("A call that is canceled, or whose server closes, is uncertain", t, func() {
		started := make(chan struct{}, 2)
		handler := func(ctx context.Context, _ *Session, _ any) (any, error) {
			started <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		}
		server := Serve(listen(t), testOptions("server"), handler)
		defer server.Close()
		client := connected(t, server.Addr().String(), testOptions("client"), nil)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-started
			cancel()
		}()
		_, err := client.Call(ctx, nothing{})
		So(errors.Is(err, ErrUncertain), ShouldBeTrue)
		So(errors.Is(err, context.Canceled), ShouldBeTrue)
		go func() {
			<-started
			server.Close()
		}()
		_, err = client.Call(context.Background(), nothing{})
		So(errors.Is(err, ErrUncertain), ShouldBeTrue)
	})

	Convey("Requests beyond the queue of a session are rejected with CodeBusy", t, func() {
		release := make(chan struct{})
		handler := func(_ context.Context, _ *Session, _ any) (any, error) {
			<-release
			return nil, nil
		}
		options := testOptions("server")
		options.Queue = 2
		server := Serve(listen(t), options, handler)
		defer server.Close()
		client := connected(t, server.Addr().String(), testOptions("client"), nil)
		results := make(chan error, 3)
		for range 3 {
			go func() {
				_, err := client.Call(context.Background(), nothing{})
				results <- err
			}()
		}
		So(CodeOf(<-results), ShouldEqual, CodeBusy)
		close(release)
		So(<-results, ShouldBeNil)
		So(<-results, ShouldBeNil)
	})
}

// countingConn counts the writes to a connection.
type countingConn struct {
	net.Conn
	hold   chan struct{} // one write proceeds for each value
	writes chan int      // receives the length of each write
}

func (c *countingConn) Write(bytes []byte) (int, error) {
	<-c.hold
	c.writes <- len(bytes)
	return c.Conn.Write(bytes)
}

func TestPendingFramesAreWrittenAtOnce(t *testing.T) {
	Convey("Pending frames are written with one system call", t, func() {
		near, far := net.Pipe()
		defer far.Close()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		counting := &countingConn{Conn: near, hold: make(chan struct{}, 2), writes: make(chan int, 100)}
		options := testOptions("server").withDefaults()
		l := newLink(counting, nil, &options, hello{})
		defer l.end(ErrClosed)
		_, err := l.send(frameOneWay, 0, 1)
		So(err, ShouldBeNil)
		So(eventually(func() bool { return l.mayHaveBeenSent(1) }), ShouldBeTrue)
		for i := range 50 {
			_, sendErr := l.send(frameOneWay, 0, i)
			err = errors.Join(err, sendErr)
		}
		So(err, ShouldBeNil)
		So(l.mayHaveBeenSent(2), ShouldBeFalse)
		counting.hold <- struct{}{}
		counting.hold <- struct{}{}
		<-counting.writes
		<-counting.writes
		So(l.mayHaveBeenSent(51), ShouldBeTrue)
		So(len(counting.writes), ShouldEqual, 0)
	})
}

func TestBurstOnOneProcessor(t *testing.T) {
	Convey("A burst of small messages beyond the queue is accepted, though all goroutines share one processor", t, func() {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		var got atomic.Int64
		handler := func(context.Context, *Session, any) (any, error) {
			got.Add(1)
			return nil, nil
		}
		server := Serve(listen(t), testOptions("server"), handler)
		defer server.Close()
		client := connected(t, server.Addr().String(), testOptions("client"), nil)
		const burst = 20 * DefaultQueue
		var failure error
		for i := range burst {
			failure = errors.Join(failure, client.Send(i))
		}
		So(failure, ShouldBeNil)
		So(eventually(func() bool { return got.Load() == burst }), ShouldBeTrue)
	})
}
