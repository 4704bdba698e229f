package lab

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "sprucelane.example/sprucelane/api/sprucelane/v1"
	"sprucelane.example/sprucelane/internal/fake/knowledgepeer"
	"sprucelane.example/sprucelane/internal/fake/poolmember"
	"sprucelane.example/sprucelane/internal/lab/load"
	"sprucelane.example/sprucelane/internal/lab/programs"
)

var built string // folder

// The stories of this package run the real programs.
func TestMain(m *testing.M) {
	os.Exit(programs.Run(m, func(folder string) { built = folder }, "sprucelane", "sprucelane-link"))
}

func site(t *testing.T, gateways, n int) *Site {
	spec := poolmember.Default()
	spec.Work.Mean = 20 * time.Millisecond
	asks := PlatformLoad(3, 60, 20, gateways)
	for i := range asks.Plans {
		asks.Plans[i].Rate, asks.Plans[i].Burst = 1000, 10000
	}
	s, err := Open(Plan{Binary: filepath.Join(built, "sprucelane"), Seed: 3, Gateways: gateways, Members: n, Spec: spec, Load: asks, Peers: gateways > 1})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func knows(listen string, peers ...string) map[string]any {
	return map[string]any{"knowledge": map[string]any{"listen": listen, "peers": peers, "plain": true}}
}

// A gateway that starts beside one that runs sends nothing to the members that hang, though it has never been there;
// the peer's word can be printed; and SIGTERM ends both with 0.
func TestNewGatewayLearnsFromOneThatRuns(t *testing.T) {
	s := site(t, 2, 8)
	_, err := s.StartGateway(0, knows(s.Links[0]))
	require.NoError(t, err)
	s.Member("m-002").Hang()
	s.Run(context.Background(), 3*time.Second)
	require.NotZero(t, s.Audit().Swallowed[0]) // the first learns it the hard way
	told, err := exec.Command(filepath.Join(built, "sprucelane"), "knowledge", "--peer", s.Links[0], "--plain").CombinedOutput()
	require.NoError(t, err, string(told))
	assert.Contains(t, string(told), "m-002")
	_, err = s.StartGateway(1, knows(s.Links[1], s.Links[0]))
	require.NoError(t, err)
	again := s.Load
	again.Seed++ // other ids
	next, err := load.New(again, s.Doors)
	require.NoError(t, err)
	next.Run(context.Background(), time.Now(), 2*time.Second)
	assert.Zero(t, s.Audit().Swallowed[1])
	served := load.Summarise(next.Records(), s.Load.Classes, func(r load.Record) bool { return r.Door == 1 })
	assert.Greater(t, served.Tries, 10)
	assert.Zero(t, s.Audit().Twice)
	for n := range 2 {
		assert.NoError(t, s.Gateway(n).Stop(30*time.Second))
		assert.Contains(t, s.Gateway(n).Log(), "event=stopped part=knowledge")
	}
}

// A peer that praises a member which drains, and one that was never listed, gets them no work; and a peer that never
// speaks holds the start up for no longer than the wait.
func TestPraiseListsNoMember(t *testing.T) {
	s := site(t, 1, 4)
	praise, err := knowledgepeer.Start(func(n int, _ time.Duration) (*pb.Picture, time.Duration) {
		p := &pb.Picture{Version: 1, Oldest: 1, Teller: "peer", Whole: n == 0}
		for i, id := range []string{"m-001", "m-009"} {
			p.Facts = append(p.Facts, &pb.Fact{Instance: id, Observer: "peer", ObserverLife: 1, Seq: uint64(2*n + i + 1), Pace: 0.01,
				Answers: 1000, Room: 1000, Warmth: 1, AnsweredMs: proto.Uint64(1)})
		}
		return p, 50 * time.Millisecond
	})
	require.NoError(t, err)
	t.Cleanup(praise.Stop)
	silent, err := knowledgepeer.Start(func(int, time.Duration) (*pb.Picture, time.Duration) { return &pb.Picture{Version: 1, Oldest: 1}, -1 })
	require.NoError(t, err)
	t.Cleanup(silent.Stop)
	ready, err := s.StartGateway(0, knows("", praise.Addr(), silent.Addr()))
	require.NoError(t, err)
	assert.Less(t, ready, 15*time.Second) // the wait is 0.3 s; the rest is the machine's
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(context.Background(), 3*time.Second)
	}()
	time.Sleep(time.Second)
	s.Agent.Lifecycle("m-001", "draining")
	<-done
	require.NotZero(t, s.Agent.Told(0, "m-001"))
	a := s.Audit()
	assert.Zero(t, a.Late)
	assert.Greater(t, a.Served, uint64(100))
}

// The demonstration plays to its end without a broken rule.
func TestDemo(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, Demo{Binary: filepath.Join(built, "sprucelane"), Seed: 1, Rate: 40, For: 6 * time.Second, Out: &out}.Run(context.Background()))
	assert.Contains(t, out.String(), "m-003 takes work and answers none")
	assert.Contains(t, out.String(), "ran twice: 0, sends to draining members after the grace: 0")
	assert.Equal(t, 3, strings.Count(out.String()[strings.LastIndex(out.String(), "GATEWAY"):], "│ g"))
}

func TestPlansThatCannotBe(t *testing.T) {
	_, err := Open(Plan{Gateways: 0, Members: 1})
	assert.ErrorContains(t, err, "gateways")
	s := site(t, 1, 1)
	s.Binary = "/no/such/program"
	_, err = s.StartGateway(0, nil)
	assert.Error(t, err)
	s.Binary = filepath.Join(built, "sprucelane")
	_, err = s.StartGateway(0, map[string]any{"knowledge": map[string]any{"peers": []string{"x"}}})
	assert.ErrorContains(t, err, "knowledge.peers[0]")
}

// An upgrade costs no client its answer and holds the limits; a restart of the same load does cost some.
func TestUpgradeAgainstRestart(t *testing.T) {
	runs, err := Upgrade{Binary: filepath.Join(built, "sprucelane"), Seeds: []uint64{1}, Parallel: 1, Rate: 60, Upgrades: 1,
		Every: 1500 * time.Millisecond, Bulk: 1, MemoryMB: 64, Progress: io.Discard}.Run(context.Background())
	require.NoError(t, err)
	require.Len(t, runs, 2)
	for _, r := range runs {
		assert.Greater(t, r.Tries, 100)
		assert.NotZero(t, r.Bulk)
		assert.Zero(t, r.Twice)
		if r.Beside {
			assert.Zero(t, r.Broken)
			assert.Zero(t, r.BulkBroken)
			assert.Greater(t, r.Memory, int64(1<<20))
		} else {
			assert.NotZero(t, r.Broken)
		}
	}
}
