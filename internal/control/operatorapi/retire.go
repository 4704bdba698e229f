package operatorapi

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"sprucelane.example/sprucelane/internal/control/statemachine"
)

// maxRetireBodyBytes limits the body of a retirement. Its content is ignored: a retirement ends when the
// machine is drained, at no deadline.
const maxRetireBodyBytes = 64 << 10

// handleRetire handles POST /retire/:node.
func (a *API) handleRetire(c echo.Context) error {
	arrived := time.Now()
	if _, err := io.Copy(io.Discard, io.LimitReader(c.Request().Body, maxRetireBodyBytes)); err != nil {
		return writeBodyError(c, err)
	}
	name := c.Param("node")
	outcome, err := a.retireNode(name, arrived)
	if err != nil {
		return writeUnavailable(c, "the retirement can't be ordered here now: "+err.Error())
	}
	a.options.Log.Info().Str("store", name).Int("outcome", int(outcome)).Msg("store_retirement_requested")
	switch outcome {
	case statemachine.StoreUnknown:
		return c.JSON(http.StatusNotFound, responseBody{Message: "no such store machine"})
	case statemachine.StoreTooFew:
		return c.JSON(http.StatusConflict, responseBody{Message: "too few store machines would remain"})
	}
	return a.writeRetirement(c, name)
}

// retireNode proposes a retirement until its outcome is known. Repeating it is harmless: a retirement under
// way isn't changed by it.
func (a *API) retireNode(name string, arrived time.Time) (statemachine.StoreOutcome, error) {
	command, err := statemachine.Command{
		Retire: &statemachine.Retire{Node: name, Remain: a.options.MinActiveStores},
	}.Encode()
	if err != nil {
		return 0, err
	}
	for {
		outcome, err := a.proposeRetirement(name, command)
		if err == nil || !waitToRetry(context.Background(), arrived.Add(unavailableAfter)) {
			return outcome, err
		}
	}
}

// proposeRetirement proposes a retirement once.
func (a *API) proposeRetirement(name string, command []byte) (statemachine.StoreOutcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	reply, err := a.options.Chain.Propose(ctx, newID("retire-"+name), command)
	if err != nil {
		return 0, err
	}
	outcome, err := statemachine.DecodeOutcome(reply)
	return outcome.Store, err
}

// handleRetirement handles GET /retire/:node.
func (a *API) handleRetirement(c echo.Context) error {
	if err := a.awaitReadable(c.Request().Context()); err != nil {
		return writeUnavailable(c, "the retirement can't be told here now: "+err.Error())
	}
	return a.writeRetirement(c, c.Param("node"))
}

// writeRetirement writes the state of a retirement as the response.
func (a *API) writeRetirement(c echo.Context, name string) error {
	switch a.options.State.Retirement(name) {
	case statemachine.RetirementActive:
		return c.JSON(http.StatusOK, responseBody{State: "active"})
	case statemachine.RetirementCompleted:
		return c.JSON(http.StatusOK, responseBody{State: "completed"})
	}
	return c.JSON(http.StatusNotFound, responseBody{Message: errNoRetirement.Error()})
}

// errNoRetirement is the message of a 404: no retirement of the node is remembered.
var errNoRetirement = errors.New("no retirement of such a store machine was ordered")

// newID returns an id that no other proposal has.
func newID(kind string) string {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails: it ends the process where the system has no randomness
	return kind + "-" + hex.EncodeToString(random[:])
}
