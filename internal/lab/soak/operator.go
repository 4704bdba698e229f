package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/lab/system"
)

// Figures of the operator.
const (
	changeInterval             = 300 * time.Millisecond
	readInterval               = 200 * time.Millisecond
	operatorTimeout            = 6 * time.Second // the bound of an acknowledgement in the settings, and lateness
	operatorRetryInterval      = 100 * time.Millisecond
	maxRepeatable              = 50  // that may be sent again
	repeatProbability          = 0.3 // of the orders that were acknowledged
	operatorAbandonProbability = 0.1 // of the answers
	maxOperatorAbandonDelay    = 30 * time.Millisecond
	patchProbability           = 0.5  // of the changes
	retentionSeconds           = 3600 // seconds
	changedTenantName          = "changing"
)

// document gives a configuration of a generation. Batch jobs live as long as a run.
func documentAt(generation uint64) configuration.Document {
	whole := system.Configuration(generation)
	for i := range whole.Routes {
		if whole.Routes[i].Name == system.BatchRoute {
			whole.Routes[i].RetentionSeconds = retentionSeconds
		}
	}
	whole.Tenants = append(whole.Tenants, changedTenantAt(generation))
	return whole
}

// tenant is the one that every change changes.
func changedTenantAt(generation uint64) configuration.Tenant {
	return configuration.Tenant{Name: changedTenantName, APIKeys: []string{"key-of-" + changedTenantName}, Priority: 1,
		RatePerSec: float64(1 + generation%1000), Burst: float64(1 + generation%1000)}
}

// order is one change of the configuration.
type configurationChange struct {
	method         string
	baseGeneration uint64
	generation     uint64
	body           []byte
}

func newConfigurationChange(builtOn uint64, patch bool) configurationChange {
	one := configurationChange{method: http.MethodPut, baseGeneration: builtOn, generation: builtOn + 1}
	var content any = documentAt(one.generation)
	if patch {
		one.method = http.MethodPatch
		content = map[string]any{"generation": one.generation,
			"upsert": map[string]any{"tenants": []configuration.Tenant{changedTenantAt(one.generation)}}}
	}
	body, err := json.Marshal(content)
	if err != nil {
		panic(err) // the forms above are wrong
	}
	one.body = body
	return one
}

// operator changes the configuration through any control process, and reads it back.
type operator struct {
	run    *run
	random *rand.Rand
	client http.Client

	mu                     sync.Mutex
	acknowledgedGeneration uint64 // the newest generation that was acknowledged
	sentGeneration         uint64 // the newest that was sent
	repeatable             []configurationChange
	acknowledgedCount      int
}

func newOperator(r *run) *operator {
	const stream = 101 // of the seed's random numbers
	return &operator{run: r, random: rand.New(rand.NewPCG(r.plan.Seed, stream)), acknowledgedGeneration: 1, sentGeneration: 1,
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call puts one call to one control process; status 0: no answer.
func (o *operator) call(ctx context.Context, m system.Machine, method, path string, builtOn uint64, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+system.ControlAddress(m)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("If-Match", strconv.FormatUint(builtOn, 10))
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err
	}
	return response.StatusCode, answer, nil
}

// anyFront draws a machine with a control process.
func (r *run) randomFrontMachine(random *rand.Rand) system.Machine {
	return r.frontMachines[random.IntN(len(r.frontMachines))]
}

// change makes one change after the other until the context ends.
func (o *operator) generateChanges(ctx context.Context) {
	for sleep(ctx, changeInterval) {
		one := newConfigurationChange(o.newestAcknowledged(), o.random.Float64() < patchProbability)
		o.mu.Lock()
		o.sentGeneration = one.generation
		o.mu.Unlock()
		if !o.deliver(ctx, one) {
			return
		}
		o.acknowledge(one)
		if o.random.Float64() < repeatProbability {
			o.repeat(ctx)
		}
	}
}

// deliver sends an order until it is acknowledged, the same bytes each time. False: the context ended before.
func (o *operator) deliver(ctx context.Context, one configurationChange) bool {
	for {
		m := o.run.randomFrontMachine(o.random)
		status, answer, _ := o.send(ctx, m, one)
		switch status {
		case http.StatusOK:
			return true
		case 0, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		default:
			o.run.checker.violated(RuleConfiguration, "%s on %d, the only order for %d, got %d from %s: %s", one.method, one.baseGeneration,
				one.generation, status, m.Name, answer)
		}
		if !sleep(ctx, operatorRetryInterval) {
			return false
		}
	}
}

// send sends an order once. Now and then the operator closes the connection before the answer.
func (o *operator) send(ctx context.Context, m system.Machine, one configurationChange) (int, []byte, error) {
	if o.random.Float64() < operatorAbandonProbability {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, randomDuration(o.random, 0, maxOperatorAbandonDelay))
		defer cancel()
	}
	return o.call(ctx, m, one.method, "/config", one.baseGeneration, one.body)
}

