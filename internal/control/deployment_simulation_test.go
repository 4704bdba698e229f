package control

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/simulation/bubble"
)

// Timing of a simulated deployment.
const (
	// finalRecoveryTimeout is the maximum time after the last fault until the system is healthy.
	finalRecoveryTimeout = 20 * time.Second
	// healthyBeforeNextRound is how long the system must have been healthy before the next disk may be lost.
	healthyBeforeNextRound = 3 * time.Second
	// healthCheckInterval is the time between two checks of the system's health.
	healthCheckInterval = 100 * time.Millisecond
	// checkerPollInterval is the time between two polls of a freshnessChecker.
	checkerPollInterval = 250 * time.Millisecond
)

// deployment is a simulation, in virtual time, of complete control processes and batch processes with clients and an
// operator, with checks on the messages between them. The seed determines the faults, but not the order in which
// goroutines run at one moment, so a seed that failed may need a few runs to fail again.
type deployment struct {
	*simulatedSystem
	seed       uint64
	random     *rand.Rand // draws the faults
	began      time.Time
	tolerance  int
	stopping   sync.WaitGroup // process incarnations that are stopping
	loops      sync.WaitGroup
	usedSpares map[int]bool // spare control machines that have been started
	// processLock, with a buffer of one, is held while processes are started or stopped. It isn't a mutex, because
	// virtual time stops while a goroutine of the bubble waits for a mutex.
	processLock chan struct{}

	lock                 sync.Mutex // guards the fields below
	over                 bool
	stores               []*deployedStore
	removedControls      map[int]bool // control machines that were removed, or spares that haven't been started
	jobs                 []*deployedJob
	submissionsStopped   bool // no new batch jobs are submitted
	bulk                 int  // number of large configuration changes still to be sent
	acknowledgedVersions []acknowledgement
	acknowledgedEpochs   []acknowledgement // epochs of the store membership
	onAcknowledgement    func()            // called once at the next acknowledgement
	violations           []string
	events               []string
	counts               deploymentCounts
}

// deploymentCounts counts the events of a simulation.
type deploymentCounts struct {
	accepted, read, powerLosses, wipes, views, confirmations, versions, faults, recoveries, retired, replaced int
}

func (c *deploymentCounts) add(other deploymentCounts) {
	c.accepted += other.accepted
	c.read += other.read
	c.powerLosses += other.powerLosses
	c.wipes += other.wipes
	c.views += other.views
	c.confirmations += other.confirmations
	c.versions += other.versions
	c.faults += other.faults
	c.recoveries += other.recoveries
	c.retired += other.retired
	c.replaced += other.replaced
}

// deployedJob is a batch job as known to its client.
type deployedJob struct {
	id       string
	body     []byte
	items    []job.Item
	accepted bool
	ending   bool
	seen     map[int]string // results read so far, by position
}

// newDeployment starts all processes, the checkers, the operator and the load. It must be called in a synctest bubble.
func newDeployment(t *testing.T, seed uint64, members, stores, tolerance int) *deployment {
	w := &deployment{seed: seed, random: rand.New(rand.NewPCG(seed, 21)), began: time.Now(), tolerance: tolerance,
		removedControls: map[int]bool{}, usedSpares: map[int]bool{}, processLock: make(chan struct{}, 1)}
	w.simulatedSystem = newSizedSystem(t, seed, members, tolerance,
		injectedBug{wrapReplica: func(r Replica) Replica { return &recordingReplica{Replica: r, deployment: w} }})
	if status := w.put(t, "PUT", "0", quotaDocument); status != 200 {
		t.Fatal(status)
	}
	for i := range w.settings {
		w.settings[i].Bootstrap = false
	}
	for range spareControls {
		w.addSpare()
	}
	for range stores {
		w.addStore()
	}
	for i := range w.settings {
		w.addFreshnessChecker(i)
	}
	w.loops.Go(w.operate)
	w.loops.Go(w.load)
	return w
}

// spareControls is the number of spare control machines, which may replace others.
const spareControls = 2

