package partition

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	here  = "10.0.0.1"
	there = "127.0.0.1"
)

// rig is a connection that can be cut, and its other end.
type rig struct {
	t          *testing.T
	cuts       *Cuts
	dialer     *Dialer
	listener   net.Listener
	near, far  net.Conn
	path       string
	out, in    Way
	longerThan time.Duration // that bytes on a cut way are waited for in vain
	soonerThan time.Duration // that bytes on a whole way take
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, path: filepath.Join(t.TempDir(), "cuts"), out: Way{here, there}, in: Way{there, here},
		longerThan: 5 * readInterval, soonerThan: 10 * time.Second}
	r.cuts = Watch(t.Context(), r.path)
	r.dialer = &Dialer{Cuts: r.cuts, Host: here, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}}
	var err error
	if r.listener, err = net.Listen("tcp", there+":0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.listener.Close() })
	return r
}

// connect opens the connection.
func (r *rig) connect() {
	var err error
	if r.near, err = r.dialer.DialContext(r.t.Context(), r.listener.Addr().String()); err != nil {
		r.t.Fatal(err)
	}
	if r.far, err = r.listener.Accept(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { r.near.Close(); r.far.Close() })
}

// set writes the file and waits until it is read.
func (r *rig) set(ways ...Way) {
	text := ""
	for _, way := range ways {
		text += way.From + " " + way.To + "\n"
	}
	if err := os.WriteFile(r.path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	for _, way := range []Way{r.out, r.in} {
		want := false
		for _, one := range ways {
			want = want || one == way
		}
		for r.cuts.Cut(way) != want {
			time.Sleep(readInterval / 4)
		}
	}
}

// arrives tells whether bytes come out within a time.
func arrives(from net.Conn, within time.Duration) bool {
	_ = from.SetReadDeadline(time.Now().Add(within))
	_, err := io.ReadFull(from, make([]byte, 1))
	return err == nil
}

func send(to net.Conn) { go func() { _, _ = to.Write([]byte{1}) }() }

func TestWays(t *testing.T) {
	Convey("What is sent on a way that is cut waits until it heals, and the other way is whole", t, func() {
		r := newRig(t)
		r.connect()
		r.set(r.out)
		send(r.near)
		So(arrives(r.far, r.longerThan), ShouldBeFalse)
		send(r.far)
		So(arrives(r.near, r.soonerThan), ShouldBeTrue)
		r.set()
		So(arrives(r.far, r.soonerThan), ShouldBeTrue)
	})
	Convey("What has come on a way that is cut is read once it heals", t, func() {
		r := newRig(t)
		r.connect()
		r.set(r.in)
		send(r.far)
		send(r.near)
		So(arrives(r.far, r.soonerThan), ShouldBeTrue)
		read := make(chan bool, 1)
		go func() { read <- arrives(r.near, r.soonerThan) }()
		select {
		case <-read:
			t.Error("it was read while the way was cut")
		case <-time.After(r.longerThan):
		}
		r.set()
		So(<-read, ShouldBeTrue)
	})
	Convey("A connection whose bytes have waited too long is over, and its other end hears of that later", t, func() {
		r := newRig(t)
		r.connect()
		r.set(r.out)
		_, err := r.near.Write([]byte{1})
		So(err, ShouldEqual, syscall.ETIMEDOUT)
		_ = r.far.SetReadDeadline(time.Now().Add(r.longerThan))
		_, err = r.far.Read(make([]byte, 1))
		So(os.IsTimeout(err), ShouldBeTrue)
		r.set()
		_ = r.far.SetReadDeadline(time.Now().Add(r.soonerThan))
		_, err = r.far.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
	})
	Convey("A close wakes whoever reads", t, func() {
		r := newRig(t)
		r.connect()
		r.set(r.out, r.in)
		read := make(chan bool, 1)
		go func() { read <- arrives(r.near, r.soonerThan) }()
		r.near.Close()
		So(<-read, ShouldBeFalse)
	})
}

func TestDial(t *testing.T) {
	Convey("No connection comes up while one of its ways is cut", t, func() {
		r := newRig(t)
		for _, way := range []Way{r.out, r.in} {
			r.set(way)
			ctx, cancel := context.WithTimeout(t.Context(), r.longerThan)
			_, err := r.dialer.DialContext(ctx, r.listener.Addr().String())
			cancel()
			So(err, ShouldEqual, context.DeadlineExceeded)
		}
		r.set()
		r.connect()
		send(r.near)
		So(arrives(r.far, r.soonerThan), ShouldBeTrue)
	})
}
