package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/lab/system"
)

const (
	changeInterval = 300 * time.Millisecond
	readInterval   = 200 * time.Millisecond
	// operatorTimeout bounds a call: the settings' bound of an acknowledgement (bounds.ack-ms), and responseSlack.
	operatorTimeout       = 6 * time.Second
	operatorRetryInterval = 100 * time.Millisecond
	// repeatProbability is the share of acknowledged changes after which one of the last maxRepeatable is
	// sent again.
	repeatProbability = 0.3
	maxRepeatable     = 50
	// operatorAbandonProbability is the share of calls whose connection is closed after up to
	// maxOperatorAbandonDelay.
	operatorAbandonProbability = 0.1
	maxOperatorAbandonDelay    = 30 * time.Millisecond
	// patchProbability is the share of changes made by PATCH; the others PUT a whole document.
	patchProbability = 0.5
)

// operator changes the configuration through any control process, and reads it back. It is the only one that
// changes it, so that it knows which generations may be read.
type operator struct {
	run    *run
	client http.Client

	// Of generateChanges only.
	random     *rand.Rand
	repeatable []configurationChange // the last that were acknowledged

	// mu guards the fields below. At any time acknowledgedGeneration <= generation in force <= sentGeneration.
	mu                     sync.Mutex
	acknowledgedGeneration uint64
	sentGeneration         uint64
	acknowledgedCount      int
}

func newOperator(r *run) *operator {
	return &operator{
		run:                    r,
		client:                 http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		random:                 r.options.randomSource(randomChanges),
		acknowledgedGeneration: 1,
		sentGeneration:         1,
	}
}

// operatorRequest is a call of the operator's API.
type operatorRequest struct {
	method, path   string
	baseGeneration uint64 // sent as If-Match with a body
	body           []byte // nil: none
}

// call sends a request to one control process, and returns the status and the body; 0 without a response.
func (o *operator) call(ctx context.Context, m system.Machine, r operatorRequest) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+system.ControlAddress(m)+r.path,
		bytes.NewReader(r.body))
	if err != nil {
		return 0, nil, err
	}
	if len(r.body) > 0 {
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("If-Match", strconv.FormatUint(r.baseGeneration, 10))
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err
	}
	return response.StatusCode, body, nil
}

// generateChanges makes one change after the other until the context ends.
func (o *operator) generateChanges(ctx context.Context) {
	for sleep(ctx, changeInterval) {
		change := newConfigurationChange(o.newestAcknowledged(), o.random.Float64() < patchProbability)
		o.markSent(change)
		if !o.deliver(ctx, change) {
			return
		}
		o.markAcknowledged(change)
		if o.random.Float64() < repeatProbability {
			o.repeat(ctx)
		}
	}
}

// deliver sends a change, the same bytes each time, until it is acknowledged. It returns false where the
// context ended first.
func (o *operator) deliver(ctx context.Context, change configurationChange) bool {
	for {
		m := o.run.randomFrontMachine(o.random)
		status, answer, _ := o.send(ctx, m, change)
		switch status {
		case http.StatusOK:
			return true
		case 0, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		default:
			o.run.checker.violated(RuleConfiguration, "%s on %d, the only change to %d, got %d from %s: %s",
				change.method, change.baseGeneration, change.generation, status, m.Name, answer)
		}
		if !sleep(ctx, operatorRetryInterval) {
			return false
		}
	}
}

// send sends a change once. Sometimes the operator closes the connection before the response.
func (o *operator) send(ctx context.Context, m system.Machine,
	change configurationChange) (status int, body []byte, err error) {
	if o.random.Float64() < operatorAbandonProbability {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, randomDuration(o.random, 0, maxOperatorAbandonDelay))
		defer cancel()
	}
	return o.call(ctx, m, change.request())
}

// repeat sends a change again that was acknowledged: changes are idempotent, so it must be acknowledged again.
func (o *operator) repeat(ctx context.Context) {
	change := o.repeatable[o.random.IntN(len(o.repeatable))]
	m := o.run.randomFrontMachine(o.random)
	status, answer, err := o.send(ctx, m, change)
	if err != nil || status == http.StatusOK || status == http.StatusServiceUnavailable ||
		status == http.StatusGatewayTimeout {
		return
	}
	o.run.checker.violated(RuleConfiguration, "%s on %d was acknowledged and got %d from %s when it was repeated: %s",
		change.method, change.baseGeneration, status, m.Name, answer)
}

// readBack reads the configuration until the context ends.
func (o *operator) readBack(ctx context.Context) {
	random := o.run.options.randomSource(randomReadBacks)
	for sleep(ctx, readInterval) {
		o.checkRead(ctx, o.run.randomFrontMachine(random))
	}
}

// checkRead reads the configuration from a control process and checks it. It returns whether it got a document.
func (o *operator) checkRead(ctx context.Context, m system.Machine) bool {
	oldest := o.newestAcknowledged()
	generation, status, err := o.get(ctx, m)
	switch {
	case status == http.StatusOK && err == nil:
	case status == http.StatusServiceUnavailable, status == http.StatusGatewayTimeout, status == 0:
		return false
	default:
		o.run.checker.violated(RuleConfiguration, "GET from %s: %d, %v", m.Name, status, err)
		return false
	}
	if newest := o.newestSent(); generation < oldest || generation > newest {
		o.run.checker.violated(RuleConfiguration, "%s has generation %d, where %d was acknowledged and up to %d sent",
			m.Name, generation, oldest, newest)
	}
	return true
}

// get reads the generation in force at a control process.
func (o *operator) get(ctx context.Context, m system.Machine) (generation uint64, status int, err error) {
	status, answer, err := o.call(ctx, m, operatorRequest{method: http.MethodGet, path: "/config"})
	if status != http.StatusOK || err != nil {
		return 0, status, err
	}
	var document configuration.Document
	if err := json.Unmarshal(answer, &document); err != nil {
		return 0, status, err
	}
	return document.Generation, status, checkDocument(document)
}

func (o *operator) markSent(change configurationChange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sentGeneration = change.generation
}

func (o *operator) markAcknowledged(change configurationChange) {
	o.repeatable = append(o.repeatable, change)
	if len(o.repeatable) > maxRepeatable {
		o.repeatable = o.repeatable[1:]
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledgedGeneration = change.generation
	o.acknowledgedCount++
}

func (o *operator) newestAcknowledged() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acknowledgedGeneration
}

func (o *operator) newestSent() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sentGeneration
}

// changeCount returns the number of acknowledged changes.
func (o *operator) changeCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acknowledgedCount
}
