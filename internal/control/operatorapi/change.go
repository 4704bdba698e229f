package operatorapi

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"sprucelane.example/sprucelane/internal/configuration"
)

// handleChange returns the handler of PUT /config, or of PATCH /config if patch is set.
func (a *API) handleChange(patch bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		arrived := time.Now()
		ifMatch, ok := parseIfMatch(c.Request().Header.Values("If-Match"))
		if !ok {
			return c.JSON(
				http.StatusBadRequest,
				responseBody{Message: "If-Match must hold the number of the version that the change builds on"},
			)
		}
		body, release, err := a.readBody(c.Request())
		if errors.Is(err, errBodyTooLarge) {
			return a.handleTooLarge(c, ifMatch, patch, body)
		}
		if err != nil {
			return writeBodyError(c, err)
		}
		change := configuration.ChangeRequest{IfMatch: ifMatch, Patch: patch, Body: body}
		decided, finished := a.changes.do(
			c.Request().Context(),
			change.Digest(),
			func() decision { return a.decide(change, arrived) },
			release,
		)
		if !finished {
			return c.Request().Context().Err()
		}
		return decided.write(c)
	}
}

// parseIfMatch parses the values of the If-Match header: there must be a single one, a generation with or without
// quotes. It reports whether the header is valid.
func parseIfMatch(values []string) (uint64, bool) {
	if len(values) != 1 {
		return 0, false
	}
	text := strings.TrimSpace(values[0])
	if len(text) > 2 && text[0] == '"' && text[len(text)-1] == '"' {
		text = text[1 : len(text)-1]
	}
	number, err := strconv.ParseUint(text, 10, 64)
	return number, err == nil
}

// handleTooLarge answers a change whose body exceeds this process's limit. A process with more memory may have
// accepted the change earlier. Before the change is rejected it is therefore looked up by its digest, which is
// computed without holding the body in memory.
func (a *API) handleTooLarge(c echo.Context, ifMatch uint64, patch bool, beginning []byte) error {
	c.Response().Header().Set("Connection", "close")
	rejection := responseBody{Message: errBodyTooLarge.Error()}
	if c.Request().ContentLength > maxBodyBytes {
		return c.JSON(http.StatusRequestEntityTooLarge, rejection) // above the maximum limit of any process
	}
	digester := configuration.NewDigester(ifMatch, patch)
	_, _ = digester.Write(beginning) // a hash never returns an error
	rest, err := io.Copy(digester, io.LimitReader(c.Request().Body, maxBodyBytes+1))
	if err != nil {
		return writeBodyError(c, err)
	}
	if int64(len(beginning))+rest > maxBodyBytes {
		return c.JSON(http.StatusRequestEntityTooLarge, rejection)
	}
	if err := a.awaitReadable(c.Request().Context()); err != nil {
		return writeUnavailable(c, "it can't be told here now whether the order was taken: "+err.Error())
	}
	result := configuration.Result{Status: a.options.State.ChangeStatus(digester.Digest(), ifMatch),
		Generation: a.options.State.Configuration().Generation}
	if result.Status == configuration.StatusStale {
		return c.JSON(http.StatusRequestEntityTooLarge, rejection)
	}
	return decisionOf(result).write(c)
}
