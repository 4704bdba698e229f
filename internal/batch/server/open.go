package server

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/internal/node"
)

// openRetryInterval is the time between attempts to open a disk that returns errors.
const openRetryInterval = time.Second

// Open calls New until it succeeds, or returns the context's error once the context ends. It doesn't retry if
// data-dir is missing in the settings, but returns errNoDataDir at once. A disk that can't be read at all is left
// unchanged, and opening it is retried; meanwhile the process doesn't take part in the system, and the other stores
// replace its replicas.
func Open(ctx context.Context, settings *node.Settings, log zerolog.Logger) (*Server, error) {
	return openWithRetry(ctx, settings, log, waitToRetry)
}

// openWithRetry implements Open. Tests pass their own wait, which pauses between attempts.
func openWithRetry(
	ctx context.Context, settings *node.Settings, log zerolog.Logger, wait func(context.Context) error,
) (*Server, error) {
	for {
		s, err := New(settings, log)
		if err == nil || errors.Is(err, errNoDataDir) {
			return s, err
		}
		log.Error().Err(err).Msg("disk_unreadable")
		if err := wait(ctx); err != nil {
			return nil, err
		}
	}
}

// waitToRetry waits for openRetryInterval. It returns the context's error if the context ends before.
func waitToRetry(ctx context.Context) error {
	timer := time.NewTimer(openRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
