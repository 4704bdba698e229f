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

// The hosts of the test's links. The process under test may be any of them.
const (
	here  = "10.0.0.1"
	there = "127.0.0.1"
)

// rig is a connection whose links can be partitioned, with both ends.
type rig struct {
	t                 *testing.T
	partitions        *Watcher
	dialer            *Dialer
	listener          net.Listener
	near, far         net.Conn
	path              string
	outbound, inbound Link
	blockedFor        time.Duration // how long bytes on a partitioned link must not arrive
	arrivesWithin     time.Duration // how long bytes on a healed link may take
}

// newRig returns a rig without partitions. Its connection isn't open yet.
func newRig(t *testing.T) *rig {
	r := &rig{
		t:             t,
		path:          filepath.Join(t.TempDir(), "partitions"),
		outbound:      Link{here, there},
		inbound:       Link{there, here},
		blockedFor:    5 * pollInterval,
		arrivesWithin: 10 * time.Second,
	}
	r.partitions = Watch(t.Context(), r.path)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	r.dialer = &Dialer{Partitions: r.partitions, Host: here, Dial: dial}
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

// partition writes the file so that exactly these links are partitioned, and waits until the watcher has read
// it.
func (r *rig) partition(links ...Link) {
	text := ""
	for _, link := range links {
		text += link.From + " " + link.To + "\n"
	}
	if err := os.WriteFile(r.path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	for _, link := range []Link{r.outbound, r.inbound} {
		want := false
		for _, one := range links {
			want = want || one == link
		}
		for r.partitions.Partitioned(link) != want {
			time.Sleep(pollInterval / 4)
		}
	}
}

// arrives reports whether a byte can be read within the given time.
func arrives(from net.Conn, within time.Duration) bool {
	_ = from.SetReadDeadline(time.Now().Add(within))
	_, err := io.ReadFull(from, make([]byte, 1))
	return err == nil
}

// send writes a byte in the background.
func send(to net.Conn) { go func() { _, _ = to.Write([]byte{1}) }() }

func TestPartitionedLinks(t *testing.T) {
	Convey("Bytes sent over a partitioned link wait until it heals, and the other link isn't affected", t, func() {
		r := newRig(t)
		r.connect()
		r.partition(r.outbound)
		send(r.near)
		So(arrives(r.far, r.blockedFor), ShouldBeFalse)
		send(r.far)
		So(arrives(r.near, r.arrivesWithin), ShouldBeTrue)
		r.partition()
		So(arrives(r.far, r.arrivesWithin), ShouldBeTrue)
	})
	Convey("Bytes that have arrived over a partitioned link are read once it heals", t, func() {
		r := newRig(t)
		r.connect()
		r.partition(r.inbound)
		send(r.far)
		send(r.near)
		So(arrives(r.far, r.arrivesWithin), ShouldBeTrue)
		read := make(chan bool, 1)
		go func() { read <- arrives(r.near, r.arrivesWithin) }()
		select {
		case <-read:
			t.Error("bytes were read while the link was partitioned")
		case <-time.After(r.blockedFor):
		}
		r.partition()
		So(<-read, ShouldBeTrue)
	})
	Convey("A connection whose bytes have waited for UserTimeout ends; its other end sees that after the heal", t, func() {
		r := newRig(t)
		r.connect()
		r.partition(r.outbound)
		_, err := r.near.Write([]byte{1})
		So(err, ShouldEqual, syscall.ETIMEDOUT)
		_ = r.far.SetReadDeadline(time.Now().Add(r.blockedFor))
		_, err = r.far.Read(make([]byte, 1))
		So(os.IsTimeout(err), ShouldBeTrue)
		r.partition()
		_ = r.far.SetReadDeadline(time.Now().Add(r.arrivesWithin))
		_, err = r.far.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
	})
	Convey("A close interrupts a read", t, func() {
		r := newRig(t)
		r.connect()
		r.partition(r.outbound, r.inbound)
		read := make(chan bool, 1)
		go func() { read <- arrives(r.near, r.arrivesWithin) }()
		r.near.Close()
		So(<-read, ShouldBeFalse)
	})
}

func TestDial(t *testing.T) {
	Convey("No connection opens while one of its links is partitioned", t, func() {
		r := newRig(t)
		for _, link := range []Link{r.outbound, r.inbound} {
			r.partition(link)
			ctx, cancel := context.WithTimeout(t.Context(), r.blockedFor)
			_, err := r.dialer.DialContext(ctx, r.listener.Addr().String())
			cancel()
			So(err, ShouldEqual, context.DeadlineExceeded)
		}
		r.partition()
		r.connect()
		send(r.near)
		So(arrives(r.far, r.arrivesWithin), ShouldBeTrue)
	})
}
