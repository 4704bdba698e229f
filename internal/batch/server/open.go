package server

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/internal/node"
)

// openAgain is the time between tries to read a disk that gives errors.
const openRetryInterval = time.Second

// Open opens what is on the disk and assembles a server. A disk that can't be read at all is left as it is and tried again
// until the context ends: the process takes no part in anything meanwhile, and the others make their sets whole without it.
func Open(ctx context.Context, settings *node.Settings, log zerolog.Logger) (*Server, error) {
	return openWithRetry(ctx, settings, log, waitToRetry)
}

func openWithRetry(ctx context.Context, settings *node.Settings, log zerolog.Logger, pause func(context.Context) error) (*Server, error) {
	for {
		s, err := New(settings, log)
		if err == nil || errors.Is(err, errNoDataDir) {
			return s, err
		}
		log.Error().Err(err).Msg("disk_unreadable")
		if err := pause(ctx); err != nil {
			return nil, err
		}
	}
}

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
