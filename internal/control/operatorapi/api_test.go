package operatorapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// fakeChain is a chain of one process. Tests determine the outcome of each proposal.
type fakeChain struct {
	mutex        sync.Mutex
	state        *statemachine.StateMachine
	index        uint64
	outcomes     map[string][]byte
	partitioned  bool              // nothing can be read or proposed
	nextOutcomes []proposalOutcome // of the next proposals; afterwards all are acknowledged
	blocked      chan struct{}     // if not nil, proposals wait until it is closed
	proposals    map[string]int    // number of proposals by id
}

// proposalOutcome states whether a proposal is executed and what its proposer learns of that. With
// proposalAcknowledged it is executed and its outcome returned.
type proposalOutcome int

const (
	proposalAcknowledged proposalOutcome = iota
	proposalLost                         // not executed, outcome unknown
	acknowledgementLost                  // executed, outcome unknown
	proposalRejected                     // certainly not executed
)

func newFakeChain() *fakeChain {
	return &fakeChain{state: statemachine.New(), outcomes: map[string][]byte{}, proposals: map[string]int{}}
}

func (c *fakeChain) Read(ctx context.Context) error {
	c.mutex.Lock()
	partitioned := c.partitioned
	c.mutex.Unlock()
	if !partitioned {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (c *fakeChain) Propose(ctx context.Context, id string, change []byte) ([]byte, error) {
	if c.blocked != nil {
		<-c.blocked
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.proposals[id]++
	outcome := proposalAcknowledged
	if len(c.nextOutcomes) > 0 {
		outcome, c.nextOutcomes = c.nextOutcomes[0], c.nextOutcomes[1:]
	}
	switch outcome {
	case proposalLost:
		return nil, errors.New("no answer")
	case proposalRejected:
		return nil, ErrUnavailable
	}
	if _, done := c.outcomes[id]; !done {
		c.index++
		c.outcomes[id] = c.state.Apply(c.index, change)
	}
	if outcome == acknowledgementLost {
		return nil, errors.New("no answer")
	}
	return c.outcomes[id], nil
}

const document = `{"generation":7,"routes":[{"name":"r","hostname":"h","path-prefix":"/","timeout-ms":5,"backend":"b"}],"backends":[{"name":"b"}],"x":1.50}`

// newAPI returns an API with a limit of 4096 bytes for a configuration.
func newAPI(chain *fakeChain) http.Handler {
	return New(Options{
		State:           chain.state,
		Chain:           chain,
		Bounds:          node.Bounds{Acknowledge: 4 * time.Second},
		MaxBodyBytes:    4096,
		MinActiveStores: 2,
		Log:             zerolog.Nop(),
	}).Handler()
}

// send sends one request.
func send(api http.Handler, method, path, ifMatch, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	recorder := httptest.NewRecorder()
	api.ServeHTTP(recorder, request)
	return recorder
}

// sendChunked sends a PUT of the first configuration, without a Content-Length.
func sendChunked(api http.Handler, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPut, "/config", io.MultiReader(strings.NewReader(body)))
	request.ContentLength = -1
	request.Header.Set("If-Match", "0")
	recorder := httptest.NewRecorder()
	api.ServeHTTP(recorder, request)
	return recorder
}

func TestConfiguration(t *testing.T) {
	Convey("Given a chain", t, func() {
		chain := newFakeChain()
		api := newAPI(chain)
		Convey("a read before the first configuration gets 404", func() {
			So(send(api, "GET", "/config", "", "").Code, ShouldEqual, 404)
		})
		Convey("a configuration is accepted, read back, and acknowledged again", func() {
			So(send(api, "PUT", "/config", "0", document).Code, ShouldEqual, 200)
			read := send(api, "GET", "/config", "", "")
			So(read.Code, ShouldEqual, 200)
			So(read.Body.String(), ShouldEqual, document)
			So(send(api, "PUT", "/config", "0", document).Code, ShouldEqual, 200)
			So(send(api, "PATCH", "/config", `"7"`, `{"generation":9}`).Code, ShouldEqual, 200)
			So(send(api, "PUT", "/config", "0", document).Code, ShouldEqual, 200)
			So(send(api, "PATCH", "/config", "7", `{"generation":9}`).Code, ShouldEqual, 200)
			So(send(api, "PATCH", "/config", "7", `{"generation":10}`).Code, ShouldEqual, 412)
			So(send(api, "PATCH", "/config", "9", `{"generation":9}`).Code, ShouldEqual, 400)
			So(chain.index, ShouldEqual, 2)
		})
		Convey("a missing or malformed If-Match is rejected", func() {
			for _, ifMatch := range []string{"", "x", "-1", "1.5", `"`, "*", "99999999999999999999"} {
				So(send(api, "PUT", "/config", ifMatch, document).Code, ShouldEqual, 400)
			}
		})
		Convey("an invalid configuration is rejected with all findings, and never proposed", func() {
			bad := strings.NewReplacer(`"timeout-ms":5`, `"timeout-ms":0`, `"path-prefix":"/"`, `"path-prefix":"x"`).
				Replace(document)
			rejected := send(api, "PUT", "/config", "0", bad)
			So(rejected.Code, ShouldEqual, 400)
			var body responseBody
			So(json.Unmarshal(rejected.Body.Bytes(), &body), ShouldBeNil)
			So(body.Findings, ShouldHaveLength, 2)
			So(send(api, "PUT", "/config", "0", document[:40]).Code, ShouldEqual, 400)
			So(
				send(api, "PUT", "/config", "0", strings.Replace(document, `"backend":"b"`, `"backend":"c"`, 1)).Code,
				ShouldEqual,
				400,
			)
			So(send(api, "PATCH", "/config", "0", `{"generation":1}`).Code, ShouldEqual, 400)
			So(chain.index, ShouldEqual, 0)
		})
		Convey("a body over the limit is rejected", func() {
			So(send(api, "PUT", "/config", "0", document+strings.Repeat(" ", 5000)).Code, ShouldEqual, 413)
			So(sendChunked(api, document+strings.Repeat(" ", 5000)).Code, ShouldEqual, 413)
		})
		Convey("a truncated body is rejected", func() {
			request := httptest.NewRequest(http.MethodPut, "/config", strings.NewReader(document[:50]))
			request.ContentLength = int64(len(document))
			request.Header.Set("If-Match", "0")
			recorder := httptest.NewRecorder()
			api.ServeHTTP(recorder, request)
			So(recorder.Code, ShouldEqual, 400)
		})
		Convey("an unknown path gets 404 and another method 405", func() {
			So(send(api, "GET", "/", "", "").Code, ShouldEqual, 404)
			So(send(api, "DELETE", "/config", "", "").Code, ShouldEqual, 405)
		})
	})
}

// runInBubble runs a subtest in a synctest bubble, in virtual time.
func runInBubble(t *testing.T, name string, run func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, run) })
}

