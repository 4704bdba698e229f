package operatorapi

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// awaitReadable waits until the acknowledged state can be read by this process, for at most unavailableAfter. It
// returns the error of the last attempt if none succeeded.
func (a *API) awaitReadable(ctx context.Context) error {
	deadline := time.Now().Add(unavailableAfter)
	for {
		attempt, cancel := context.WithTimeout(ctx, min(readTimeout, time.Until(deadline)))
		err := a.options.Chain.Read(attempt)
		cancel()
		if err == nil || !waitToRetry(ctx, deadline) {
			return err
		}
	}
}

// waitToRetry waits for retryInterval and reports whether another attempt may be made. It returns false at once if
// too little time is left before the deadline, and as soon as ctx ends.
func waitToRetry(ctx context.Context, deadline time.Time) bool {
	if time.Until(deadline) < 2*retryInterval {
		return false
	}
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// handleRead handles GET /config.
func (a *API) handleRead(c echo.Context) error {
	if err := a.awaitReadable(c.Request().Context()); err != nil {
		return writeUnavailable(c, "the newest configuration can't be told here now: "+err.Error())
	}
	version := a.options.State.Configuration()
	if version.Generation == 0 {
		return c.JSON(http.StatusNotFound, responseBody{Message: "there is no configuration yet"})
	}
	return writeVersion(c, version)
}
