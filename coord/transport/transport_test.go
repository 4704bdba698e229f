package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// echoRequest and echoReply are messages with a number, a text and bytes.
type echoRequest struct {
	Number int
	Text   string
	Data   []byte
}

type echoReply struct {
	Number int
	Text   string
	Data   []byte
}

// nothing is a message without fields.
type nothing struct{}

// unregistered is a type that isn't registered.
type unregistered struct{ Number int }

func init() {
	Register(echoRequest{}, echoReply{}, nothing{}, 0, "")
	Register(echoRequest{})
}

// testTimeout bounds the waits of a test.
const testTimeout = 10 * time.Second

// testOptions returns the options of a machine of the system under test.
func testOptions(node string) Options {
	identity := Identity{System: "test", Node: node, Role: "tester", Zone: "z1", Address: "", Incarnation: "1"}
	return Options{Identity: identity}
}

// listen returns a listener on a free port of the loopback interface.
func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// echo answers requests with their own contents.
func echo(_ context.Context, _ *Session, message any) (any, error) {
	switch request := message.(type) {
	case echoRequest:
		return echoReply(request), nil
	case nothing:
		return nothing{}, nil
	default:
		return nil, NewError("unknown", "no such request")
	}
}

// eventually polls a condition until it holds, and reports whether it did within testTimeout.
func eventually(condition func() bool) bool {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// connected returns a client that is connected to an address.
func connected(t testing.TB, address string, options Options, onPush func(any)) *Client {
	t.Helper()
	client := NewClient(address, options, onPush, nil)
	t.Cleanup(client.Close)
	if !eventually(client.Connected) {
		t.Fatal("not connected")
	}
	return client
}

// errorLog records logged errors.
type errorLog struct {
	mutex  sync.Mutex
	errors []error
}

func (b *errorLog) log(_ string, err error, _ string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.errors = append(b.errors, err)
}

// has reports whether a logged error wraps the target.
func (b *errorLog) has(target error) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, err := range b.errors {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

func TestCallsAndMessages(t *testing.T) {
	Convey("Given a server and a client", t, func() {
		var mutex sync.Mutex
		var received []int
		handler := func(ctx context.Context, session *Session, message any) (any, error) {
			if number, ok := message.(int); ok {
				mutex.Lock()
				received = append(received, number)
				mutex.Unlock()
				return nil, session.Push(number)
			}
			return echo(ctx, session, message)
		}
		server := Serve(listen(t), testOptions("server"), handler)
		defer server.Close()
		pushed := make(chan int, 1000)
		client := connected(t, server.Addr().String(), testOptions("client"), func(m any) { pushed <- m.(int) })
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()

		Convey("calls are answered, many at once", func() {
			var wait sync.WaitGroup
			var wrong atomic.Int64
			for worker := range 8 {
				wait.Go(func() {
					for i := range 50 {
						number := worker*1000 + i
						reply, err := client.Call(ctx, echoRequest{Number: number, Data: make([]byte, i*100)})
						answer, ok := reply.(echoReply)
						if err != nil || !ok || answer.Number != number || len(answer.Data) != i*100 {
							wrong.Add(1)
						}
					}
				})
			}
			wait.Wait()
			So(wrong.Load(), ShouldEqual, 0)
			reply, err := client.Call(ctx, nothing{})
			So(err, ShouldBeNil)
			So(reply, ShouldResemble, nothing{})
			So(client.Remote().Node, ShouldEqual, "server")
		})

		Convey("one-way messages and pushes keep their order", func() {
			var failure error
			for i := range 200 {
				failure = errors.Join(failure, client.Send(i))
			}
			So(failure, ShouldBeNil)
			inOrder := true
			for i := range 200 {
				inOrder = <-pushed == i && inOrder
			}
			So(inOrder, ShouldBeTrue)
			mutex.Lock()
			defer mutex.Unlock()
			So(len(received), ShouldEqual, 200)
		})

		Convey("the caller receives the handler's error with its code", func() {
			_, err := client.Call(ctx, "unknown")
			So(CodeOf(err), ShouldEqual, "unknown")
			var remote *RemoteError
			So(errors.As(err, &remote), ShouldBeTrue)
			So(remote.Text, ShouldEqual, "no such request")
		})

		Convey("a message that can't be encoded or is too large isn't sent and affects no other", func() {
			_, err := client.Call(ctx, unregistered{})
			So(errors.Is(err, ErrEncode), ShouldBeTrue)
			_, err = client.Call(ctx, echoRequest{Data: make([]byte, DefaultMaxFrame+1)})
			So(errors.Is(err, ErrFrameTooLarge), ShouldBeTrue)
			reply, err := client.Call(ctx, echoRequest{Number: 7, Data: make([]byte, DefaultMaxFrame-1000)})
			So(err, ShouldBeNil)
			So(reply.(echoReply).Number, ShouldEqual, 7)
			So(client.Connected(), ShouldBeTrue)
		})
	})
}

func TestAdmission(t *testing.T) {
	Convey("A machine of another system is rejected on both sides", t, func() {
		var serverLog, clientLog errorLog
		options := testOptions("server")
		options.Log = serverLog.log
		server := Serve(listen(t), options, echo)
		defer server.Close()
		stranger := testOptions("stranger")
		stranger.Identity.System = "other"
		stranger.Log = clientLog.log
		client := NewClient(server.Addr().String(), stranger, nil, nil)
		defer client.Close()
		So(eventually(func() bool { return serverLog.has(ErrSystemMismatch) }), ShouldBeTrue)
		So(eventually(func() bool { return clientLog.has(ErrSystemMismatch) }), ShouldBeTrue)
		So(client.Connected(), ShouldBeFalse)
	})

	Convey("Admit rejects by identity", t, func() {
		var serverLog, clientLog errorLog
		reason := errors.New("old incarnation")
		options := testOptions("server")
		options.Log = serverLog.log
		options.Admit = func(peer Identity) error {
			if peer.Node == "old" {
				return reason
			}
			return nil
		}
		server := Serve(listen(t), options, echo)
		defer server.Close()
		old := testOptions("old")
		old.Log = clientLog.log
		client := NewClient(server.Addr().String(), old, nil, nil)
		defer client.Close()
		So(eventually(func() bool { return serverLog.has(reason) }), ShouldBeTrue)
		So(eventually(func() bool { return clientLog.has(ErrRejected) }), ShouldBeTrue)
		connected(t, server.Addr().String(), testOptions("new"), nil)
	})
}

func TestReconnection(t *testing.T) {
	Convey("A client reconnects to a server that was restarted", t, func() {
		server := Serve(listen(t), testOptions("first"), echo)
		address := server.Addr().String()
		var ups, downs atomic.Int64
		state := func(up bool) {
			if up {
				ups.Add(1)
				return
			}
			downs.Add(1)
		}
		client := NewClient(address, testOptions("client"), nil, state)
		defer client.Close()
		So(eventually(client.Connected), ShouldBeTrue)
		server.Close()
		So(eventually(func() bool { return !client.Connected() }), ShouldBeTrue)
		_, err := client.Call(context.Background(), nothing{})
		So(errors.Is(err, ErrNotConnected), ShouldBeTrue)
		So(errors.Is(client.Send(nothing{}), ErrNotConnected), ShouldBeTrue)

		listener, err := net.Listen("tcp", address)
		So(err, ShouldBeNil)
		server = Serve(listener, testOptions("second"), echo)
		defer server.Close()
		So(eventually(func() bool { return client.Connected() && client.Remote().Node == "second" }), ShouldBeTrue)
		So(eventually(func() bool { return ups.Load() == 2 && downs.Load() == 1 }), ShouldBeTrue)
	})

	Convey("A closed client ends its session after the queued messages are delivered", t, func() {
		var got atomic.Int64
		ended := make(chan struct{})
		handler := func(_ context.Context, session *Session, message any) (any, error) {
			if got.Add(1) == 1 {
				session.OnClose(func() { close(ended) })
			}
			return nil, nil
		}
		server := Serve(listen(t), testOptions("server"), handler)
		defer server.Close()
		client := connected(t, server.Addr().String(), testOptions("client"), nil)
		var failure error
		for i := range 100 {
			failure = errors.Join(failure, client.Send(i))
		}
		So(failure, ShouldBeNil)
		client.Close()
		<-ended
		So(got.Load(), ShouldEqual, 100)
		So(errors.Is(client.Send(1), ErrNotConnected), ShouldBeTrue)
	})
}
