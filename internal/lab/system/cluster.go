package system

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/controlclient"
	"sprucelane.example/sprucelane/internal/fake/modelserver"
	"sprucelane.example/sprucelane/internal/fake/platform"
	"sprucelane.example/sprucelane/internal/lab/process"
	"sprucelane.example/sprucelane/internal/node"
)

const (
	platformLag  = 200 * time.Millisecond
	platformRate = 44 // calls per second
	// stopTimeout is how long a process may take to exit: the grace period of the settings (bounds.grace-s),
	// and a second.
	stopTimeout = 9 * time.Second
	// readyPollInterval and servingPollInterval are the intervals at which WaitReady and WaitServing try again.
	readyPollInterval   = 100 * time.Millisecond
	servingPollInterval = 50 * time.Millisecond
	readyTimeout        = time.Second // of one readiness check
)

// Options configure a cluster.
type Options struct {
	// Programs is the folder of the system's programs.
	Programs string
	// Zones are the failure domains.
	Zones []string
	// ModelServers is the number of fake model servers, spread over the zones.
	ModelServers int
	// FailStatus returns the status with which a model server fails a request after it ran, or 0. Nil: none fails.
	FailStatus func(request string) int
	// FrontMachines is the number of machines with a gateway, spread over the zones. 0: one in each zone.
	FrontMachines int
	// ControlMachines is the number of front machines that have a control process, too. 0: all.
	ControlMachines int
	// StoreMachines is the number of machines with a batch process, spread over the zones. 0: one in each zone.
	StoreMachines int
	// MaxLostDisks is the number of disks that may be lost at once without loss of data. 0: one.
	MaxLostDisks int
	// JobRetention is how long batch jobs are kept. 0: two minutes.
	JobRetention time.Duration
	// ReportLoad has model servers report their load in responses.
	ReportLoad bool
	// Folder is for disks, settings files and logs, and is kept. Empty: a temporary one, which Close removes.
	Folder string
	// NetworkPrefix is the first three numbers of all loopback addresses. Empty: numbers that no other cluster
	// has. Disks hold the addresses of members, so a cluster on the disks of an earlier one needs its prefix.
	NetworkPrefix string
	// ReuseDisks starts the processes on the disks of an earlier cluster that Folder holds, with the setting
	// bootstrap off.
	ReuseDisks bool
	// Environment returns further variables (NAME=value) of a machine's processes. Nil: none.
	Environment func(Machine) []string
}

// DefaultOptions returns options with a control process, a gateway and a batch process in each of three
// zones, and six model servers.
func DefaultOptions(programs string) Options {
	return Options{Programs: programs, Zones: []string{"east", "west", "north"}, ModelServers: 6}
}

func (o Options) makeFolder() (string, error) {
	if o.Folder == "" {
		return os.MkdirTemp("", "sprucelane-system-")
	}
	return o.Folder, os.MkdirAll(o.Folder, 0o755)
}

// Cluster is a running system with its fakes. Its methods may be called from any goroutine.
type Cluster struct {
	Options      Options
	Machines     []Machine
	Platform     *platform.Platform
	ExecutionLog *modelserver.ExecutionLog // of all model servers

	settings      settings
	networkPrefix string // of all addresses

	mu           sync.Mutex // guards the fields below
	modelServers []*modelserver.Server
	processes    map[string]*process.Process // the latest incarnations, by Machine.processName
}

