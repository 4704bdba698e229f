package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
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
	// raceProbability is the share of changes for which two operators send different ones on top of the same generation.
	raceProbability = 0.25
)

// operator changes the configuration through any control process, and reads it back. It makes all changes, those of a
// rival included, so that it knows which generations may be read.
type operator struct {
	run    *run
	client http.Client

	// Of generateChanges only.
	random     *rand.Rand
	rival      *rand.Rand
	repeatable []configurationChange // the last that were acknowledged

	// mu guards the fields below. At any time acknowledged.generation <= generation in force <= sentGeneration.
	mu                sync.Mutex
	acknowledged      revision
	sentGeneration    uint64
	acknowledgedCount int
}

// firstRevision is the configuration that a run starts with.
var firstRevision = revision{generation: 1}

func newOperator(r *run) *operator {
	return &operator{
		run:            r,
		client:         http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		random:         r.options.randomSource(randomChanges),
		rival:          r.options.randomSource(randomRivalChanges),
		acknowledged:   firstRevision,
		sentGeneration: firstRevision.generation,
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

// generateChanges makes one change after the other until the context ends. Some are contested by a rival.
func (o *operator) generateChanges(ctx context.Context) {
	for sleep(ctx, changeInterval) {
		base := o.newestAcknowledged()
		change := newConfigurationChange(base, 0, o.random.Float64() < patchProbability)
		races := o.random.Float64() < raceProbability
		o.markSent(change)
		if races {
			rival := newConfigurationChange(base, 1, o.random.Float64() < patchProbability)
			winner, decided := o.race(ctx, change, rival)
			if !decided {
				return
			}
			change = winner
		} else if !o.deliver(ctx, change) {
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
		status, answer, m := o.sendUntilAnswered(ctx, o.random, change)
		switch status {
		case http.StatusOK:
			return true
		case 0:
			return false
		}
		o.run.checker.violated(RuleConfiguration, "%s on %d, the only change to %d, got %d from %s: %s", change.method,
			change.baseGeneration, change.revision.generation, status, m.Name, answer)
		if !sleep(ctx, operatorRetryInterval) {
			return false
		}
	}
}

// race has two operators send different changes on top of the same generation, each until it gets a clear answer. Exactly
// one must be acknowledged. It returns that one, and false where the context ended first or none is known to be.
func (o *operator) race(ctx context.Context, changes ...configurationChange) (winner configurationChange, decided bool) {
	statuses := make([]int, len(changes))
	randoms := []*rand.Rand{o.random, o.rival}
	forEachIndex(len(changes), func(i int) { statuses[i], _, _ = o.sendUntilAnswered(ctx, randoms[i], changes[i]) })
	acknowledged := 0
	for i, status := range statuses {
		switch status {
		case 0:
			return winner, false
		case http.StatusOK:
			winner, decided = changes[i], true
			acknowledged++
		}
	}
	if acknowledged != 1 || slices.Max(statuses) != http.StatusPreconditionFailed {
		o.run.checker.violated(RuleConfiguration, "two changes (%s, %s) raced for generation %d, and got %v", changes[0].method,
			changes[1].method, changes[0].revision.generation, statuses)
	}
	return winner, decided
}

// sendUntilAnswered sends a change, the same bytes each time, until it gets a clear answer. The status is 0 where the
// context ended first.
func (o *operator) sendUntilAnswered(ctx context.Context, random *rand.Rand, change configurationChange) (status int,
	answer []byte, by system.Machine) {
	for {
		by = o.run.randomControl(random)
		status, answer, _ = o.send(ctx, random, by, change)
		switch status {
		case 0, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		default:
			return status, answer, by
		}
		if !sleep(ctx, operatorRetryInterval) {
			return 0, nil, by
		}
	}
}

// send sends a change once. Sometimes the operator closes the connection before the response.
func (o *operator) send(ctx context.Context, random *rand.Rand, m system.Machine,
	change configurationChange) (status int, body []byte, err error) {
	if random.Float64() < operatorAbandonProbability {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, randomDuration(random, 0, maxOperatorAbandonDelay))
		defer cancel()
	}
	return o.call(ctx, m, change.request())
}

// repeat sends a change again that was acknowledged: changes are idempotent, so it must be acknowledged again.
func (o *operator) repeat(ctx context.Context) {
	change := o.repeatable[o.random.IntN(len(o.repeatable))]
	m := o.run.randomControl(o.random)
	status, answer, err := o.send(ctx, o.random, m, change)
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
		o.checkRead(ctx, o.run.randomControl(random))
	}
}

// checkRead reads the configuration from a control process and checks it. It returns whether it got a document.
func (o *operator) checkRead(ctx context.Context, m system.Machine) bool {
	oldest := o.newestAcknowledged()
	read, status, err := o.get(ctx, m)
	switch {
	case status == http.StatusOK && err == nil:
	case status == http.StatusServiceUnavailable, status == http.StatusGatewayTimeout, status == 0:
		return false
	default:
		o.run.checker.violated(RuleConfiguration, "GET from %s: %d, %v", m.Name, status, err)
		return false
	}
	if newest := o.newestSent(); read.generation < oldest.generation || read.generation > newest {
		o.run.checker.violated(RuleConfiguration, "%s has generation %d, where %d was acknowledged and up to %d sent",
			m.Name, read.generation, oldest.generation, newest)
	}
	if read.generation == oldest.generation && read.variant != oldest.variant {
		o.run.checker.violated(RuleConfiguration, "%s has variant %d of generation %d, where %d was acknowledged", m.Name,
			read.variant, read.generation, oldest.variant)
	}
	return true
}

// get reads the revision in force at a control process.
func (o *operator) get(ctx context.Context, m system.Machine) (read revision, status int, err error) {
	status, answer, err := o.call(ctx, m, operatorRequest{method: http.MethodGet, path: "/config"})
	if status != http.StatusOK || err != nil {
		return revision{}, status, err
	}
	var document configuration.Document
	if err := json.Unmarshal(answer, &document); err != nil {
		return revision{}, status, err
	}
	read, err = checkDocument(document)
	return read, status, err
}

func (o *operator) markSent(change configurationChange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sentGeneration = change.revision.generation
}

func (o *operator) markAcknowledged(change configurationChange) {
	o.repeatable = append(o.repeatable, change)
	if len(o.repeatable) > maxRepeatable {
		o.repeatable = o.repeatable[1:]
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledged = change.revision
	o.acknowledgedCount++
}

func (o *operator) newestAcknowledged() revision {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acknowledged
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
