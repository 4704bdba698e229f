package scale

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/lab/programs"
)

func TestSmoke(t *testing.T) {
	built := t.TempDir()
	if err := programs.Build(built, "sprucelane-control"); err != nil {
		t.Fatal(err)
	}
	Convey("Twenty hollow gateways before three control processes have every change in force", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		result, err := Run(ctx, Plan{Programs: built, Members: 20, Servers: 120, Tenants: 50, Requests: 2, For: 2 * time.Second,
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
