package program

import (
	"errors"
	"os"
	"path/filepath"
	"runtime/debug"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/node"
)

const whole = "node-name=n\nrole=r\nmachine-class=front\nip=10.0.0.1\nzone=z\nport-range=7360,7375\nseeds=10.0.0.1:8683\n"

func TestBegin(t *testing.T) {
	percent, limit := debug.SetGCPercent(100), debug.SetMemoryLimit(-1)
	t.Cleanup(func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	})
	path := filepath.Join(t.TempDir(), "settings.conf")
	t.Setenv(node.SettingsVariable, path)
	write := func(text string) { So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil) }
	fine := func(*node.Settings) error { return nil }
	Convey("A program with settings in order is to run", t, func() {
		write(whole)
		p, _ := Begin(nil, fine)
		So(p, ShouldNotBeNil)
		So(p.Settings.NodeName, ShouldEqual, "n")
	})
	Convey("Help and a check end with 0", t, func() {
		write(whole)
		for _, flag := range []string{"--help", "--check"} {
			p, code := Begin([]string{flag}, fine)
			So(p, ShouldBeNil)
			So(code, ShouldEqual, ExitOK)
		}
	})
	Convey("Flags and settings that can't be used end with 2, also by what the role finds", t, func() {
		write(whole)
		_, code := Begin([]string{"--no-such"}, fine)
		So(code, ShouldEqual, ExitUsage)
		p, code := Begin(nil, func(*node.Settings) error { return errors.New("listen.front is missing") })
		So(p, ShouldBeNil)
		So(code, ShouldEqual, ExitUsage)
		write("ip=here\n")
		_, code = Begin([]string{"--check"}, fine)
		So(code, ShouldEqual, ExitUsage)
	})
	Convey("A reload hands new settings over, and none with findings", t, func() {
		write(whole)
		p, _ := Begin(nil, fine)
		taken := 0
		p.Reload(func(*node.Settings) { taken++ })
		So(taken, ShouldEqual, 1)
		write("ip=here\n")
		p.Reload(func(*node.Settings) { taken++ })
		So(taken, ShouldEqual, 1)
	})
}
