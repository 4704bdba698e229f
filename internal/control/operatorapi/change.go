package operatorapi

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/control/schema"
	"sprucelane.example/sprucelane/internal/control/statemachine"
)

// change answers PUT and PATCH /config.
func (a *API) handleChange(patch bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		arrived := time.Now()
		ifMatch, ok := parseIfMatch(c.Request().Header.Values("If-Match"))
		if !ok {
			return c.JSON(http.StatusBadRequest, responseBody{Message: "If-Match must hold the number of the version that the change builds on"})
		}
		body, release, err := a.readBody(c.Request())
		if errors.Is(err, errBodyTooLarge) {
			return a.handleTooLarge(c, ifMatch, patch, body)
		}
		if err != nil {
			return writeBodyError(c, err)
		}
		order := configuration.ChangeRequest{IfMatch: ifMatch, Patch: patch, Body: body}
		verdict, finished := a.orders.do(c.Request().Context(), order.Digest(), func() decision { return a.decide(order, arrived) }, release)
		if !finished {
			return c.Request().Context().Err()
		}
		return verdict.write(c)
	}
}

// parseIfMatch reads a version's number, bare or in quotes.
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

var (
	errBodyTooLarge = errors.New("the body is too large")
	errBodiesBusy   = errors.New("other large configurations are under way")
)

// readBody reads a request's body within the bounds. The function that it gives returns what the body holds of them. With
// errBodyTooLarge the bytes are the beginning that was read.
func (a *API) readBody(request *http.Request) ([]byte, func(), error) {
	if request.ContentLength > a.maxBodyBytes {
		return nil, nil, errBodyTooLarge
	}
	reserved := request.ContentLength
	if reserved < 0 {
		reserved = a.maxBodyBytes
	}
	if !a.bodies.reserve(reserved) {
		return nil, nil, errBodiesBusy
	}
	release := func() { a.bodies.release(reserved) }
	body, err := readAll(request, a.maxBodyBytes)
	if err != nil {
		release()
		return body, nil, err
	}
	return body, release, nil
}

func readAll(request *http.Request, most int64) ([]byte, error) {
	if request.ContentLength >= 0 {
		body := make([]byte, request.ContentLength)
		_, err := io.ReadFull(request.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, most+1))
	if err == nil && int64(len(body)) > most {
		return body, errBodyTooLarge
	}
	return body, err
}

// tooLarge answers an order whose body is over what this process takes. Another with more memory may have taken it: the order is
// looked for by its digest, without holding the body, before it is refused.
func (a *API) handleTooLarge(c echo.Context, ifMatch uint64, patch bool, beginning []byte) error {
	c.Response().Header().Set("Connection", "close")
	refusal := responseBody{Message: errBodyTooLarge.Error()}
	if c.Request().ContentLength > maxBodyBytes {
		return c.JSON(http.StatusRequestEntityTooLarge, refusal) // none takes it
	}
	digester := configuration.NewDigester(ifMatch, patch)
	_, _ = digester.Write(beginning) // a hash takes all
	rest, err := io.Copy(digester, io.LimitReader(c.Request().Body, maxBodyBytes+1))
	if err != nil {
		return writeBodyError(c, err)
	}
	if int64(len(beginning))+rest > maxBodyBytes {
		return c.JSON(http.StatusRequestEntityTooLarge, refusal)
	}
	if err := a.awaitReadable(c.Request().Context()); err != nil {
		return writeUnavailable(c, "it can't be told here now whether the order was taken: "+err.Error())
	}
	result := configuration.Result{Status: a.options.State.Remembered(digester.Digest(), ifMatch),
		Generation: a.options.State.Configuration().Generation}
	if result.Status == configuration.StatusStale {
		return c.JSON(http.StatusRequestEntityTooLarge, refusal)
	}
	return decisionOf(result).write(c)
}

func writeBodyError(c echo.Context, err error) error {
	if errors.Is(err, errBodiesBusy) {
		return writeUnavailable(c, err.Error())
	}
	c.Response().Header().Set("Connection", "close")
	return c.JSON(http.StatusBadRequest, responseBody{Message: "the body can't be read whole: " + err.Error()})
}

// verdict is what an order gets.
type decision struct {
	status int
	body   responseBody
	reason string // not empty: no clear answer, with the reason
}

func (v decision) write(c echo.Context) error {
	if v.status == http.StatusServiceUnavailable {
		return writeUnavailable(c, v.reason)
	}
	if v.status == http.StatusGatewayTimeout {
		c.Response().Header().Set("Connection", "close")
		return c.JSON(v.status, responseBody{Message: v.reason})
	}
	if v.status == http.StatusOK {
		c.Response().Header().Set("ETag", strconv.Quote(strconv.FormatUint(v.body.Generation, 10)))
	}
	return c.JSON(v.status, v.body)
}

