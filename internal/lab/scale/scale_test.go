package scale

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSmoke(t *testing.T) {
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs+string(filepath.Separator), "./cmd/sprucelane-control")
	build.Dir = filepath.Join("..", "..", "..")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		t.Fatal(err)
	}
	Convey("Twenty hollow gateways before three control processes have every change in force", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		result, err := Run(ctx, Plan{Programs: programs, Members: 20, Servers: 120, Tenants: 50, Requests: 2, For: 2 * time.Second,
			ChangeEvery: 400 * time.Millisecond})
		So(err, ShouldBeNil)
		So(len(result.Changes), ShouldBeGreaterThan, 0)
		for _, change := range result.Changes {
			So(change.Missing, ShouldEqual, 0)
			So(change.InForce, ShouldHaveLength, 20)
		}
		So(result.Messages, ShouldBeGreaterThan, 0)
		So(result.Control.Sent, ShouldBeGreaterThan, 0)
		var table bytes.Buffer
		WriteHead(&table)
		WriteRow(&table, &result)
		t.Logf("\n%s", table.String())
	})
}

func TestBounds(t *testing.T) {
	Convey("More members than can be had are refused before anything is started", t, func() {
		_, err := Run(context.Background(), Plan{Members: MostMembers + 1})
		So(err, ShouldNotBeNil)
	})
}
