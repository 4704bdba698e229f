// Command sprucelane-batch is the system's store of batch jobs: it keeps them, runs their items and gives their results.
package main

import (
	"context"
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
	s, err := server.New(p.Settings, p.Log)
	if err != nil {
		p.Log.Error().Err(err).Msg("start_failed")
		return program.ExitFailed
	}
	go watchSignals(signals, stop, s, p)
	if err := s.Run(ctx); err != nil {
		p.Log.Error().Err(err).Msg("failed")
		return program.ExitFailed
	}
	p.Log.Info().Msg("ended")
	return program.ExitDone
}

// watchSignals ends the process on SIGTERM, and takes changed settings in on SIGHUP.
func watchSignals(signals *program.Signals, stop context.CancelFunc, s *server.Server, p *program.Program) {
	for {
		select {
		case <-signals.Ends():
			stop()
		case <-signals.Reloads():
			p.Reload(s.Reload)
		}
	}
}
