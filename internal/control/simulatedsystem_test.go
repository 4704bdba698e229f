package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/simulation/bubble"
)

const (
	platformAddress = "10.0.1.1:80"
	operatorIP      = "10.0.2.1"
	operatorDial    = 5 * time.Second
)

// simulatedSystem is a system with the platform and an operator on a simulated network, simulated disks and virtual
// time.
type simulatedSystem struct {
	*system
	t       *testing.T
	network *bubble.Network
	disks   []*bubble.Disk
	hosts   []*bubble.Host
	others  map[string]*bubble.Host // hosts of the operator, the platform, gateways and batch processes, by IP
	mutex   sync.Mutex              // guards others and servers, and writes to running
	servers string
	bug     injectedBug
}

// injectedBug is a bug that the checks must find; see environment. The zero value injects none.
type injectedBug struct {
	wrapReplica    func(Replica) Replica
	leaseSuspected bool
}

// newSimulatedSystem starts three control processes, one of which may fail at a time. It must be called in a
// synctest bubble.
func newSimulatedSystem(t *testing.T, seed uint64, bug injectedBug) *simulatedSystem {
	return newSizedSystem(t, seed, 3, 1, bug)
}

// newSizedSystem starts members control processes. tolerance is the number of disks that may be lost at once.
func newSizedSystem(t *testing.T, seed uint64, members, tolerance int, bug injectedBug) *simulatedSystem {
	s := &simulatedSystem{
		system:  &system{running: make([]*Control, members)},
		t:       t,
		bug:     bug,
		network: bubble.NewNetwork(seed),
		others:  map[string]*bubble.Host{},
	}
	s.dialFrom = func(ip string) func(context.Context, string) (net.Conn, error) { return s.host(ip).Dial }
	s.client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			// The time-out is independent of the call: the end of the call must not abort dialing.
			ctx, cancel := context.WithTimeout(ctx, operatorDial)
			defer cancel()
			return s.host(operatorIP).Dial(ctx, address)
		}}}
	s.servePlatform()
	var seeds []string
	for i := range s.running {
		seeds = append(seeds, fmt.Sprintf("10.0.0.%d:8080", i+1))
	}
	for i := range s.running {
		s.disks = append(s.disks, bubble.NewDisk(seed*8+uint64(i)))
		s.hosts = append(s.hosts, nil)
		s.settings = append(s.settings, &node.Settings{
			NodeName:      fmt.Sprint("front-", i+1),
			Role:          "control",
			IP:            fmt.Sprint("10.0.0.", i+1),
			Zone:          fmt.Sprint("z", i),
			ListenControl: seeds[i],
			FirstPort:     7000,
			LastPort:      7004,
			Seeds:         seeds,
			Bootstrap:     true,
			DataDir:       "/disk",
			Limits:        node.Limits{MemoryMB: 284},
			Tolerance:     node.Tolerance{Machines: tolerance},
			Cloud:         node.Cloud{Address: platformAddress, Rate: 50},
			Bounds: node.Bounds{
				Acknowledge:    4 * time.Second,
				QuotaWindow:    5 * time.Second,
				QuotaOvershoot: 0.1,
				QuotaSlack:     20,
			},
		})
		s.begin(i)
	}
	return s
}

// host returns the host of a process that isn't a control process, and starts it on the first call.
func (s *simulatedSystem) host(ip string) *bubble.Host {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.others[ip] == nil {
		s.others[ip] = s.network.StartHost(ip)
	}
	return s.others[ip]
}

func (s *simulatedSystem) servePlatform() {
	listener, err := s.host("10.0.1.1").Listen(platformAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	s.setServers(`{"id":"i-1","backend":"b","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready"}`)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		_, _ = io.WriteString(w, `{"instances":[`+s.servers+`],"next-token":null}`)
	})}
	go func() { _ = server.Serve(listener) }()
	s.t.Cleanup(func() { _ = server.Close() })
}

func (s *simulatedSystem) setServers(servers string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.servers = servers
}

// begin starts a control process on its disk.
func (s *simulatedSystem) begin(i int) {
	s.hosts[i] = s.network.StartHost(s.settings[i].IP)
	env := &environment{
		bind:           s.hosts[i].Listen,
		dial:           s.hosts[i].Dial,
		disk:           s.disks[i].Mount(),
		wrapReplica:    s.bug.wrapReplica,
		leaseSuspected: s.bug.leaseSuspected,
	}
	one, err := Start(Options{Settings: s.settings[i], Log: zerolog.Nop(), environment: env})
	if err != nil {
		s.t.Fatal(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running[i] = one
}

// finish stops all control processes.
func (s *simulatedSystem) finish() {
	for i := range s.running {
		if s.running[i] != nil {
			s.running[i].Stop()
		}
	}
	time.Sleep(time.Minute) // idle connections close in this time
}

// head returns the index of the control process that leads the chain; -1 if none does.
func (s *simulatedSystem) head() int {
	for i, one := range s.running {
		if one != nil {
			if _, _, ok := one.replica.LeaderLease(); ok {
				return i
			}
		}
	}
	return -1
}

// partition cuts the outgoing, the incoming or both directions between a control process and the others.
func (s *simulatedSystem) partition(victim int, out, in bool) {
	for i := range s.settings {
		if i != victim && out {
			s.network.Partition(s.settings[victim].IP, s.settings[i].IP)
		}
		if i != victim && in {
			s.network.Partition(s.settings[i].IP, s.settings[victim].IP)
		}
	}
}

func (s *simulatedSystem) heal(victim int) {
	for i := range s.settings {
		s.network.Heal(s.settings[victim].IP, s.settings[i].IP)
		s.network.Heal(s.settings[i].IP, s.settings[victim].IP)
	}
}

// askQuota requests tokens from a control process and reports whether it grants any.
func (s *simulatedSystem) askQuota(i int, sequence uint64) bool {
	process := protocol.Process{Node: "gateway-q", Role: protocol.RoleGateway, IP: "10.0.3.99", Incarnation: "x"}
	client := transport.NewClient(
		s.settings[i].Endpoint(node.PortControl),
		transport.Options{
			Identity: transport.Identity{System: protocol.System, Node: process.Node, Role: process.Role},
			Dial:     s.host(process.IP).Dial,
		},
		nil,
		nil,
	)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for !client.Connected() {
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(time.Millisecond)
	}
	reply, err := client.Call(ctx, protocol.QuotaRequest{Process: process, Sequence: sequence, Whole: true,
		Demands: []protocol.QuotaDemand{{Tenant: "t", Rate: 3, Want: 2}}})
	if err != nil {
		return false
	}
	answer, ok := reply.(protocol.QuotaReply)
	return ok && len(answer.Grants) > 0 && answer.Grants[0].Tokens > 0
}
