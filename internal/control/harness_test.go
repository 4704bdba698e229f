package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverlist"
)

// fakePlatform serves the platform's server list.
type fakePlatform struct {
	*httptest.Server
	calls   atomic.Int64
	mutex   sync.Mutex
	servers string
}

// newFakePlatform starts a platform whose list has two servers.
func newFakePlatform(t *testing.T) *fakePlatform {
	p := &fakePlatform{}
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		p.calls.Add(1)
		p.mutex.Lock()
		defer p.mutex.Unlock()
		fmt.Fprintf(w, `{"instances":[%s],"next-token":null}`, p.servers)
	}))
	t.Cleanup(p.Close)
	p.set(
		`{"id":"i-1","backend":"b","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready"},{"id":"i-2","backend":"b","address":"10.0.0.2:80","zone":"z","slots":4,"state":"ready"}`,
	)
	return p
}

func (p *fakePlatform) set(servers string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.servers = servers
}

// system is a few control processes, each with its own loopback address.
type system struct {
	settings []*node.Settings
	running  []*Control
	client   *http.Client
	dialFrom func(ip string) func(ctx context.Context, address string) (net.Conn, error) // nil: TCP
}

// networks counts the systems of one test run. System N has the addresses 127.7.N.x.
var networks atomic.Int32

// newSystem starts three control processes.
func newSystem(t *testing.T, cloud string) *system {
	s := &system{running: make([]*Control, 3), client: http.DefaultClient}
	first := freePorts(t)
	network := networks.Add(1)
	var seeds []string
	for i := range s.running {
		seeds = append(seeds, fmt.Sprintf("127.7.%d.%d:%d", network, i+1, first+5))
	}
	for i := range s.running {
		host, _, _ := net.SplitHostPort(seeds[i])
		s.settings = append(s.settings, &node.Settings{
			NodeName:      fmt.Sprint("front-", i+1),
			Role:          "control",
			IP:            host,
			Zone:          fmt.Sprint("z", i),
			ListenControl: seeds[i],
			FirstPort:     first,
			LastPort:      first + 4,
			Seeds:         seeds,
			Bootstrap:     true,
			DataDir:       filepath.Join(t.TempDir(), "disk"),
			Limits:        node.Limits{MemoryMB: 284},
			Tolerance:     node.Tolerance{Machines: 1},
			Bounds: node.Bounds{
				Acknowledge:    4 * time.Second,
				QuotaWindow:    5 * time.Second,
				QuotaOvershoot: 0.1,
				QuotaSlack:     20,
			},
			Cloud: node.Cloud{Address: cloud},
		})
	}
	for i := range s.running {
		s.start(t, i)
	}
	t.Cleanup(func() {
		for _, one := range s.running {
			if one != nil {
				one.Stop()
			}
		}
	})
	return s
}

// freePorts returns the first port of a range that is probably free.
func freePorts(t *testing.T) int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

func (s *system) start(t *testing.T, i int) {
	t.Helper()
	one, err := Start(Options{Settings: s.settings[i], Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	s.running[i] = one
}

func (s *system) stop(i int) {
	s.running[i].Stop()
	s.running[i] = nil
}

// eventually waits for a condition and fails the test if it isn't met within 15 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("not met within 15 s: " + what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *system) call(i int, method, path, ifMatch, body string) (int, string) {
	request, _ := http.NewRequest(method, "http://"+s.settings[i].ListenControl+path, strings.NewReader(body))
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(answer)
}

// simulatedPoller is a gateway or batch process that polls one control process, and keeps what it was sent last.
type simulatedPoller struct {
	mutex         sync.Mutex
	configuration *configuration.State
	servers       *protocol.ServerList
	deltas        int // number of server lists that were received as deltas
	members       *protocol.MemberList
	grant         protocol.StoreGrant
	report        protocol.BatchReport
	fresh         bool
	paused        atomic.Bool
}

func (s *system) startPoller(t *testing.T, i int, process protocol.Process) *simulatedPoller {
	f := &simulatedPoller{configuration: configuration.NewState()}
	identity := transport.Identity{System: protocol.System, Node: process.Node, Role: process.Role, Zone: process.Zone}
	options := transport.Options{Identity: identity}
	if s.dialFrom != nil {
		options.Dial = s.dialFrom(process.IP)
	}
	client := transport.NewClient(s.settings[i].Endpoint(node.PortControl), options, f.apply, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			f.poll(ctx, client, process, sequence)
			time.Sleep(40 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		cancel()
		client.Close()
		<-done
	})
	return f
}

func (f *simulatedPoller) poll(
	ctx context.Context,
	client *transport.Client,
	process protocol.Process,
	sequence uint64,
) {
	if f.paused.Load() {
		return
	}
	f.mutex.Lock()
	poll := protocol.Poll{Process: process, Sequence: sequence, Configuration: f.configuration.Current().Index}
	if process.Role == protocol.RoleBatch {
		report := f.report
		poll.Batch = &report
	}
	f.mutex.Unlock()
	limited, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if reply, err := client.Call(limited, poll); err == nil {
		f.apply(reply)
	}
}

func (f *simulatedPoller) apply(message any) {
	update := message.(protocol.Update)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if update.Configuration != nil {
		if _, err := f.configuration.ApplyUpdate(update.Configuration); err != nil {
			panic(err)
		}
	}
	if update.Servers != nil {
		list, err := serverlist.ApplyUpdate(f.servers, update.Servers)
		if err != nil {
			panic(err)
		}
		f.servers = list
		if update.Servers.Base > 0 {
			f.deltas++
		}
	}
	if update.Members != nil {
		f.members = update.Members
	}
	if update.Store != nil {
		f.grant = *update.Store
	}
	f.fresh = update.Fresh
}

func (f *simulatedPoller) locked(condition func() bool) func() bool {
	return func() bool {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return condition()
	}
}
