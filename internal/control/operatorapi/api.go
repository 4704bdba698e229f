package operatorapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/node"
)

// Chain is the part of the replicated log that the API uses.
type Chain interface {
	// Propose returns the state machine's outcome once the command is durable. ErrUnavailable means that the
	// command was not committed and never will be; after any other error it may have been committed or may yet
	// be. Commands with the same id are executed once.
	Propose(ctx context.Context, id string, command []byte) ([]byte, error)
	// Read returns once all commands that were acknowledged before the call have been applied by this process.
	Read(ctx context.Context) error
}

// ErrUnavailable is returned for a command that was certainly not committed and never will be.
var ErrUnavailable = errors.New("the chain takes no orders now")

// Limits of the API.
const (
	maxBodyBytes     = 24 << 20                // of one configuration; a frame between control processes must hold two
	unavailableAfter = 900 * time.Millisecond  // time until 503 while the chain is unavailable; clients wait for 1 s
	retryInterval    = 60 * time.Millisecond   // between attempts
	readTimeout      = 400 * time.Millisecond  // of one read of the chain
	proposeTimeout   = 1500 * time.Millisecond // of one proposal
	headerTimeout    = 3 * time.Second         // for a request's header
	idleTimeout      = 30 * time.Second        // of a connection without requests
	maxHeaderBytes   = 16 << 10
)

// Options configure an API.
type Options struct {
	State  *statemachine.StateMachine
	Chain  Chain
	Bounds node.Bounds
	// MaxBodyBytes limits the size of one configuration. All configurations held at a time may take twice as much.
	// 0 means 24 MB, which is also the maximum.
	MaxBodyBytes int
	// MinActiveStores is the minimum number of active store machines that must remain when one retires. It is the
	// number of replicas of a batch job, f + 1.
	MinActiveStores int
	// Metrics serves GET /metrics. If nil, that path does not exist.
	Metrics http.Handler
	Log     zerolog.Logger
}

// API handles the operator's requests. It is safe for concurrent use.
type API struct {
	options      Options
	changes      changeGroup // changes that are being decided
	bodies       byteBudget  // of the bodies of those changes
	maxBodyBytes int64       // of one configuration
}

// New returns an API. It is served through its Handler or Server.
func New(options Options) *API {
	limit := int64(maxBodyBytes)
	if options.MaxBodyBytes > 0 {
		limit = min(limit, int64(options.MaxBodyBytes))
	}
	return &API{options: options, changes: newChangeGroup(), bodies: byteBudget{limit: 2 * limit}, maxBodyBytes: limit}
}

// Handler returns the HTTP handler for all paths of the API.
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
	if a.options.Metrics != nil {
		router.GET("/metrics", echo.WrapHandler(a.options.Metrics))
	}
	return router
}

// Server returns an HTTP server for the API, with time-outs and the limit on headers set.
func (a *API) Server() *http.Server {
	return &http.Server{
		Handler:           a.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
