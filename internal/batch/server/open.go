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

// Open is New with retries. A disk that can't be read at all is left as it is, and tried again until the
// context ends: the process takes no part in anything meanwhile, and the other stores replace its replicas.
// Open returns the context's error, or at once that of a missing data-dir.
func Open(ctx context.Context, settings *node.Settings, log zerolog.Logger) (*Server, error) {
	return openWithRetry(ctx, settings, log, waitToRetry)
}

// openWithRetry is Open with the pause between attempts as a parameter, for tests.
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

// waitToRetry waits for openRetryInterval; an error says that the context has ended.
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
