// Package system owns a whole system on loopback: control processes, gateways and batch processes as real processes, with
// stand-ins for the platform's list, the model servers and the clients. It must never end a process that it didn't start, nor
// reach into one otherwise than its clients and operators could.
package system

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/controlclient"
	"sprucelane.example/sprucelane/internal/fake/modelserver"
	"sprucelane.example/sprucelane/internal/fake/platform"
	"sprucelane.example/sprucelane/internal/lab/process"
	"sprucelane.example/sprucelane/internal/node"
)

// The figures of the stand-ins.
const (
	platformLag          = 200 * time.Millisecond
	platformRate         = 44 // calls a second
	engineSlots          = 16
	engineConns          = 190
	engineKVTokens       = 232000
	enginePrefillRate    = 128000 // tokens read in a second
	engineTokensPerEvent = 24
	engineEventInterval  = 10 * time.Millisecond
	stopTimeout          = 9 * time.Second // the grace of the settings, and a second
)

// Plan is what stands.
type Options struct {
	Programs      string // the folder of the programs
	Zones         []string
	ModelServers  int                      // model servers
	FailStatus    func(request string) int // of the model servers; nil: none fails
	FrontMachines int                      // front machines, in the zones in turn; 0: one in each zone
	StoreMachines int                      // store machines, in the zones in turn; 0: one in each zone
	MaxLostDisks  int                      // disks that may be lost at once; 0: one
	JobRetention  time.Duration            // how long batch jobs are kept; 0: as usual
	ReportLoad    bool                     // model servers tell their load
	Folder        string                   // of disks, settings files and logs, which stays; empty: a temporary one
	// Environment gives further variables of a machine's processes, NAME=value; nil: none.
	Environment func(Machine) []string
}

// DefaultPlan has a control process, a gateway and a batch process in each of three zones, before six servers.
func DefaultOptions(programs string) Options {
	return Options{Programs: programs, Zones: []string{"east", "west", "north"}, ModelServers: 6}
}

func (p Options) folder() (string, error) {
	if p.Folder == "" {
		return os.MkdirTemp("", "sprucelane-system-")
	}
	return p.Folder, os.MkdirAll(p.Folder, 0o755)
}

// Fleet is a running system.
type Cluster struct {
	Options      Options
	Machines     []Machine
	Platform     *platform.Platform
	ExecutionLog *modelserver.ExecutionLog

	settings      settings
	networkPrefix string

	mu           sync.Mutex
	modelServers []*modelserver.Server
	processes    map[string]*process.Process // by machine and role
}

