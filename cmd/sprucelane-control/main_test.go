package main

import (
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/node/program"
	"sprucelane.example/sprucelane/internal/node/program/programtest"
)

func TestMain(m *testing.M) { programtest.Main(m, run) }

func TestEarlySignals(t *testing.T) {
	Convey("Signals that arrive while the process is starting don't kill it", t, func() {
		So(programtest.ExitAfterEarlySignals(t, syscall.SIGHUP, syscall.SIGHUP), ShouldEqual, program.ExitUsage)
		So(programtest.ExitAfterEarlySignals(t, syscall.SIGTERM), ShouldEqual, program.ExitUsage)
	})
}
