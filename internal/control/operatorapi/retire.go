package operatorapi

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"sprucelane.example/sprucelane/internal/control/statemachine"
)

// maxRetireBodyBytes limits the body of a retirement.
const maxRetireBodyBytes = 64 << 10

// maxRetireDeadline is the longest deadline of a retirement.
const maxRetireDeadline = 30 * 24 * time.Hour

// retireRequest is the body of a retirement. An empty body has no deadline.
type retireRequest struct {
	// DeadlineSeconds is the time within which the operator expects the machine to be drained. The retirement ends when
	// that is so, also later: this process logs that it is late (store_retirement_overdue).
	DeadlineSeconds *float64 `json:"deadline-s"`
}

// parseRetireRequest returns the deadline that a body has, 0 for none.
func parseRetireRequest(body []byte) (time.Duration, error) {
	if len(bytes.TrimSpace(body)) == 0 {
		return 0, nil
	}
	var request retireRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return 0, fmt.Errorf("the body is no retirement: %w", err)
	}
	if request.DeadlineSeconds == nil {
		return 0, nil
	}
	seconds := *request.DeadlineSeconds
	if seconds <= 0 || seconds > maxRetireDeadline.Seconds() {
		return 0, fmt.Errorf("deadline-s: %v is not above 0 and at most %v", seconds, maxRetireDeadline.Seconds())
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// handleRetire handles POST /retire/:node.
func (a *API) handleRetire(c echo.Context) error {
	arrived := time.Now()
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxRetireBodyBytes))
	if err != nil {
		return writeBodyError(c, err)
	}
	deadline, err := parseRetireRequest(body)
	if err != nil {
		return c.JSON(http.StatusBadRequest, responseBody{Message: err.Error()})
	}
	name := c.Param("node")
	outcome, err := a.retireNode(name, arrived)
	if err != nil {
		return writeUnavailable(c, "the retirement can't be ordered here now: "+err.Error())
	}
	a.options.Log.Info().Str("store", name).Stringer("outcome", outcome).Msg("store_retirement_requested")
	switch outcome {
	case statemachine.StoreUnknown:
		return c.JSON(http.StatusNotFound, responseBody{Message: "no such store machine"})
	case statemachine.StoreTooFew:
		return c.JSON(http.StatusConflict, responseBody{Message: "too few store machines would remain"})
	case statemachine.StoreChanged:
		a.watchRetirement(name, deadline)
	}
	return a.writeRetirement(c, name)
}

// watchRetirement logs if a machine isn't drained at the deadline of its retirement, 0 for none. A process that ends
// before logs nothing.
func (a *API) watchRetirement(name string, deadline time.Duration) {
	if deadline == 0 {
		return
	}
	time.AfterFunc(deadline, func() {
		if a.options.State.Retirement(name) == statemachine.RetirementActive {
			a.options.Log.Warn().Str("store", name).Dur("deadline", deadline).Msg("store_retirement_overdue")
		}
	})
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