// addSpare adds a control machine whose process doesn't run yet.
func (w *deployment) addSpare() {
	i := len(w.settings)
	settings := *w.settings[0]
	settings.NodeName = fmt.Sprint("front-", i+1)
	settings.IP = fmt.Sprint("10.0.0.", i+1)
	settings.Zone = fmt.Sprint("z", i)
	settings.ListenControl = settings.IP + ":8080"
	w.settings = append(w.settings, &settings)
	w.disks = append(w.disks, bubble.NewDisk(w.seed*8+uint64(i)))
	w.hosts = append(w.hosts, w.network.StartHost(settings.IP))
	w.running = append(w.running, nil)
	w.removedControls[i] = true
}

// allStores returns all stores, including removed ones.
func (w *deployment) allStores() []*deployedStore {
	w.lock.Lock()
	defer w.lock.Unlock()
	return slices.Clone(w.stores)
}

// presentStores returns the stores that were not removed.
func (w *deployment) presentStores() []*deployedStore {
	w.lock.Lock()
	defer w.lock.Unlock()
	return slices.DeleteFunc(slices.Clone(w.stores), func(s *deployedStore) bool { return s.removed })
}

// presentControls returns the indexes of the control processes that were not removed.
func (w *deployment) presentControls() []int {
	w.lock.Lock()
	defer w.lock.Unlock()
	var list []int
	for i := range w.settings {
		if !w.removedControls[i] {
			list = append(list, i)
		}
	}
	return list
}

// addStore starts a store on an empty disk.
func (w *deployment) addStore() *deployedStore {
	number := len(w.allStores()) + 1
	s := &deployedStore{
		deployment:  w,
		number:      number,
		node:        fmt.Sprint("store-", number),
		ip:          fmt.Sprint("10.0.4.", number),
		zone:        fmt.Sprint("z", number%3),
		incarnation: 1,
		disk:        bubble.NewDisk(w.seed*64 + 32 + uint64(number)),
	}
	w.lock.Lock()
	w.stores = append(w.stores, s)
	w.lock.Unlock()
	s.start()
	return s
}

func (w *deployment) logf(format string, arguments ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, arguments...)
	w.lock.Lock()
	defer w.lock.Unlock()
	w.events = append(w.events, line)
	if os.Getenv("TRACE") != "" {
		fmt.Println(line)
	}
}

func (w *deployment) failf(format string, arguments ...any) {
	w.logf("VIOLATION: "+format, arguments...)
	w.lock.Lock()
	defer w.lock.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, arguments...))
}

func (w *deployment) isOver() bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.over
}

// recordingReplica records when each change of the store membership was acknowledged.
type recordingReplica struct {
	Replica
	deployment *deployment
}

// Propose implements Replica.
func (a *recordingReplica) Propose(ctx context.Context, id string, command []byte) ([]byte, error) {
	result, err := a.Replica.Propose(ctx, id, command)
	if err == nil && (strings.HasPrefix(id, "stores-") || strings.HasPrefix(id, "retire-")) {
		a.deployment.recordAcknowledgedEpoch(a)
	}
	return result, err
}

func (w *deployment) recordAcknowledgedEpoch(by *recordingReplica) {
	for _, one := range w.runningControls() {
		if one.replica == Replica(by) {
			epoch := one.state.Stores().Epoch
			w.lock.Lock()
			w.acknowledgedEpochs = append(w.acknowledgedEpochs, acknowledgement{version: epoch, at: time.Now()})
			w.lock.Unlock()
			w.runOnAcknowledgement()
		}
	}
}

// runOnAcknowledgement calls onAcknowledgement, if set, and clears it.
func (w *deployment) runOnAcknowledgement() {
	w.lock.Lock()
	act := w.onAcknowledgement
	w.onAcknowledgement = nil
	w.lock.Unlock()
	if act != nil {
		act()
	}
}

// runningControls returns the running control processes.
func (w *deployment) runningControls() []*Control {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(w.running), func(one *Control) bool { return one == nil })
}