// Open starts the fakes and writes the settings files. No process of the system is started yet.
func Open(options Options) (*Cluster, error) {
	folder, err := options.makeFolder()
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		Options:       options,
		ExecutionLog:  &modelserver.ExecutionLog{},
		networkPrefix: cmp.Or(options.NetworkPrefix, uniqueNetworkPrefix()),
		processes:     map[string]*process.Process{},
		settings: settings{
			zones:        options.Zones,
			bootstrap:    !options.ReuseDisks,
			folder:       folder,
			maxLostDisks: options.MaxLostDisks,
			jobRetention: options.JobRetention,
		},
	}
	if err := c.open(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) open() error {
	var err error
	c.Platform, err = platform.Start(platform.Options{
		Address: hostPort(c.ipAddress(1), portPlatform),
		Lag:     platformLag,
		Rate:    platformRate,
	})
	if err != nil {
		return err
	}
	c.settings.platformAddress = c.Platform.Address()
	c.placeMachines()
	for range c.Options.ModelServers {
		if _, err := c.AddModelServer(); err != nil {
			return err
		}
	}
	for _, m := range c.Machines {
		for _, role := range m.Roles {
			if err := c.settings.write(m, role); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) ipAddress(number int) string { return fmt.Sprintf("%s.%d", c.networkPrefix, number) }

// The last numbers of the first addresses. Many machines of a kind push those of the next kinds up. Disks hold the
// addresses of members, so the numbers of small clusters must stay.
const (
	firstFrontNumber       = 10
	firstStoreNumber       = 30
	firstModelServerNumber = 50
)

// storeNumber returns the last number of the address of the store with an index.
func (o Options) storeNumber(index int) int {
	fronts, _ := o.machineCounts()
	return max(firstStoreNumber, firstFrontNumber+fronts) + index
}

// modelServerNumber returns the last number of the address of the model server with an index.
func (o Options) modelServerNumber(index int) int {
	_, stores := o.machineCounts()
	return max(firstModelServerNumber, o.storeNumber(stores)) + index
}

// placeMachines spreads front and store machines over the zones in turn.
func (c *Cluster) placeMachines() {
	fronts, stores := c.Options.machineCounts()
	for i := range max(fronts, stores) {
		if i < fronts {
			c.placeFront(i)
		}
		if i < stores {
			c.placeStore(i)
		}
	}
}

// machineCounts returns the numbers of front machines and stores.
func (o Options) machineCounts() (fronts, stores int) {
	return cmp.Or(o.FrontMachines, len(o.Zones)), cmp.Or(o.StoreMachines, len(o.Zones))
}

// zoneOf returns the zone of the machine with an index among those of its class, and its number within the zone.
func (c *Cluster) zoneOf(index int) (zone string, number int) {
	zones := c.Options.Zones
	return zones[index%len(zones)], index/len(zones) + 1
}

// placeFront places a front machine; the first ones have a control process.
func (c *Cluster) placeFront(index int) {
	zone, number := c.zoneOf(index)
	front := Machine{Name: fmt.Sprintf("front-%s-%d", zone, number), Class: ClassFront, Zone: zone,
		IP: c.ipAddress(firstFrontNumber + index), Roles: []Role{RoleGateway}}
	if c.Options.ControlMachines == 0 || index < c.Options.ControlMachines {
		front.Roles = []Role{RoleControl, RoleGateway}
		c.settings.seeds = append(c.settings.seeds, front.IP)
	}
	c.Machines = append(c.Machines, front)
}

// placeStore places a machine with a batch process.
func (c *Cluster) placeStore(index int) {
	zone, number := c.zoneOf(index)
	c.Machines = append(c.Machines, Machine{Name: fmt.Sprintf("store-%s-%d", zone, number), Class: ClassStore, Zone: zone,
		IP: c.ipAddress(c.Options.storeNumber(index)), Roles: []Role{RoleBatch}})
}

// FrontMachines returns the machines with a gateway.
func (c *Cluster) FrontMachines() []Machine { return c.MachinesOf(RoleGateway) }

// MachinesOf returns the machines with a role.
func (c *Cluster) MachinesOf(role Role) []Machine {
	return slices.DeleteFunc(slices.Clone(c.Machines), func(m Machine) bool { return !slices.Contains(m.Roles, role) })
}

// Machine returns the first machine with a role in a zone, which must have one.
func (c *Cluster) Machine(role Role, zone string) Machine {
	for _, m := range c.Machines {
		if m.Zone == zone && slices.Contains(m.Roles, role) {
			return m
		}
	}
	panic(fmt.Sprintf("system: no machine in %s has the role %s", zone, role))
}

// StartAll starts all processes.
func (c *Cluster) StartAll() error {
	for _, m := range c.Machines {
		for _, role := range m.Roles {
			if err := c.Start(m, role); err != nil {
				return err
			}
		}
	}
	return nil
}

// Start starts a role's process on a machine.
func (c *Cluster) Start(m Machine, role Role) error {
	environment := []string{node.SettingsVariable + "=" + c.settings.settingsPath(m, role)}
	if c.Options.Environment != nil {
		environment = append(environment, c.Options.Environment(m)...)
	}
	started, err := process.Start(process.Command{
		Name:        m.processName(role),
		Binary:      filepath.Join(c.Options.Programs, programPrefix+string(role)),
		Environment: environment,
		Log:         filepath.Join(c.settings.folder, m.processName(role)+".log"),
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.processes[m.processName(role)] = started
	c.mu.Unlock()
	return nil
}

// Process returns the latest incarnation of a role's process on a machine; nil: it was never started.
func (c *Cluster) Process(m Machine, role Role) *process.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[m.processName(role)]
}

// Restart starts a process again that has ended, with the setting bootstrap off: only the first start of a
// cluster may bootstrap it.
func (c *Cluster) Restart(m Machine, role Role) error {
	if p := c.Process(m, role); p != nil {
		if ended, _ := p.Ended(); !ended {
			return fmt.Errorf("system: %s is still running", p.Name)
		}
	}
	settings := c.settings
	settings.bootstrap = false
	if err := settings.write(m, role); err != nil {
		return err
	}
	return c.Start(m, role)
}

// WipeDisk empties the disk of a process that has ended.
func (c *Cluster) WipeDisk(m Machine, role Role) error {
	return os.RemoveAll(c.settings.dataPath(m, role))
}

// Operator returns a client of all control processes.
func (c *Cluster) Operator() *controlclient.Client {
	client := &controlclient.Client{}
	for _, ip := range c.settings.seeds {
		client.Addresses = append(client.Addresses, hostPort(ip, portControl))
	}
	return client
}

// Ready returns whether the gateway on a machine passes its readiness check.
func (c *Cluster) Ready(m Machine) bool {
	client := http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + hostPort(m.IP, portReady) + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until all gateways are ready. It fails at once where a process has exited.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for {
		if !slices.ContainsFunc(c.FrontMachines(), func(m Machine) bool { return !c.Ready(m) }) {
			return nil
		}
		if err := c.checkRunning(); err != nil {
			return err
		}
		if !sleep(ctx, readyPollInterval) {
			return errors.New("system: not all gateways are ready: " + c.logTails())
		}
	}
}

// WaitServing waits until each gateway is ready and has served a request of the client. A ready gateway may
// reject requests for a moment after the start of a cluster, as no quota has been granted yet.
func (c *Cluster) WaitServing(ctx context.Context, client *Client) error {
	if err := c.WaitReady(ctx); err != nil {
		return err
	}
	for _, m := range c.FrontMachines() {
		for attempt := 0; ; attempt++ {
			outcome := client.Stream(ctx, m, fmt.Sprintf("first-%s-%s-%d", client.Key, m.Name, attempt), 0)
			if outcome.Complete {
				break
			}
			if !sleep(ctx, servingPollInterval) {
				return fmt.Errorf("system: %s serves nothing: %+v%s", m.Name, outcome, c.logTails())
			}
		}
	}
	return nil
}

// checkRunning returns an error where a process has exited.
func (c *Cluster) checkRunning() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.processes {
		if ended, err := p.Ended(); ended {
			return fmt.Errorf("system: %s ended: %v: %s", name, err, p.LogTail()) //nolint:errorlint // nil after exit 0
		}
	}
	return nil
}

// logTails returns the last lines of each process's log.
func (c *Cluster) logTails() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := ""
	for name, p := range c.processes {
		text += "\n" + name + ": " + p.LogTail()
	}
	return text
}

// Close stops all processes and fakes, and removes the folder unless the options named one. The error names
// each process that didn't exit with 0 in time.
func (c *Cluster) Close() error {
	list := c.stopProcesses()
	for _, server := range c.ModelServers() {
		server.Stop()
	}
	if c.Platform != nil {
		c.Platform.Stop()
	}
	if c.Options.Folder == "" {
		list = append(list, os.RemoveAll(c.settings.folder))
	}
	return errors.Join(list...)
}

// stopProcesses stops all processes at the same time. Those that have exited before are not judged.
func (c *Cluster) stopProcesses() []error {
	c.mu.Lock()
	processes := c.processes
	c.processes = map[string]*process.Process{}
	c.mu.Unlock()
	failures := make(chan error, len(processes))
	var all sync.WaitGroup
	for name, p := range processes {
		if ended, _ := p.Ended(); ended {
			continue
		}
		all.Go(func() {
			if err := p.Stop(stopTimeout); err != nil {
				failures <- fmt.Errorf("system: %s: %w: %s", name, err, p.LogTail())
			}
		})
	}
	all.Wait()
	close(failures)
	var list []error
	for err := range failures {
		list = append(list, err)
	}
	return list
}

// sleep waits, and returns false where the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
