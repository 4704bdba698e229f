package announce

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/protocol"
)

func TestAnnounce(t *testing.T) {
	Convey("What one gateway tells the others hear, and what is none they pass over", t, func() {
		members := &protocol.MemberList{Gateways: []protocol.Process{{IP: "127.0.0.1"}, {IP: "127.0.0.2"}, {IP: "nowhere"}}}
		known := func() *protocol.MemberList { return members }
		one, err := Listen("127.0.0.1", 0, known)
		So(err, ShouldBeNil)
		defer one.Close()
		one.port = one.conn.LocalAddr().(*net.UDPAddr).Port
		other, err := Listen("127.0.0.2", one.port, known)
		So(err, ShouldBeNil)
		defer other.Close()
		type word struct {
			server uint64
			tokens int
		}
		heard := make(chan word, 9)
		go other.Receive(func(server uint64, tokens int) { heard <- word{server, tokens} })
		_, err = one.conn.WriteToUDP([]byte("noise"), &net.UDPAddr{IP: net.ParseIP("127.0.0.2"), Port: one.port})
		So(err, ShouldBeNil)
		one.Tell(7, 17020)
		select {
		case got := <-heard:
			So(got, ShouldResemble, word{7, 17020})
		case <-time.After(10 * time.Second):
			So("nothing came", ShouldBeEmpty)
		}
	})
	Convey("Without a list nobody is told", t, func() {
		a, err := Listen("127.0.0.1", 0, func() *protocol.MemberList { return nil })
		So(err, ShouldBeNil)
		a.Tell(1, 1)
		a.Close()
		a.Receive(nil)
	})
}
