package transport

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// rawPeer opens a connection and exchanges hellos. The test sends and reads the frames itself.
func rawPeer(t testing.TB, address string, identity Identity) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	if err := (hello{identity: identity}).write(connection); err != nil {
		t.Fatal(err)
	}
	if _, err := readHello(connection); err != nil {
		t.Fatal(err)
	}
	return connection
}

// rawFrame returns the bytes of a frame.
func rawFrame(kind byte, call uint32, payload []byte) []byte {
	bytes := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	bytes = append(bytes, kind)
	bytes = binary.BigEndian.AppendUint32(bytes, call)
	return append(bytes, payload...)
}

// TestHostileBytes sends a server bytes that no client of this package sends. They must end their own connection
// only.
func TestHostileBytes(t *testing.T) {
	cases := []struct {
		name      string
		handshake bool
		bytes     []byte
		want      error
	}{
		{"garbage", false, []byte("GET / HTTP/1.1\r\n\r\n"), ErrUnknownProtocol},
		{"another version", false, []byte("SPL\xfe\x00\x00"), ErrVersionMismatch},
		{"a hello that is too long", false, []byte("SPL\x01\xff\xff"), ErrFrameTooLarge},
		{"a truncated hello", false, []byte("SPL\x01\x00\x05\x00\x00\x00\x00\x00"), ErrCorrupt},
		{"a frame that is too long", true, []byte("\xff\xff\xff\xff\x01\x00\x00\x00\x01"), ErrFrameTooLarge},
		{"a frame of no kind", true, rawFrame(0x77, 1, nil), ErrCorrupt},
		{"a reply to a server", true, rawFrame(byte(frameReply), 1, []byte{0}), ErrCorrupt},
		{"an empty payload", true, rawFrame(byte(frameRequest), 1, nil), ErrCorrupt},
		{"an unknown type", true, rawFrame(byte(frameRequest), 1, []byte{1, 3, 'a', 'b', 'c'}), ErrCorrupt},
		{"garbage for gob", true, rawFrame(byte(frameRequest), 1, append([]byte{1, 3}, "int\xff\xff\xff"...)), ErrCorrupt},
		{"bytes after the value", true, rawFrame(byte(frameRequest), 1, []byte{0, 9}), ErrCorrupt},
	}
	Convey("Given a server with a connected client", t, func() {
		var log errorLog
		options := testOptions("server")
		options.Log = log.log
		server := Serve(listen(t), options, echo)
		defer server.Close()
		client := connected(t, server.Addr().String(), testOptions("client"), nil)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		for _, hostile := range cases {
			Convey(hostile.name+" ends only its own connection", func() {
				connection, err := net.Dial("tcp", server.Addr().String())
				So(err, ShouldBeNil)
				defer connection.Close()
				if hostile.handshake {
					So((hello{identity: testOptions("bad").Identity}).write(connection), ShouldBeNil)
				}
				_, err = connection.Write(hostile.bytes)
				So(err, ShouldBeNil)
				So(eventually(func() bool { return log.has(hostile.want) }), ShouldBeTrue)
				So(connection.SetReadDeadline(time.Now().Add(testTimeout)), ShouldBeNil)
				_, err = new(bytes.Buffer).ReadFrom(connection)
				var timeout net.Error
				So(errors.As(err, &timeout) && timeout.Timeout(), ShouldBeFalse)
				_, err = client.Call(ctx, nothing{})
				So(err, ShouldBeNil)
			})
		}
	})
}

func TestPeerThatDoesNotReadIsDropped(t *testing.T) {
	Convey("A peer that reads nothing is disconnected, and pushing to it never blocks", t, func() {
		sessions := make(chan *Session, 1)
		handler := func(_ context.Context, session *Session, _ any) (any, error) {
			sessions <- session
			return nil, nil
		}
		var log errorLog
		options := testOptions("server")
		options.WriteTimeout = 200 * time.Millisecond
		options.Queue = 4
		options.Log = log.log
		server := Serve(listen(t), options, handler)
		defer server.Close()
		connection := rawPeer(t, server.Addr().String(), testOptions("deaf").Identity)
		_, err := connection.Write(rawFrame(byte(frameOneWay), 0, []byte{0}))
		So(err, ShouldBeNil)
		session := <-sessions
		full := false
		var longest time.Duration
		for end := time.Now().Add(testTimeout); time.Now().Before(end); {
			start := time.Now()
			err = session.Push(echoRequest{Data: make([]byte, 64<<10)})
			longest = max(longest, time.Since(start))
			full = full || errors.Is(err, ErrQueueFull)
			if errors.Is(err, ErrNotConnected) {
				break
			}
		}
		So(full, ShouldBeTrue)
		So(longest, ShouldBeLessThan, time.Second)
		So(errors.Is(err, ErrWriteTimeout), ShouldBeTrue)
		<-session.Done()
		So(eventually(func() bool { return log.has(ErrWriteTimeout) }), ShouldBeTrue)
	})
}

// unresponsiveServer completes the handshake with every client and then sends nothing.
func unresponsiveServer(t testing.TB, handshakes *atomic.Int64) net.Listener {
	listener := listen(t)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := readHello(connection); err == nil {
				handshakes.Add(1)
				_ = (hello{identity: testOptions("silent").Identity}).write(connection)
			}
		}
	}()
	return listener
}

func TestHeartbeatTimeout(t *testing.T) {
	Convey("An idle connection to a machine that sends nothing ends after three heartbeats", t, func() {
		var handshakes atomic.Int64
		listener := unresponsiveServer(t, &handshakes)
		defer listener.Close()
		var log errorLog
		options := testOptions("client")
		options.Heartbeat = 30 * time.Millisecond
		options.Log = log.log
		client := connected(t, listener.Addr().String(), options, nil)
		_, err := client.Call(context.Background(), nothing{})
		So(errors.Is(err, ErrUncertain), ShouldBeTrue)
		So(errors.Is(err, ErrHeartbeatTimeout), ShouldBeTrue)
		So(eventually(func() bool { return log.has(ErrHeartbeatTimeout) }), ShouldBeTrue)
		So(eventually(func() bool { return handshakes.Load() > 1 }), ShouldBeTrue)
	})

	Convey("Pings keep an idle connection open if only one side sets a heartbeat", t, func() {
		server := Serve(listen(t), testOptions("server"), echo)
		defer server.Close()
		options := testOptions("client")
		options.Heartbeat = 100 * time.Millisecond
		var log errorLog
		options.Log = log.log
		client := connected(t, server.Addr().String(), options, nil)
		quiet := time.Now().Add(6 * options.Heartbeat)
		So(eventually(func() bool { return time.Now().After(quiet) }), ShouldBeTrue)
		So(client.Connected(), ShouldBeTrue)
		So(log.has(ErrHeartbeatTimeout), ShouldBeFalse)
	})
}