// checkStatus fails the test if a response doesn't have the expected status.
func checkStatus(t *testing.T, recorder *httptest.ResponseRecorder, status int) {
	t.Helper()
	if recorder.Code != status {
		t.Fatalf("status %d, expected %d: %s", recorder.Code, status, recorder.Body)
	}
}

func TestIndeterminate(t *testing.T) {
	runInBubble(t, "while the chain can't be read, 503 is returned in time, with Retry-After", func(t *testing.T) {
		chain := newFakeChain()
		chain.partitioned = true
		api := newAPI(chain)
		for _, method := range []string{"GET", "PUT", "PATCH"} {
			began := time.Now()
			answer := send(api, method, "/config", "0", document)
			if method == "PATCH" {
				answer = send(api, method, "/config", "0", `{"generation":2}`)
			}
			checkStatus(t, answer, 503)
			if took := time.Since(began); took > 2*unavailableAfter || answer.Header().Get("Retry-After") == "" {
				t.Fatalf("took %v, headers %v", took, answer.Header())
			}
		}
	})
	runInBubble(t, "while the chain can't be read, all requests get 503 and none is rejected", func(t *testing.T) {
		chain := newFakeChain()
		api := newAPI(chain)
		checkStatus(t, send(api, "PUT", "/config", "0", document), 200)
		chain.partitioned = true
		for _, one := range []struct{ method, path, ifMatch, body string }{
			{"PUT", "/config", "7", document[:40]},                              // a truncated body
			{"PUT", "/config", "7", strings.Replace(document, ":5,", ":0,", 1)}, // an error in the shape
			{"PUT", "/config", "7", document},                                   // a generation that doesn't increase
			{"PATCH", "/config", "3", `{"generation":9}`},                       // another version is current here
			{"PUT", "/config", "0", document + strings.Repeat(" ", 5000)},       // too large here
			{"POST", "/retire/s1", "", `{"deadline-s":10}`},                     // unknown here
			{"GET", "/retire/s1", "", ""},
			{"GET", "/config", "", ""},
		} {
			if one.method == "POST" {
				chain.nextOutcomes = slices.Repeat([]proposalOutcome{proposalRejected}, 1000)
			}
			checkStatus(t, send(api, one.method, one.path, one.ifMatch, one.body), 503)
		}
	})
	runInBubble(t, "a change that exceeds this process's limit but was accepted by another one is acknowledged again", func(t *testing.T) {
		chain := newFakeChain()
		large := New(Options{
			State:  chain.state,
			Chain:  chain,
			Bounds: node.Bounds{Acknowledge: 4 * time.Second},
			Log:    zerolog.Nop(),
		}).Handler()
		api := newAPI(chain)
		body := document + strings.Repeat(" ", 5000)
		checkStatus(t, send(large, "PUT", "/config", "0", body), 200)
		checkStatus(t, send(api, "PUT", "/config", "0", body), 200)
		checkStatus(t, sendChunked(api, body), 200)
		checkStatus(t, send(api, "PUT", "/config", "0", body+" "), 413)
		checkStatus(t, sendChunked(api, body+" "), 413)
	})
	runInBubble(t, "a change whose outcome is unknown is proposed again with the same id", func(t *testing.T) {
		for _, outcomes := range [][]proposalOutcome{
			{acknowledgementLost},
			{proposalLost},
			{proposalRejected, proposalLost, acknowledgementLost},
			{proposalRejected, proposalRejected},
		} {
			chain := newFakeChain()
			chain.nextOutcomes = outcomes
			checkStatus(t, send(newAPI(chain), "PUT", "/config", "0", document), 200)
			if chain.index != 1 || len(chain.proposals) != 1 {
				t.Fatalf("%d changes executed, expected 1; proposals by id %v, expected one id", chain.index, chain.proposals)
			}
		}
	})
	runInBubble(t, "a change that was certainly not accepted gets 503, one that may have been accepted 504, within ack-ms", func(t *testing.T) {
		for status, outcome := range map[int]proposalOutcome{503: proposalRejected, 504: proposalLost} {
			chain := newFakeChain()
			for range 1000 {
				chain.nextOutcomes = append(chain.nextOutcomes, outcome)
			}
			began := time.Now()
			checkStatus(t, send(newAPI(chain), "PUT", "/config", "0", document), status)
			if took := time.Since(began); took > 4*time.Second {
				t.Fatalf("took %v", took)
			}
		}
	})
	runInBubble(t, "requests with the same change share its decision", func(t *testing.T) {
		chain := newFakeChain()
		chain.blocked = make(chan struct{})
		api := newAPI(chain)
		answers := make(chan *httptest.ResponseRecorder)
		for range 3 {
			go func() { answers <- send(api, "PUT", "/config", "0", document) }()
		}
		synctest.Wait()
		close(chain.blocked)
		for range 3 {
			checkStatus(t, <-answers, 200)
		}
		if len(chain.proposals) != 1 || chain.index != 1 {
			t.Fatalf("proposals by id %v, expected one id and one executed change", chain.proposals)
		}
	})
	runInBubble(t, "a change is decided after its caller has disconnected", func(t *testing.T) {
		chain := newFakeChain()
		chain.blocked = make(chan struct{})
		api := newAPI(chain)
		ctx, cancel := context.WithCancel(t.Context())
		request := httptest.NewRequestWithContext(ctx, "PUT", "/config", strings.NewReader(document))
		request.Header.Set("If-Match", "0")
		gone := make(chan struct{})
		go func() {
			api.ServeHTTP(httptest.NewRecorder(), request)
			close(gone)
		}()
		synctest.Wait()
		cancel()
		<-gone
		close(chain.blocked)
		synctest.Wait()
		checkStatus(t, send(api, "GET", "/config", "", ""), 200)
	})
	runInBubble(t, "the body of a change whose caller has disconnected counts towards the limit as long as it is held", func(t *testing.T) {
		chain := newFakeChain()
		chain.blocked = make(chan struct{})
		api := newAPI(chain)
		for _, padding := range []int{3700, 3701} { // the limit is 4096 bytes for one body and twice that for all
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			request := httptest.NewRequestWithContext(
				ctx,
				"PUT",
				"/config",
				strings.NewReader(document+strings.Repeat(" ", padding)),
			)
			request.Header.Set("If-Match", "0")
			api.ServeHTTP(httptest.NewRecorder(), request)
		}
		checkStatus(t, send(api, "PUT", "/config", "0", document+strings.Repeat(" ", 3800)), 503)
		close(chain.blocked)
		synctest.Wait()
		checkStatus(t, send(api, "PUT", "/config", "0", document+strings.Repeat(" ", 3800)), 412)
	})
	runInBubble(t, "exactly one of several changes that build on the same version is accepted", func(t *testing.T) {
		chain := newFakeChain()
		api := newAPI(chain)
		statuses := make(chan int)
		for _, body := range []string{document, document + " ", document + "\n"} {
			go func() { statuses <- send(api, "PUT", "/config", "0", body).Code }()
		}
		counts := map[int]int{}
		for range 3 {
			counts[<-statuses]++
		}
		if counts[200] != 1 || counts[412] != 2 {
			t.Fatal(counts)
		}
	})
}

