// Command sprucelane-batch runs the store process of a machine with a disk. Together with the stores of other
// machines it keeps batch jobs, runs their items at model servers and serves their results
// (internal/batch/server).
//
// Flags, the settings file and exit codes are those of internal/node/program. SIGTERM ends it with exit
// code 0, and SIGHUP makes it read the settings again. It ends with an error if the settings are not valid for
// a store or if its log fails. If the disk can't be read at the start, it retries until the disk can be read.
package main

import (
	"context"
	"errors"
	"os"

	"sprucelane.example/sprucelane/internal/batch/server"
	"sprucelane.example/sprucelane/internal/node/program"
)

func main() { os.Exit(run(os.Args[1:])) }

// run runs the process and returns its exit code.
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

// watchSignals ends the process on SIGTERM, and reloads the settings on SIGHUP. A SIGHUP that arrives before
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
