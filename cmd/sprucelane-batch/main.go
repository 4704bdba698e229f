// Command sprucelane-batch is the system's store of batch jobs: it keeps them, runs their items and gives their results.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/internal/batch/server"
	"sprucelane.example/sprucelane/internal/node"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

const (
	// gcPercent is how much the heap may grow between collections: memory is dearer here than the time for them.
	gcPercent = 50
	// memoryShare is the part of the machine's memory that the heap keeps to.
	memoryShare = 0.7
)

type options struct {
	Check    bool   `long:"check" description:"check the settings, report all findings and exit"`
	LogLevel string `long:"log-level" env:"SPRUCELANE_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	var opt options
	parser := flags.NewParser(&opt, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "The settings file is named by the environment variable " + node.SettingsVariable + "."
	if _, err := parser.ParseArgs(arguments); err != nil {
		return usage(err)
	}
	settings, err := load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if opt.Check {
		return 0
	}
	log := node.NewLogger(settings, opt.LogLevel)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Limits.MemoryMB) * (1 << 20)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := server.New(settings, log)
	if err != nil {
		log.Error().Err(err).Msg("start_failed")
		return exitFailed
	}
	go watchReloads(s, log)
	if err := s.Run(ctx); err != nil {
		log.Error().Err(err).Msg("failed")
		return exitFailed
	}
	log.Info().Msg("ended")
	return 0
}

func usage(err error) int {
	var wrong *flags.Error
	if errors.As(err, &wrong) && wrong.Type == flags.ErrHelp {
		fmt.Println(err)
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	return exitUsage
}

func load() (*node.Settings, error) {
	settings, err := node.Load()
	if err != nil {
		return nil, err
	}
	return settings, server.Check(settings)
}

// watchReloads takes changed settings in on SIGHUP.
func watchReloads(s *server.Server, log zerolog.Logger) {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	for range reloads {
		settings, err := load()
		if err != nil {
			log.Error().Err(err).Msg("reload_failed")
			continue
		}
		s.Reload(settings)
		log.Info().Msg("reloaded")
	}
}
