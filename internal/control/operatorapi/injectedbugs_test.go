package operatorapi

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/control/statemachine"
)

// injectedBug is a bug that the checks must find.
type injectedBug string

// Bugs that can be injected into a simulation.
const (
	bugNone                 injectedBug = ""
	bugIDIsBaseVersion      injectedBug = "a change is identified only by the version that it builds on"
	bugUnprovenRejection    injectedBug = "changes are rejected by state that was not proven"
	bugUnprovenGet          injectedBug = "GET answers from state that was not proven"
	bugSnapshotDropsChanges injectedBug = "a snapshot drops which changes were accepted"
	bugBaseBeforeRepeat     injectedBug = "a change is rejected before it is looked for among those accepted"
	bugStaleResponse        injectedBug = "a caller gets the response of the one before"
)

// wrapChain injects a bug into the API's view of the chain.
func (p injectedBug) wrapChain(whole Chain) Chain {
	switch p {
	case bugIDIsBaseVersion:
		return baseVersionIDChain{whole}
	case bugUnprovenRejection:
		return unprovenReadChain{whole}
	}
	return whole
}

// baseVersionIDChain takes all changes that build on one version for the same change.
type baseVersionIDChain struct{ Chain }

func (c baseVersionIDChain) Propose(ctx context.Context, _ string, change []byte) ([]byte, error) {
	var command statemachine.Command
	if err := gob.NewDecoder(bytes.NewReader(change)).Decode(&command); err != nil {
		return nil, err
	}
	return c.Chain.Propose(ctx, fmt.Sprint("configuration-", command.Configuration.IfMatch), change)
}

// unprovenReadChain reads the local state without a proof that it is current.
type unprovenReadChain struct{ Chain }

func (c unprovenReadChain) Read(context.Context) error { return nil }

// forgetfulStateMachine forgets which changes were accepted when it is restored from a snapshot.
type forgetfulStateMachine struct{ *statemachine.StateMachine }

func (m *forgetfulStateMachine) Restore(raw []byte) error {
	var whole struct{ Configuration []byte } // the simulation has no stores and grants no quota
	var state struct {
		Index    uint64
		Document []byte
	}
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&whole); err != nil {
		return err
	}
	if err := gob.NewDecoder(bytes.NewReader(whole.Configuration)).Decode(&state); err != nil {
		return err
	}
	whole.Configuration = mustEncode(state)
	return m.StateMachine.Restore(mustEncode(whole))
}

func mustEncode(value any) []byte {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(value); err != nil {
		panic(err)
	}
	return out.Bytes()
}

// wrapHandler injects a bug into the API itself.
func (p injectedBug) wrapHandler(api *API, whole http.Handler) http.Handler {
	switch p {
	case bugUnprovenGet:
		return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
			if request.Method == http.MethodGet {
				writeUnprovenVersion(response, api.options.State.Configuration())
				return
			}
			whole.ServeHTTP(response, request)
		})
	case bugBaseBeforeRepeat:
		return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
			number, _ := strconv.ParseUint(request.Header.Get("If-Match"), 10, 64)
			if request.Method != http.MethodGet && api.awaitReadable(request.Context()) == nil &&
				number < api.options.State.Configuration().Generation {
				response.WriteHeader(http.StatusPreconditionFailed)
				return
			}
			whole.ServeHTTP(response, request)
		})
	case bugStaleResponse:
		return &staleResponder{next: whole}
	}
	return whole
}

// writeUnprovenVersion writes the local version as a response.
func writeUnprovenVersion(response http.ResponseWriter, version *configuration.Version) {
	if version.Generation == 0 {
		response.WriteHeader(http.StatusNotFound)
		return
	}
	response.Header().Set("ETag", strconv.Quote(strconv.FormatUint(version.Generation, 10)))
	_, _ = response.Write(version.JSON())
}

// staleResponder answers each second GET with the response to the one before.
type staleResponder struct {
	next  http.Handler
	mutex sync.Mutex
	kept  *httptest.ResponseRecorder
}

func (l *staleResponder) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodGet {
		l.next.ServeHTTP(response, request)
		return
	}
	l.mutex.Lock()
	kept := l.kept
	l.kept = nil
	l.mutex.Unlock()
	if kept == nil {
		kept = httptest.NewRecorder()
		l.next.ServeHTTP(kept, request.WithContext(context.WithoutCancel(request.Context())))
		l.mutex.Lock()
		l.kept = kept
		l.mutex.Unlock()
	}
	response.Header().Set("ETag", kept.Header().Get("ETag"))
	response.WriteHeader(kept.Code)
	_, _ = response.Write(kept.Body.Bytes())
}
