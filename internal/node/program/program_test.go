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

// validSettings is a settings file with all required settings.
const validSettings = "node-name=n\nrole=r\nmachine-class=front\nip=10.0.0.1\nzone=z\n" +
	"port-range=7360,7375\nseeds=10.0.0.1:8683\n"

func TestBegin(t *testing.T) {
	percent, limit := debug.SetGCPercent(100), debug.SetMemoryLimit(-1)
	t.Cleanup(func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	})
	path := filepath.Join(t.TempDir(), "settings.conf")
	t.Setenv(node.SettingsVariable, path)
	write := func(text string) { So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil) }
	accept := func(*node.Settings) error { return nil }
	Convey("With valid settings Begin returns a program", t, func() {
		write(validSettings)
		p, _ := Begin(nil, accept)
		So(p, ShouldNotBeNil)
		So(p.Settings.NodeName, ShouldEqual, "n")
	})
	Convey("--help and --check exit with 0", t, func() {
		write(validSettings)
		for _, flag := range []string{"--help", "--check"} {
			p, code := Begin([]string{flag}, accept)
			So(p, ShouldBeNil)
			So(code, ShouldEqual, ExitOK)
		}
	})
	Convey("Invalid flags and settings exit with 2, also if only the role rejects them", t, func() {
		write(validSettings)
		_, code := Begin([]string{"--no-such"}, accept)
		So(code, ShouldEqual, ExitUsage)
		p, code := Begin(nil, func(*node.Settings) error { return errors.New("listen.front is missing") })
		So(p, ShouldBeNil)
		So(code, ShouldEqual, ExitUsage)
		write("ip=here\n")
		_, code = Begin([]string{"--check"}, accept)
		So(code, ShouldEqual, ExitUsage)
	})
	Convey("A reload applies valid settings, and doesn't apply invalid ones", t, func() {
		write(validSettings)
		p, _ := Begin(nil, accept)
		applied := 0
		p.Reload(func(*node.Settings) { applied++ })
		So(applied, ShouldEqual, 1)
		write("ip=here\n")
		p.Reload(func(*node.Settings) { applied++ })
		So(applied, ShouldEqual, 1)
	})
}
