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

// plant is a bug that the checks must find.
type plant string

// Bugs that a world can be given.
const (
	plantNone        plant = ""
	plantNumbersOnly plant = "an order is known by the number that it builds on alone"
	plantOldState    plant = "orders are refused from state that was not proven"
	plantUnproven    plant = "GET answers without proof"
	plantForgetful   plant = "which orders were taken is forgotten at a snapshot"
	plantHasty       plant = "an order is refused before it is looked for among those taken"
	plantLeftOver    plant = "a caller gets the answer of the one before"
)

// chain spoils what the API has of the chain.
func (p plant) chain(whole Chain) Chain {
	switch p {
	case plantNumbersOnly:
		return numberedChain{whole}
	case plantOldState:
		return unprovenChain{whole}
	}
	return whole
}

// numberedChain takes orders that build on one version for the same.
type numberedChain struct{ Chain }

func (c numberedChain) Propose(ctx context.Context, _ string, order []byte) ([]byte, error) {
	var command statemachine.Command
	if err := gob.NewDecoder(bytes.NewReader(order)).Decode(&command); err != nil {
		return nil, err
	}
	return c.Chain.Propose(ctx, fmt.Sprint("configuration-", command.Configuration.IfMatch), order)
}

// unprovenChain reads what is there.
type unprovenChain struct{ Chain }

func (c unprovenChain) Read(context.Context) error { return nil }

// forgetfulMachine forgets which orders were taken when it is restored.
type forgetfulMachine struct{ *statemachine.StateMachine }

func (m *forgetfulMachine) Restore(raw []byte) error {
	var whole struct{ Configuration []byte } // the world has no stores and lends no quota
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
	whole.Configuration = encoded(state)
	return m.StateMachine.Restore(encoded(whole))
}

func encoded(value any) []byte {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(value); err != nil {
		panic(err)
	}
	return out.Bytes()
}

// handler spoils the API itself.
func (p plant) handler(api *API, whole http.Handler) http.Handler {
	switch p {
	case plantUnproven:
		return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
			if request.Method == http.MethodGet {
				writeRaw(response, api.options.Machine.Configuration())
				return
			}
			whole.ServeHTTP(response, request)
		})
	case plantHasty:
		return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
			number, _ := strconv.ParseUint(request.Header.Get("If-Match"), 10, 64)
			if request.Method != http.MethodGet && api.awaitReadable(request.Context()) == nil && number < api.options.Machine.Configuration().Generation {
				response.WriteHeader(http.StatusPreconditionFailed)
				return
			}
			whole.ServeHTTP(response, request)
		})
	case plantLeftOver:
		return &leftOver{whole: whole}
	}
	return whole
}

func writeRaw(response http.ResponseWriter, version *configuration.Version) {
	if version.Generation == 0 {
		response.WriteHeader(http.StatusNotFound)
		return
	}
	response.Header().Set("ETag", strconv.Quote(strconv.FormatUint(version.Generation, 10)))
	_, _ = response.Write(version.JSON())
}

// leftOver gives the answer of each second GET to the next one as well.
type leftOver struct {
	whole http.Handler
	mutex sync.Mutex
	kept  *httptest.ResponseRecorder
}

func (l *leftOver) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodGet {
		l.whole.ServeHTTP(response, request)
		return
	}
	l.mutex.Lock()
	kept := l.kept
	l.kept = nil
	l.mutex.Unlock()
	if kept == nil {
		kept = httptest.NewRecorder()
		l.whole.ServeHTTP(kept, request.WithContext(context.WithoutCancel(request.Context())))
		l.mutex.Lock()
		l.kept = kept
		l.mutex.Unlock()
	}
	response.Header().Set("ETag", kept.Header().Get("ETag"))
	response.WriteHeader(kept.Code)
	_, _ = response.Write(kept.Body.Bytes())
}