// Open starts the stand-ins and writes the settings files. Start starts the processes.
func Open(plan Options) (*Cluster, error) {
	folder, err := plan.folder()
	if err != nil {
		return nil, err
	}
	f := &Cluster{
		Options:       plan,
		ExecutionLog:  &modelserver.ExecutionLog{},
		networkPrefix: uniqueNetworkPrefix(),
		processes:     map[string]*process.Process{},
	}
	f.settings = settings{zones: plan.Zones, bootstrap: true, folder: folder, maxLostDisks: plan.MaxLostDisks, jobRetention: plan.JobRetention}
	if err := f.open(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Cluster) open() error {
	var err error
	f.Platform, err = platform.Start(platform.Options{
		Address: endpoint(f.ipAddress(1), portPlatform),
		Lag:     platformLag,
		Rate:    platformRate,
	})
	if err != nil {
		return err
	}
	f.settings.platformAddress = f.Platform.Address()
	f.placeMachines()
	for range f.Options.ModelServers {
		if _, err := f.AddModelServer(); err != nil {
			return err
		}
	}
	for _, m := range f.Machines {
		for _, role := range m.Roles {
			if err := f.settings.write(m, role); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Cluster) ipAddress(number int) string { return fmt.Sprintf("%s.%d", f.networkPrefix, number) }

// place puts front machines, with control and gateway, and store machines into the zones.
func (f *Cluster) placeMachines() {
	const firstFront, firstStore = 10, 30
	zones := len(f.Options.Zones)
	fronts, stores := cmp.Or(f.Options.FrontMachines, zones), cmp.Or(f.Options.StoreMachines, zones)
	for i := range max(fronts, stores) {
		zone, number := f.Options.Zones[i%zones], i/zones+1
		if i < fronts {
			front := Machine{Name: fmt.Sprintf("front-%s-%d", zone, number), Class: "front", Zone: zone, IP: f.ipAddress(firstFront + i),
				Roles: []string{RoleControl, RoleGateway}}
			f.Machines = append(f.Machines, front)
			f.settings.seeds = append(f.settings.seeds, front.IP)
		}
		if i < stores {
			store := Machine{Name: fmt.Sprintf("store-%s-%d", zone, number), Class: "store", Zone: zone, IP: f.ipAddress(firstStore + i),
				Roles: []string{RoleBatch}}
			f.Machines = append(f.Machines, store)
		}
	}
}

// AddEngine starts a model server in the next zone and lists it.
func (f *Cluster) AddModelServer() (*modelserver.Server, error) {
	const firstEngine = 50
	f.mu.Lock()
	defer f.mu.Unlock()
	number := len(f.modelServers)
	server, err := modelserver.Start(modelserver.Options{
		ID:             fmt.Sprintf("i-%04d", number+1),
		Service:        ServiceName,
		Address:        endpoint(f.ipAddress(firstEngine+number), portModelServer),
		Slots:          engineSlots,
		MaxConnections: engineConns,
		KVTokens:       engineKVTokens,
		PrefillRate:    enginePrefillRate,
		EventInterval:  engineEventInterval,
		TokensPerEvent: engineTokensPerEvent,
		ExecutionLog:   f.ExecutionLog,
		FailStatus:     f.Options.FailStatus,
		ReportLoad:     f.Options.ReportLoad,
	})
	if err != nil {
		return nil, err
	}
	f.modelServers = append(f.modelServers, server)
	f.Platform.Put(server, f.Options.Zones[number%len(f.Options.Zones)])
	return server, nil
}

// Engines gives the model servers.
func (f *Cluster) ModelServers() []*modelserver.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*modelserver.Server(nil), f.modelServers...)
}

// StartAll starts all processes.
func (f *Cluster) StartAll() error {
	for _, m := range f.Machines {
		for _, role := range m.Roles {
			if err := f.Start(m, role); err != nil {
				return err
			}
		}
	}
	return nil
}

// Start starts a role's process on a machine.
func (f *Cluster) Start(m Machine, role string) error {
	environment := []string{node.SettingsVariable + "=" + f.settings.settingsPath(m, role)}
	if f.Options.Environment != nil {
		environment = append(environment, f.Options.Environment(m)...)
	}
	started, err := process.Start(process.Command{
		Name:        m.Name + "-" + role,
		Binary:      filepath.Join(f.Options.Programs, programPrefix+role),
		Environment: environment,
		Log:         filepath.Join(f.settings.folder, m.Name+"-"+role+".log"),
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.processes[m.Name+"-"+role] = started
	f.mu.Unlock()
	return nil
}

// Process gives the process of a role on a machine in its latest life; nil: it was never started.
func (f *Cluster) Process(m Machine, role string) *process.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[m.Name+"-"+role]
}

// Restart starts a process again, with bootstrap false as after any first start.
func (f *Cluster) Restart(m Machine, role string) error {
	if p := f.Process(m, role); p != nil {
		if ended, _ := p.Ended(); !ended {
			return fmt.Errorf("%s is still running", p.Name)
		}
	}
	settings := f.settings
	settings.bootstrap = false
	if err := settings.write(m, role); err != nil {
		return err
	}
	return f.Start(m, role)
}

// WipeDisk empties the disk of a role whose process has ended.
func (f *Cluster) WipeDisk(m Machine, role string) error {
	return os.RemoveAll(f.settings.dataPath(m, role))
}

// Machine gives the machine of a role in a zone.
func (f *Cluster) Machine(role, zone string) Machine {
	for _, m := range f.Machines {
		for _, one := range m.Roles {
			if one == role && m.Zone == zone {
				return m
			}
		}
	}
	panic("no machine of " + zone + " plays " + role)
}

// Operator gives a client of the control processes.
func (f *Cluster) Operator() *controlclient.Client {
	client := &controlclient.Client{}
	for _, ip := range f.settings.seeds {
		client.Addresses = append(client.Addresses, endpoint(ip, portControl))
	}
	return client
}

// ControlAddress gives the address of the operator's API on a machine.
func ControlAddress(m Machine) string { return endpoint(m.IP, portControl) }

// Ready tells whether the gateway on a machine says that it is.
func (f *Cluster) Ready(m Machine) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + endpoint(m.IP, portReady) + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until all gateways are ready. It fails at once where a process has ended by itself.
func (f *Cluster) WaitReady(ctx context.Context) error {
	for {
		ready := true
		for _, m := range f.Machines {
			if m.Class == "front" && !f.Ready(m) {
				ready = false
			}
		}
		if ready {
			return nil
		}
		if err := f.checkRunning(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.New("not all gateways are ready: " + f.logTails())
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// WaitServing waits until each gateway is ready and has served a client's request: for a moment after the start of a fleet there
// are no grants of quota yet.
func (f *Cluster) WaitServing(ctx context.Context, client *Client) error {
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	for _, m := range f.Machines {
		if m.Class != "front" {
			continue
		}
		for try := 0; ; try++ {
			got := client.Stream(ctx, m, fmt.Sprintf("first-%s-%s-%d", client.Key, m.Name, try), 0)
			if got.Complete {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s serves nothing: %+v%s", m.Name, got, f.logTails())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func (f *Cluster) checkRunning() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, p := range f.processes {
		if ended, err := p.Ended(); ended {
			return fmt.Errorf("%s ended: %v: %s", name, err, p.LogTail()) //nolint:errorlint // nil after exit 0
		}
	}
	return nil
}

func (f *Cluster) logTails() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	text := ""
	for name, p := range f.processes {
		text += "\n" + name + ": " + p.LogTail()
	}
	return text
}

// Close ends all processes and stand-ins, and removes the disks unless their folder was given. It tells which process didn't end cleanly when it was asked to.
func (f *Cluster) Close() error {
	f.mu.Lock()
	processes := f.processes
	f.processes = map[string]*process.Process{}
	f.mu.Unlock()
	failures := make(chan error, len(processes))
	var all sync.WaitGroup
	for name, p := range processes {
		if ended, _ := p.Ended(); ended {
			continue
		}
		all.Go(func() {
			if err := p.Stop(stopTimeout); err != nil {
				failures <- fmt.Errorf("%s: %w: %s", name, err, p.LogTail())
			}
		})
	}
	all.Wait()
	close(failures)
	for _, server := range f.ModelServers() {
		server.Stop()
	}
	if f.Platform != nil {
		f.Platform.Stop()
	}
	var list []error
	for err := range failures {
		list = append(list, err)
	}
	if f.Options.Folder == "" {
		list = append(list, os.RemoveAll(f.settings.folder))
	}
	return errors.Join(list...)
}
