// Package operatorapi is the operator's API: configurations, and the retirement of store machines. It answers what is true of
// acknowledged state only: a 200 is durable, a 400, 404, 409 or 412 is of a state that was read through the chain. Where the
// chain can't be asked it answers 503, and the operator turns to another control process. It must never decide what is valid.
package operatorapi

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/node"
)

// Chain is what the API needs of the chain.
type Chain interface {
	// Propose returns nil once the order is durable, with what the state machine gave for it. The error is ErrUnavailable where
	// the order was surely not taken and never will be, and else leaves that open. The same id is carried out once.
	Propose(ctx context.Context, id string, order []byte) ([]byte, error)
	// Read returns once all that was acknowledged before the call is applied here.
	Read(ctx context.Context) error
}

// ErrUnavailable tells that an order was surely not taken.
var ErrUnavailable = errors.New("the chain takes no orders now")

// Limits of the API.
const (
	maxBodyBytes     = 24 << 20               // bytes of one configuration, whatever the memory: a frame between processes holds two
	unavailableAfter = 900 * time.Millisecond // how long an order waits for a chain that takes none; the operator moves on after 1 s
	retryInterval    = 60 * time.Millisecond
	readTimeout      = 400 * time.Millisecond
	proposeTimeout   = 1500 * time.Millisecond
	headerTimeout    = 3 * time.Second
	idleTimeout      = 30 * time.Second
	maxHeaderBytes   = 16 << 10
)

// Options are what the API is made of.
type Options struct {
	State  *statemachine.StateMachine
	Chain  Chain
	Bounds node.Bounds
	// BytesMost bounds one configuration; two of that size may be under way. 0: 24 MB.
	MaxBodyBytes    int
	MinActiveStores int // active store machines that must remain when one retires: f + 1
	Log             zerolog.Logger
}

// API answers the operator.
type API struct {
	options      Options
	orders       orderGroup
	bodies       byteBudget
	maxBodyBytes int64 // bytes of one configuration
}

// New makes the API. Its Handler can be served as it is.
func New(options Options) *API {
	most := int64(maxBodyBytes)
	if options.MaxBodyBytes > 0 {
		most = min(most, int64(options.MaxBodyBytes))
	}
	return &API{options: options, orders: newOrderGroup(), bodies: byteBudget{limit: 2 * most}, maxBodyBytes: most}
}

// Handler gives the API's routes.
func (a *API) Handler() http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	router.HTTPErrorHandler = a.handleError
	router.PUT("/config", a.handleChange(false))
	router.PATCH("/config", a.handleChange(true))
	router.GET("/config", a.handleRead)
	router.POST("/retire/:node", a.handleRetire)
	router.GET("/retire/:node", a.handleRetirement)
	return router
}

// Server gives a server for the API with its limits set.
func (a *API) Server() *http.Server {
	return &http.Server{
		Handler:           a.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// answer is the body of every answer but a configuration's.
type responseBody struct {
	Generation uint64        `json:"generation,omitempty"`
	State      string        `json:"state,omitempty"`
	Message    string        `json:"message,omitempty"`
	Findings   []findingBody `json:"findings,omitempty"`
}

// answerFinding is one fault of a configuration.
type findingBody struct {
	Place string `json:"place,omitempty"`
	Text  string `json:"text"`
}

func findingBodies(findings node.Findings) []findingBody {
	list := make([]findingBody, len(findings))
	for i, one := range findings {
		list[i] = findingBody{Place: one.Place, Text: one.Text}
	}
	return list
}

// failed answers what echo found wrong itself: an unknown path, another method.
func (a *API) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, message := http.StatusInternalServerError, "internal error"
	var known *echo.HTTPError
	if errors.As(err, &known) {
		status, message = known.Code, http.StatusText(known.Code)
	} else {
		a.options.Log.Error().Err(err).Str("path", c.Path()).Msg("operator-request-failed")
	}
	_ = c.JSON(status, responseBody{Message: message}) // the caller has gone
}

// unavailable answers that another control process is to be asked.
func writeUnavailable(c echo.Context, message string) error {
	c.Response().Header().Set(echo.HeaderRetryAfter, "0.2")
	return c.JSON(http.StatusServiceUnavailable, responseBody{Message: message})
}

// readable waits until acknowledged state can be read here, for as long as an operator waits.
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

// pause waits before another attempt, and tells whether there is time for one.
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

func writeVersion(c echo.Context, version *configuration.Version) error {
	c.Response().Header().Set("ETag", strconv.Quote(strconv.FormatUint(version.Generation, 10)))
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, version.JSON())
}
