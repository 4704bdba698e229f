// Command sprucelane-batch is the system's store of batch jobs: it keeps them, runs their items and gives their results.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"sprucelane.example/sprucelane/internal/batch/server"
	"sprucelane.example/sprucelane/internal/node/program"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	p, code := program.Begin(arguments, server.Check)
	if p == nil {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := server.New(p.Settings, p.Log)
	if err != nil {
		p.Log.Error().Err(err).Msg("start_failed")
		return program.ExitFailed
	}
	go watchReloads(s, p)
	if err := s.Run(ctx); err != nil {
		p.Log.Error().Err(err).Msg("failed")
		return program.ExitFailed
	}
	p.Log.Info().Msg("ended")
	return program.ExitDone
}

// watchReloads takes changed settings in on SIGHUP.
func watchReloads(s *server.Server, p *program.Program) {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	for range reloads {
		p.Reload(s.Reload)
	}
}
