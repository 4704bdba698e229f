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

// injectedBug is a bug that is injected into a simulation to verify that the checks find it.
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

// wrapChain returns the chain as the API sees it, with the bug injected if it concerns the chain.
func (b injectedBug) wrapChain(inner Chain) Chain {
	switch b {
	case bugIDIsBaseVersion:
		return baseVersionIDChain{inner}
	case bugUnprovenRejection:
		return unprovenReadChain{inner}
	}
	return inner
}

// baseVersionIDChain uses the same proposal id for all changes that build on the same version.
type baseVersionIDChain struct{ Chain }

func (c baseVersionIDChain) Propose(ctx context.Context, _ string, change []byte) ([]byte, error) {
	var command statemachine.Command
	if err := gob.NewDecoder(bytes.NewReader(change)).Decode(&command); err != nil {
		return nil, err
	}
	return c.Chain.Propose(ctx, fmt.Sprint("configuration-", command.Configuration.IfMatch), change)
}

// unprovenReadChain lets the API read the local state without a proof that it is current.
type unprovenReadChain struct{ Chain }

func (c unprovenReadChain) Read(context.Context) error { return nil }

// changeDroppingStateMachine drops the record of accepted changes when it is restored from a snapshot.
type changeDroppingStateMachine struct{ *statemachine.StateMachine }

func (m *changeDroppingStateMachine) Restore(raw []byte) error {
	var snapshot struct{ Configuration []byte } // the simulation has no stores and grants no quota
	var state struct {
		Index    uint64
		Document []byte
	}
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&snapshot); err != nil {
		return err
	}
	if err := gob.NewDecoder(bytes.NewReader(snapshot.Configuration)).Decode(&state); err != nil {
		return err
	}
	snapshot.Configuration = mustEncode(state)
	return m.StateMachine.Restore(mustEncode(snapshot))
}

func mustEncode(value any) []byte {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(value); err != nil {
		panic(err)
	}
	return out.Bytes()
}

// wrapHandler returns the API's handler, with the bug injected if it concerns the API itself.
func (b injectedBug) wrapHandler(api *API, inner http.Handler) http.Handler {
	switch b {
	case bugUnprovenGet:
		return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
			if request.Method == http.MethodGet {
				writeUnprovenVersion(response, api.options.State.Configuration())
				return
			}
			inner.ServeHTTP(response, request)
		})
	case bugBaseBeforeRepeat:
		return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
			number, _ := strconv.ParseUint(request.Header.Get("If-Match"), 10, 64)
			if request.Method != http.MethodGet && api.awaitReadable(request.Context()) == nil &&
				number < api.options.State.Configuration().Generation {
				response.WriteHeader(http.StatusPreconditionFailed)
				return
			}
			inner.ServeHTTP(response, request)
		})
	case bugStaleResponse:
		return &staleResponder{next: inner}
	}
	return inner
}

// writeUnprovenVersion writes the local version of the configuration as the response.
func writeUnprovenVersion(response http.ResponseWriter, version *configuration.Version) {
	if version.Generation == 0 {
		response.WriteHeader(http.StatusNotFound)
		return
	}
	response.Header().Set("ETag", strconv.Quote(strconv.FormatUint(version.Generation, 10)))
	_, _ = response.Write(version.JSON())
}

// staleResponder answers every second GET with the response to the previous GET.
type staleResponder struct {
	next  http.Handler
	mutex sync.Mutex
	kept  *httptest.ResponseRecorder
}

func (s *staleResponder) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodGet {
		s.next.ServeHTTP(response, request)
		return
	}
	s.mutex.Lock()
	kept := s.kept
	s.kept = nil
	s.mutex.Unlock()
	if kept == nil {
		kept = httptest.NewRecorder()
		s.next.ServeHTTP(kept, request.WithContext(context.WithoutCancel(request.Context())))
		s.mutex.Lock()
		s.kept = kept
		s.mutex.Unlock()
	}
	response.Header().Set("ETag", kept.Header().Get("ETag"))
	response.WriteHeader(kept.Code)
	_, _ = response.Write(kept.Body.Bytes())
}