// decide finds out what an order gets: it reads acknowledged state, refuses what that refuses, and proposes the rest. It goes
// on when the operator has gone, as an order that is under way can't be called back.
func (a *API) decide(order configuration.ChangeRequest, arrived time.Time) decision {
	log := a.options.Log.With().Uint64("if-match", order.IfMatch).Bool("patch", order.Patch).Int("bytes", len(order.Body)).Logger()
	decided := a.submit(order, arrived)
	event := log.Info()
	if decided.reason != "" {
		event = log.Warn().Str("reason", decided.reason)
	}
	for _, one := range decided.body.Findings {
		log.Debug().Str("place", one.Place).Str("text", one.Text).Msg("configuration-finding")
	}
	event.Int("status", decided.status).Uint64("generation", decided.body.Generation).Int("findings", len(decided.body.Findings)).
		Dur("took", time.Since(arrived)).Msg("configuration-order")
	return decided
}

func (a *API) submit(order configuration.ChangeRequest, arrived time.Time) decision {
	raw, err := statemachine.Command{Configuration: &order}.Encode()
	if err != nil {
		return decision{status: http.StatusServiceUnavailable, reason: err.Error()}
	}
	attempts := orderSubmission{api: a, order: order, raw: raw, id: proposalID(order), unavailableAt: arrived.Add(unavailableAfter),
		deadline: arrived.Add(a.options.Bounds.Acknowledge * 4 / 5)}
	return attempts.run()
}

// shapeFindings checks the shape of an order that builds on the version in force. One that was taken is never held to it: the
// rules may have changed since.
func shapeFindings(order configuration.ChangeRequest) []findingBody {
	if json.Valid(order.Body) {
		if found := schema.Check(order.Body, order.Patch); len(found) > 0 {
			return findingBodies(found)
		}
	}
	if found := configuration.ValidateStandalone(order); len(found) > 0 {
		return findingBodies(found)
	}
	return nil
}

func proposalID(order configuration.ChangeRequest) string {
	digest := order.Digest()
	return "configuration-" + hex.EncodeToString(digest[:])
}

// attempt carries one order to an end.
type orderSubmission struct {
	api           *API
	order         configuration.ChangeRequest
	raw           []byte
	id            string
	unavailableAt time.Time // how long it waits while it was surely not taken
	deadline      time.Time // how long it waits at all
	uncertain     bool      // a proposal may be under way
	shapeChecked  bool      // the shape was checked and is sound
}

func (t *orderSubmission) run() decision {
	for {
		decided, err := t.attempt()
		if err == nil {
			return decided
		}
		if !waitToRetry(context.Background(), t.retryUntil()) {
			return t.giveUp(err)
		}
	}
}

func (t *orderSubmission) retryUntil() time.Time {
	if t.uncertain {
		return t.deadline
	}
	return t.unavailableAt
}

func (t *orderSubmission) giveUp(err error) decision {
	if t.uncertain {
		return decision{status: http.StatusGatewayTimeout, reason: "the order may have been taken: " + err.Error()}
	}
	return decision{status: http.StatusServiceUnavailable, reason: "no order is taken here now: " + err.Error()}
}

// once reads, and proposes what would be taken. An error leaves the matter open. Nothing is refused before the read: what is known
// here may be old, and the order may have been taken elsewhere.
func (t *orderSubmission) attempt() (decision, error) {
	ctx, cancel := context.WithTimeout(context.Background(), min(readTimeout, time.Until(t.retryUntil())))
	err := t.api.options.Chain.Read(ctx)
	cancel()
	if err != nil {
		return decision{}, err
	}
	result := t.api.options.State.Evaluate(t.order)
	if result.Repeated || result.Status != configuration.StatusAccepted && result.Status != configuration.StatusInvalid {
		return decisionOf(result), nil
	}
	if !t.shapeChecked {
		if findings := shapeFindings(t.order); len(findings) > 0 {
			return decision{status: http.StatusBadRequest, body: responseBody{Message: "the configuration is invalid", Findings: findings}}, nil
		}
		t.shapeChecked = true
	}
	if result.Status == configuration.StatusInvalid {
		return decisionOf(result), nil
	}
	return t.propose()
}

func (t *orderSubmission) propose() (decision, error) {
	ctx, cancel := context.WithTimeout(context.Background(), min(proposeTimeout, time.Until(t.deadline)))
	defer cancel()
	raw, err := t.api.options.Chain.Propose(ctx, t.id, t.raw)
	if err != nil {
		t.uncertain = t.uncertain || !errors.Is(err, ErrUnavailable)
		return decision{}, err
	}
	outcome, err := statemachine.DecodeOutcome(raw)
	if err != nil || outcome.Configuration == nil {
		t.uncertain = true
		return decision{}, errors.Join(errors.New("the order's outcome can't be read"), err)
	}
	return decisionOf(*outcome.Configuration), nil
}

func decisionOf(result configuration.Result) decision {
	decided := decision{status: int(result.Status), body: responseBody{Generation: result.Generation}}
	switch result.Status {
	case configuration.StatusStale:
		decided.body.Message = "another version is current"
	case configuration.StatusInvalid:
		decided.body.Message = "the configuration is invalid"
		decided.body.Findings = findingBodies(result.Findings)
	case configuration.StatusUnknown:
		decided.reason = "the order builds on a version so old that it isn't known whether it was taken"
	}
	return decided
}
