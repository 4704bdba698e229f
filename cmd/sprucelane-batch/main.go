// Command sprucelane-batch is the store process of a machine with a disk: it keeps batch jobs together with
// the stores of other machines, runs their items at model servers and serves their results
// (internal/batch/server).
//
// Flags, the settings file and exit codes are those of internal/node/program. SIGTERM ends it with exit
// code 0, SIGHUP has it read the settings again. It ends with an error if the settings don't fit a store or
// its log fails; a disk that can't be read at a start is tried again until it can.
package main

import (
	"context"
	"errors"
	"os"

	"sprucelane.example/sprucelane/internal/batch/server"
	"sprucelane.example/sprucelane/internal/node/program"
)

func main() { os.Exit(run(os.Args[1:])) }

// run is the process; it returns the exit code.
func run(arguments []string) int {
	signals := program.CatchSignals()
	p, code := program.Begin(arguments, server.Check)
	if p == nil {
		return code
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	opened := make(chan *server.Server, 1)
	go watchSignals(signals, stop, opened, p)
	s, err := server.Open(ctx, p.Settings, p.Log)
	if errors.Is(err, context.Canceled) {
		p.Log.Info().Msg("shutdown_complete")
		return program.ExitOK
	}
	if err != nil {
		p.Log.Error().Err(err).Msg("start_failed")
		return program.ExitFailed
	}
	opened <- s
	if err := s.Run(ctx); err != nil {
		p.Log.Error().Err(err).Msg("failed")
		return program.ExitFailed
	}
	p.Log.Info().Msg("shutdown_complete")
	return program.ExitOK
}

// watchSignals ends the process on SIGTERM, and reloads the settings on SIGHUP. A SIGHUP that comes before
// the disk is open stays in its channel until then.
func watchSignals(signals *program.Signals, stop context.CancelFunc, opened <-chan *server.Server, p *program.Program) {
	var s *server.Server
	var reloads <-chan os.Signal // nil, which is never ready, until the disk is open
	for {
		select {
		case s = <-opened:
			reloads = signals.Reloads()
		case <-signals.Terminations():
			stop()
		case <-reloads:
			p.Reload(s.Reload)
		}
	}
}
