// Command sprucelane-batch is the system's store of batch jobs: it keeps them, runs their items and gives their results.
package main

import (
	"context"
	"errors"
	"os"

	"sprucelane.example/sprucelane/internal/batch/server"
	"sprucelane.example/sprucelane/internal/node/program"
)

func main() { os.Exit(run(os.Args[1:])) }

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
		p.Log.Info().Msg("ended")
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
	p.Log.Info().Msg("ended")
	return program.ExitOK
}

// watchSignals ends the process on SIGTERM, and takes changed settings in on SIGHUP once the disk is open.
func watchSignals(signals *program.Signals, stop context.CancelFunc, opened <-chan *server.Server, p *program.Program) {
	var s *server.Server
	var reloads <-chan os.Signal // one that comes earlier is kept until then
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