// haltControls stops control processes simultaneously; how stops a machine's network and disk.
func (w *deployment) haltControls(members []int, how func(i int)) {
	for _, i := range members {
		how(i)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, i := range members {
		if gone := w.running[i]; gone != nil {
			w.stopping.Go(gone.Stop)
		}
		w.running[i] = nil
	}
}

func (w *deployment) killControl(i int) {
	w.hosts[i].Kill()
	w.disks[i].Kill()
}

func (w *deployment) wipeControl(i int) {
	w.hosts[i].LosePower()
	w.disks[i].Wipe()
}

func (w *deployment) losePowerOfControl(i int) {
	w.hosts[i].LosePower()
	w.disks[i].LosePower()
}

// addFreshnessChecker starts a freshnessChecker, which polls a control process through all its incarnations.
func (w *deployment) addFreshnessChecker(i int) {
	process := protocol.Process{
		Node:        fmt.Sprint("witness-", i),
		Role:        protocol.RoleGateway,
		IP:          fmt.Sprint("10.0.3.", 100+i),
		Incarnation: "x",
	}
	one := &freshnessChecker{
		deployment:  w,
		controlNode: w.settings[i].NodeName,
		process:     process,
		state:       configuration.NewState(),
	}
	options := transport.Options{
		Identity: transport.Identity{System: protocol.System, Node: process.Node, Role: process.Role},
		Dial:     w.host(process.IP).Dial,
	}
	one.client = transport.NewClient(w.settings[i].Endpoint(node.PortControl), options, one.apply, nil)
	w.loops.Go(one.run)
}

// freshnessChecker polls a control process and checks that the state it confirms includes everything acknowledged
// before the time for which it confirms it.
type freshnessChecker struct {
	deployment  *deployment
	controlNode string
	process     protocol.Process
	client      *transport.Client
	lock        sync.Mutex // guards the fields below
	state       *configuration.State
	epoch       uint64
}

func (o *freshnessChecker) run() {
	defer o.client.Close()
	for sequence := uint64(1); !o.deployment.isOver(); sequence++ {
		o.poll(sequence)
		time.Sleep(checkerPollInterval)
	}
}

func (o *freshnessChecker) poll(sequence uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	o.lock.Lock()
	index := o.state.Current().Index
	o.lock.Unlock()
	sent := time.Now()
	reply, err := o.client.Call(ctx, protocol.Poll{Process: o.process, Sequence: sequence, Configuration: index})
	if err != nil {
		return
	}
	o.apply(reply)
	if update := reply.(protocol.Update); update.Fresh {
		o.check(sent.Add(-update.Age))
	}
}

func (o *freshnessChecker) apply(message any) {
	update, ok := message.(protocol.Update)
	if !ok {
		return
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	if update.Configuration != nil {
		_, _ = o.state.ApplyUpdate(update.Configuration) // an update that can't be applied is requested again
	}
	if update.Members != nil {
		o.epoch = update.Members.Stores.Epoch
	}
}

// check checks that the received state includes all versions that were acknowledged by the given moment.
func (o *freshnessChecker) check(moment time.Time) {
	o.lock.Lock()
	generation, epoch := o.state.Current().Generation, o.epoch
	o.lock.Unlock()
	w := o.deployment
	w.lock.Lock()
	w.counts.confirmations++
	acknowledgedVersion, acknowledgedEpoch := newestBefore(w.acknowledgedVersions, moment),
		newestBefore(w.acknowledgedEpochs, moment)
	w.lock.Unlock()
	if generation < acknowledgedVersion {
		w.failf("%s confirms configuration generation %d, but %d was acknowledged",
			o.controlNode, generation, acknowledgedVersion)
	}
	if epoch < acknowledgedEpoch {
		w.failf("%s confirms view %d, but %d was acknowledged", o.controlNode, epoch, acknowledgedEpoch)
	}
}

// newestBefore returns the newest version that was acknowledged by the given moment.
func newestBefore(list []acknowledgement, moment time.Time) uint64 {
	newest := uint64(0)
	for _, one := range list {
		if !one.at.After(moment) {
			newest = max(newest, one.version)
		}
	}
	return newest
}

// operate sends configuration changes, one after another, until the simulation ends.
func (w *deployment) operate() {
	random := rand.New(rand.NewPCG(w.seed, 41))
	for last := uint64(7); !w.isOver(); last++ {
		pad, pause := 10, 300*time.Millisecond+time.Duration(random.Int64N(int64(time.Second)))
		w.lock.Lock()
		if w.bulk > 0 {
			w.bulk--
			pad, pause = bulkBytes, 0
		}
		w.lock.Unlock()
		change := fmt.Sprintf(`{"generation":%d,"x":"%s"}`, last+1, strings.Repeat("x", pad))
		for !w.isOver() {
			members := w.presentControls()
			member := members[random.IntN(len(members))]
			if status, _ := w.call(member, "PATCH", "/config", strconv.FormatUint(last, 10), change); status == 200 {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		w.lock.Lock()
		w.acknowledgedVersions = append(w.acknowledgedVersions, acknowledgement{version: last + 1, at: time.Now()})
		w.counts.versions++
		w.lock.Unlock()
		w.runOnAcknowledgement()
		time.Sleep(pause)
	}
}

// bulkBytes is the size of one of many changes that are sent without a pause. The log is compacted after about ninety
// of them.
const bulkBytes = 12_000

// load continuously submits batch jobs and reads some of them, until the simulation ends.
func (w *deployment) load() {
	random := rand.New(rand.NewPCG(w.seed, 42))
	for number := 1; !w.isOver(); number++ {
		time.Sleep(50*time.Millisecond + time.Duration(random.Int64N(int64(600*time.Millisecond))))
		w.lock.Lock()
		stopped, known := w.submissionsStopped, slices.Clone(w.jobs)
		w.lock.Unlock()
		if len(known) > 0 {
			w.loops.Go(func() { w.readJob(known[len(known)-1-len(known)/4]) })
		}
		if !stopped {
			one := newDeployedJob(fmt.Sprint("job-", number), 1+random.IntN(4))
			at, ends := random.IntN(len(w.allStores())), random.IntN(10) == 0
			w.loops.Go(func() { w.submit(one, at, ends) })
		}
	}
}

// newDeployedJob returns a batch job of count items.
func newDeployedJob(id string, count int) *deployedJob {
	type request struct {
		ID   string `json:"id"`
		Path string `json:"path"`
		Body []byte `json:"body"`
	}
	var requests []request
	for i := range count {
		requests = append(requests, request{ID: fmt.Sprint(id, "-", i), Path: "/p", Body: []byte("body")})
	}
	body, err := json.Marshal(map[string]any{"requests": requests})
	if err != nil {
		panic(err)
	}
	items, err := job.ParseSubmission(body)
	if err != nil {
		panic(err)
	}
	return &deployedJob{id: id, body: body, items: items, seen: map[int]string{}}
}

// callStore sends a call to a store and follows redirections to the owner. The answer is empty if the store is down or
// after four attempts.
func (w *deployment) callStore(at int, call protocol.BatchCall, items []job.Item) protocol.BatchAnswer {
	for range 4 {
		w.lock.Lock()
		incarnation := w.stores[at].process
		w.lock.Unlock()
		if incarnation == nil {
			return protocol.BatchAnswer{}
		}
		time.Sleep(time.Millisecond) // network delay
		answer := incarnation.call(call, items)
		if answer.Owner == "" {
			return answer
		}
		at = slices.IndexFunc(w.allStores(), func(s *deployedStore) bool { return s.ip == answer.Owner })
	}
	return protocol.BatchAnswer{}
}

// submit submits a batch job, with up to four attempts. If ends is set, it ends an accepted batch job after two
// seconds.
func (w *deployment) submit(one *deployedJob, at int, ends bool) {
	call := protocol.BatchCall{
		Operation: protocol.BatchSubmit,
		BatchJob:  one.id,
		Tenant:    "t",
		Route:     "r",
		Body:      one.body,
	}
	for attempt := range 4 {
		answer := w.callStore((at+attempt)%len(w.allStores()), call, one.items)
		if answer.Status == 202 {
			w.lock.Lock()
			one.accepted = true
			w.jobs = append(w.jobs, one)
			w.counts.accepted++
			w.lock.Unlock()
			w.runOnAcknowledgement()
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if !one.accepted || !ends {
		return
	}
	time.Sleep(2 * time.Second)
	w.lock.Lock()
	one.ending = true
	w.lock.Unlock()
	w.callStore(at, protocol.BatchCall{Operation: protocol.BatchEnd, BatchJob: one.id, Tenant: "t"}, nil)
}

// resultPage is the body of the answer to a read of results.
type resultPage struct {
	Total   int `json:"total"`
	Results []struct {
		ID   string `json:"id"`
		Text string `json:"text"`
	} `json:"results"`
}

// readJob reads a batch job from the first store that answers with 200. It returns a description of what is missing,
// or "" if the results are complete.
func (w *deployment) readJob(one *deployedJob) string {
	failure := "no store is running"
	for at, s := range w.allStores() {
		answer := w.callStore(at, protocol.BatchCall{Operation: protocol.BatchRead, BatchJob: one.id, Tenant: "t"}, nil)
		if answer.Status == 200 {
			return w.checkPage(one, answer.Body)
		}
		w.lock.Lock()
		ending, up := one.ending, s.process != nil
		w.lock.Unlock()
		if answer.Status == 404 && !ending {
			w.failf("%s: %s answers 404 though the batch job was accepted", one.id, s.node)
		}
		if up {
			failure = fmt.Sprintf("%s answers %d", s.node, answer.Status)
		}
	}
	return failure
}

// checkPage checks results against those read before. It returns a description of what is missing, or "" if the
// results are complete.
func (w *deployment) checkPage(one *deployedJob, body []byte) string {
	var page resultPage
	if err := json.Unmarshal(body, &page); err != nil {
		w.failf("%s: %v", one.id, err)
		return err.Error()
	}
	var changed []string
	w.lock.Lock()
	w.counts.read++
	for position, result := range page.Results {
		content := result.ID + " " + result.Text
		if earlier, read := one.seen[position]; read && earlier != content {
			changed = append(changed, fmt.Sprintf("the result at position %d changed from %q to %q", position, earlier, content))
		}
		one.seen[position] = content
	}
	w.lock.Unlock()
	for _, change := range changed {
		w.failf("%s: %s", one.id, change)
	}
	if page.Total != len(one.items) || len(page.Results) < page.Total {
		return fmt.Sprintf("%d results of %d items", len(page.Results), len(one.items))
	}
	return ""
}

// newestStoreView returns the newest store membership of all running control processes.
func (w *deployment) newestStoreView() protocol.StoreView {
	var newest protocol.StoreView
	for _, one := range w.runningControls() {
		if view := one.state.Stores(); view.Epoch > newest.Epoch {
			newest = view
		}
	}
	return newest
}

// unhealthy returns descriptions of what keeps the system from being healthy. It is healthy if all processes run and
// agree on the store membership, and all stores are reconciled in it.
func (w *deployment) unhealthy() []string {
	var list []string
	newest := w.newestStoreView()
	for _, i := range w.presentControls() {
		list = append(list, w.unhealthyControl(i, newest)...)
	}
	present := w.presentStores()
	for _, s := range present {
		list = append(list, w.unhealthyStore(s, newest)...)
	}
	if len(newest.Members) != len(present) {
		list = append(
			list,
			fmt.Sprintf("view %d has %d members, want %d, the number of stores", newest.Epoch, len(newest.Members), len(present)),
		)
	}
	return list
}

func (w *deployment) unhealthyControl(i int, newest protocol.StoreView) []string {
	w.mutex.Lock()
	one := w.running[i]
	w.mutex.Unlock()
	name := w.settings[i].NodeName
	if one == nil {
		return []string{name + " doesn't run"}
	}
	var list []string
	if _, fresh := one.staleness(); !fresh {
		list = append(list, name+" doesn't confirm its state")
	}
	if view := one.state.Stores(); view.Epoch != newest.Epoch || !slices.Equal(view.Members, newest.Members) {
		list = append(list, fmt.Sprintf("%s has view %d or other members than the newest view, %d",
			name, view.Epoch, newest.Epoch))
	}
	return list
}

func (w *deployment) unhealthyStore(s *deployedStore, newest protocol.StoreView) []string {
	w.lock.Lock()
	incarnation := s.process
	w.lock.Unlock()
	if incarnation == nil {
		return []string{s.node + " doesn't run"}
	}
	incarnation.mutex.Lock()
	report, view, allowed := incarnation.machine.Report(), incarnation.machine.CurrentView(), incarnation.machine.MayAct()
	incarnation.mutex.Unlock()
	at := slices.IndexFunc(newest.Members, func(one protocol.StoreMember) bool { return one.Process == incarnation.process })
	switch {
	case at < 0:
		return []string{fmt.Sprintf("%s isn't a member of view %d", s.node, newest.Epoch)}
	case newest.Members[at].State == protocol.StoreRetiring:
		return []string{s.node + " isn't drained"}
	case newest.Members[at].State == protocol.StoreRetired:
		return nil
	case view.Epoch != newest.Epoch || !slices.Equal(view.Members, newest.Members):
		return []string{fmt.Sprintf("%s has view %d or other members than the newest view, %d",
			s.node, view.Epoch, newest.Epoch)}
	case report.Settled != newest.Epoch:
		return []string{
			fmt.Sprintf("%s has reconciled in view %d, the newest view is %d", s.node, report.Settled, newest.Epoch),
		}
	case !allowed:
		return []string{s.node + " has no lease"}
	}
	return nil
}

// awaitHealthy waits until the system has been healthy for the duration steady. If that doesn't happen within the
// given time, it returns the result of unhealthy.
func (w *deployment) awaitHealthy(within, steady time.Duration) []string {
	deadline, healthySince := time.Now().Add(within), time.Now()
	for {
		list := w.unhealthy()
		switch {
		case len(list) > 0:
			healthySince = time.Now()
		case time.Since(healthySince) >= steady:
			return nil
		}
		if time.Now().After(deadline) {
			return list
		}
		time.Sleep(healthCheckInterval)
	}
}

// finalCheck checks, after the last fault, that the system recovers and that all accepted batch jobs can be read.
func (w *deployment) finalCheck() {
	w.logf("the faults are over")
	w.lock.Lock()
	w.submissionsStopped = true
	w.lock.Unlock()
	deadline := time.Now().Add(finalRecoveryTimeout)
	for _, one := range w.awaitHealthy(finalRecoveryTimeout, 0) {
		w.failf("the system isn't healthy %v after the last fault: %s", finalRecoveryTimeout, one)
	}
	w.lock.Lock()
	known := slices.Clone(w.jobs)
	w.lock.Unlock()
	var readers sync.WaitGroup
	for _, one := range known {
		readers.Go(func() { w.finalCheckJob(one, deadline) })
	}
	readers.Wait()
	w.lock.Lock()
	defer w.lock.Unlock()
	w.counts.views = int(newestBefore(w.acknowledgedEpochs, time.Now()))
}

// finalCheckJob reads a batch job until its results are complete. A batch job that its client has ended may have been
// dropped.
func (w *deployment) finalCheckJob(one *deployedJob, deadline time.Time) {
	for {
		failure := w.readJob(one)
		w.lock.Lock()
		ending := one.ending
		w.lock.Unlock()
		if failure == "" || ending {
			return
		}
		if time.Now().After(deadline) {
			w.failf("%s was accepted but can't be read: %s", one.id, failure)
			return
		}
		time.Sleep(healthCheckInterval)
	}
}

// close ends the simulation and stops all processes.
func (w *deployment) close() {
	w.lock.Lock()
	w.over = true
	w.lock.Unlock()
	w.loops.Wait()
	for _, s := range w.allStores() {
		s.kill()
	}
	w.stopping.Wait()
	w.finish()
}

// err returns an error with the violations and all events, or nil if there are no violations.
func (w *deployment) err() error {
	if len(w.violations) == 0 {
		return nil
	}
	return fmt.Errorf("seed %d:\n%s\n%s", w.seed, strings.Join(w.violations, "\n"), strings.Join(w.events, "\n"))
}

// sendBulk makes the operator send the given number of large configuration changes and waits until the last one is being
// sent.
func (w *deployment) sendBulk(changes int) {
	w.lock.Lock()
	w.bulk += changes
	w.lock.Unlock()
	for left := 1; left > 0; time.Sleep(healthCheckInterval) {
		w.lock.Lock()
		left = w.bulk
		w.lock.Unlock()
	}
}

// losePowerOfAll cuts the power of all machines simultaneously.
func (w *deployment) losePowerOfAll() {
	w.haltControls(w.presentControls(), w.losePowerOfControl)
	for _, s := range w.presentStores() {
		s.losePower()
	}
	w.count(func(c *deploymentCounts) { c.powerLosses++ })
}

func (w *deployment) count(what func(c *deploymentCounts)) {
	w.lock.Lock()
	defer w.lock.Unlock()
	what(&w.counts)
}
