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

// maxRetireBodyBytes is the maximum number of bytes that are read of the body of a retirement.
const maxRetireBodyBytes = 64 << 10

// maxRetireDeadline is the longest deadline that a retirement may have.
const maxRetireDeadline = 30 * 24 * time.Hour

// retireRequest is the body of a retirement. An empty body has no deadline.
type retireRequest struct {
	// DeadlineSeconds is the time within which the operator expects the machine to be drained. The retirement is not
	// aborted at the deadline: it ends when the machine is drained. If that has not happened by the deadline, this
	// process logs store_retirement_overdue.
	DeadlineSeconds *float64 `json:"deadline-s"`
}

// parseRetireRequest returns the deadline in the body of a retirement, or 0 if it has none.
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

// watchRetirement logs store_retirement_overdue if a machine is still not drained when the deadline of its retirement
// has passed. A deadline of 0 means none. If this process ends before the deadline, nothing is logged.
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

// retireNode proposes a retirement until its outcome is known or unavailableAfter has passed since the request
// arrived. Repeating the proposal is harmless, because it doesn't change a retirement that has already begun.
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

// proposeRetirement proposes a retirement once and returns its outcome.
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

// writeRetirement writes the state of a node's retirement as the response.
func (a *API) writeRetirement(c echo.Context, name string) error {
	switch a.options.State.Retirement(name) {
	case statemachine.RetirementActive:
		return c.JSON(http.StatusOK, responseBody{State: "active"})
	case statemachine.RetirementCompleted:
		return c.JSON(http.StatusOK, responseBody{State: "completed"})
	}
	return c.JSON(http.StatusNotFound, responseBody{Message: errNoRetirement.Error()})
}

// errNoRetirement is the message of a 404 if no retirement of the node is on record.
var errNoRetirement = errors.New("no retirement of such a store machine was ordered")

// newID returns a unique id for a proposal. It begins with kind.
func newID(kind string) string {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never returns an error: without a source of randomness it ends the process
	return kind + "-" + hex.EncodeToString(random[:])
}