func (o *operator) acknowledge(one configurationChange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledgedGeneration = one.generation
	o.acknowledgedCount++
	o.repeatable = append(o.repeatable, one)
	if len(o.repeatable) > maxRepeatable {
		o.repeatable = o.repeatable[1:]
	}
}

// repeat sends the same bytes of an order again that was acknowledged, now or some time ago.
func (o *operator) repeat(ctx context.Context) {
	one := o.repeatable[o.random.IntN(len(o.repeatable))]
	m := o.run.randomFrontMachine(o.random)
	status, answer, err := o.send(ctx, m, one)
	if err != nil || status == http.StatusOK || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
		return
	}
	o.run.checker.violated(RuleConfiguration, "%s on %d was acknowledged and got %d from %s when it came again: %s", one.method,
		one.baseGeneration, status, m.Name, answer)
}

// read reads the configuration back until the context ends.
func (o *operator) readBack(ctx context.Context) {
	const stream = 102
	random := rand.New(rand.NewPCG(o.run.plan.Seed, stream))
	for sleep(ctx, readInterval) {
		o.checkRead(ctx, o.run.randomFrontMachine(random))
	}
}

func (o *operator) checkRead(ctx context.Context, m system.Machine) bool {
	least := o.newestAcknowledged()
	generation, status, err := o.get(ctx, m)
	switch {
	case status == http.StatusOK && err == nil:
	case status == http.StatusServiceUnavailable, status == http.StatusGatewayTimeout, status == 0:
		return false
	default:
		o.run.checker.violated(RuleConfiguration, "GET from %s: %d, %v", m.Name, status, err)
		return false
	}
	if most := o.newestSent(); generation < least || generation > most {
		o.run.checker.violated(RuleConfiguration, "%s tells generation %d, where %d was acknowledged and up to %d sent", m.Name, generation,
			least, most)
	}
	return true
}

// get reads the generation in force.
func (o *operator) get(ctx context.Context, m system.Machine) (uint64, int, error) {
	status, answer, err := o.call(ctx, m, http.MethodGet, "/config", 0, nil)
	if status != http.StatusOK || err != nil {
		return 0, status, err
	}
	var told configuration.Document
	if err := json.Unmarshal(answer, &told); err != nil {
		return 0, status, err
	}
	return told.Generation, status, checkDocument(told)
}

// wrongDocument tells what an answer lacks that every order brought.
func checkDocument(told configuration.Document) error {
	for _, one := range told.Tenants {
		if one.Name != changedTenantName {
			continue
		}
		if want := changedTenantAt(told.Generation); one.RatePerSec != want.RatePerSec {
			return fmt.Errorf("generation %d has the tenant's rate %v", told.Generation, one.RatePerSec)
		}
		return nil
	}
	return errors.New("the tenant is missing")
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

func (o *operator) changeCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acknowledgedCount
}
