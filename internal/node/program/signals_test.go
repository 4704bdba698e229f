package program

import (
	"os"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSignals(t *testing.T) {
	Convey("SIGTERM is received after many SIGHUPs", t, func() {
		signals := CatchSignals()
		defer signals.Release()
		send := func(one syscall.Signal) { So(syscall.Kill(os.Getpid(), one), ShouldBeNil) }
		for range 50 {
			send(syscall.SIGHUP)
		}
		send(syscall.SIGTERM)
		So(<-signals.Terminations(), ShouldEqual, syscall.SIGTERM)
		So(<-signals.Reloads(), ShouldEqual, syscall.SIGHUP)
	})
}