func TestRetirement(t *testing.T) {
	Convey("Given three store machines", t, func() {
		chain := newFakeChain()
		api := newAPI(chain)
		var processes []protocol.Process
		for _, name := range []string{"s1", "s2", "s3"} {
			processes = append(
				processes,
				protocol.Process{Node: name, Role: protocol.RoleBatch, IP: name, Incarnation: "a"},
			)
		}
		raw, err := statemachine.Command{Join: &statemachine.Join{Processes: processes}}.Encode()
		So(err, ShouldBeNil)
		chain.state.Apply(1, raw)
		So(send(api, "POST", "/retire/s9", "", `{"deadline-s":10}`).Code, ShouldEqual, 404)
		for body, message := range map[string]string{
			`{"deadline-s":-1}`:     "deadline-s: -1 is not above 0",
			`{"deadline-s":"soon"}`: "deadline-s",
			`[]`:                    "the body is no retirement",
		} {
			rejected := send(api, "POST", "/retire/s1", "", body)
			So(rejected.Code, ShouldEqual, 400)
			So(rejected.Body.String(), ShouldContainSubstring, message)
		}
		So(send(api, "GET", "/retire/s1", "", "").Code, ShouldEqual, 404) // the rejected requests began no retirement
		So(send(api, "GET", "/retire/s1", "", "").Code, ShouldEqual, 404)
		So(send(api, "POST", "/retire/s1", "", `{"deadline-s":10}`).Body.String(), ShouldContainSubstring, `"active"`)
		So(send(api, "POST", "/retire/s1", "", `{"deadline-s":10}`).Code, ShouldEqual, 200)
		So(send(api, "POST", "/retire/s2", "", `{"deadline-s":10}`).Code, ShouldEqual, 409)
		So(send(api, "GET", "/retire/s1", "", "").Body.String(), ShouldContainSubstring, `"active"`)
		epoch := chain.state.Stores().Epoch
		raw, err = statemachine.Command{
			Retired: &statemachine.Retired{Node: "s1", Incarnation: "a", Epoch: epoch},
		}.Encode()
		So(err, ShouldBeNil)
		chain.state.Apply(3, raw)
		So(send(api, "GET", "/retire/s1", "", "").Body.String(), ShouldContainSubstring, `"completed"`)
	})
}
