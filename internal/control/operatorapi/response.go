package operatorapi

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/node"
)

// writeBodyError writes the response to a request whose body can't be read.
func writeBodyError(c echo.Context, err error) error {
	if errors.Is(err, errBodiesBusy) {
		return writeUnavailable(c, err.Error())
	}
	c.Response().Header().Set("Connection", "close")
	return c.JSON(http.StatusBadRequest, responseBody{Message: "the body can't be read whole: " + err.Error()})
}

// write writes the decision as the response.
func (d decision) write(c echo.Context) error {
	if d.status == http.StatusServiceUnavailable {
		return writeUnavailable(c, d.reason)
	}
	if d.status == http.StatusGatewayTimeout {
		c.Response().Header().Set("Connection", "close")
		return c.JSON(d.status, responseBody{Message: d.reason})
	}
	if d.status == http.StatusOK {
		c.Response().Header().Set("ETag", strconv.Quote(strconv.FormatUint(d.body.Generation, 10)))
	}
	return c.JSON(d.status, d.body)
}

// responseBody is the body of all responses except a successful GET /config.
type responseBody struct {
	Generation uint64        `json:"generation,omitempty"`
	State      string        `json:"state,omitempty"`
	Message    string        `json:"message,omitempty"`
	Findings   []findingBody `json:"findings,omitempty"`
}

// findingBody is one finding about an invalid configuration.
type findingBody struct {
	Place string `json:"place,omitempty"`
	Text  string `json:"text"`
}

// findingBodies converts findings to the form that is sent in a response.
func findingBodies(findings node.Findings) []findingBody {
	list := make([]findingBody, len(findings))
	for i, finding := range findings {
		list[i] = findingBody{Place: finding.Place, Text: finding.Text}
	}
	return list
}

// handleError writes the response to requests that echo itself rejects, such as unknown paths and methods, and to
// requests whose handler has returned an error.
func (a *API) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, message := http.StatusInternalServerError, "internal error"
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status, message = httpError.Code, http.StatusText(httpError.Code)
	} else {
		a.options.Log.Error().Err(err).Str("path", c.Path()).Msg("operator_request_failed")
	}
	_ = c.JSON(status, responseBody{Message: message}) // fails only if the caller has disconnected
}

// writeUnavailable writes a 503, upon which the operator should ask another control process.
func writeUnavailable(c echo.Context, message string) error {
	c.Response().Header().Set(echo.HeaderRetryAfter, "0.2")
	return c.JSON(http.StatusServiceUnavailable, responseBody{Message: message})
}

// writeVersion writes a version of the configuration as the response.
func writeVersion(c echo.Context, version *configuration.Version) error {
	c.Response().Header().Set("ETag", strconv.Quote(strconv.FormatUint(version.Generation, 10)))
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, version.JSON())
}
