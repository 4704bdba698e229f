package link_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "sprucelane.example/sprucelane/api/sprucelane/v1"
	"sprucelane.example/sprucelane/internal/daemon/knowledge"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/link"
	"sprucelane.example/sprucelane/internal/fake/knowledgepeer"
)

var origin = time.Now()

// now is the clock of all exchanges.
func now() knowledge.Time { return time.Hour + time.Since(origin) }

// unseen returns observations of members to which the gateway has sent nothing.
func unseen() []knowledge.Observation {
	var list []knowledge.Observation
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		list = append(list, knowledge.Observation{Life: knowledge.Life{Instance: id}, Answered: -1, Warmth: 1})
	}
	return list
}

// open opens an exchange for a gateway of a name.
func open(t *testing.T, name string, own []knowledge.Observation, conf *link.TLS, peers ...string) *link.Exchange {
	e, err := link.Open(link.Options{Self: knowledge.Observer{Name: name, Birth: 1}, Listen: "127.0.0.1:0", Peers: peers,
		TLS: conf, Now: now}, own)
	require.NoError(t, err)
	t.Cleanup(e.Close)
	return e
}

// counter returns a counter of an exchange.
func counter(e *link.Exchange, name string) uint64 {
	for _, c := range e.Counters() {
		if c.Name == name {
			return c.Value
		}
	}
	return 0
}

// suspects returns the names of the suspects.
func suspects(list []knowledge.Prior) (names []string) {
	for _, p := range list {
		if p.Suspect {
			names = append(names, p.Instance)
		}
	}
	return names
}

// eventually waits for a condition. The timeout is long, as the speed of the machine is not tested.
func eventually(t *testing.T, is func() bool) {
	t.Helper()
	require.Eventually(t, is, time.Minute, 5*time.Millisecond)
}

// observedStall returns observations of members of which b is stalled.
func observedStall() []knowledge.Observation {
	list := unseen()
	for i := range list {
		list[i].Answered, list[i].Pace, list[i].Answers, list[i].Room = 100*time.Millisecond, 1, 9, 3
	}
	list[1].Answered, list[1].Stalled, list[1].Lost = 5*time.Second, 4*time.Second, 3
	return list
}

// A new gateway has a peer's snapshot once InitialSync is closed, and receives what changes.
func TestSnapshotThenUpdates(t *testing.T) {
	a := open(t, "g0", observedStall(), nil)
	b := open(t, "g1", unseen(), nil, a.Addr())
	<-b.InitialSync()
	assert.Equal(t, []string{"b"}, suspects(b.Priors()))
	assert.Len(t, b.Priors(), 5)
	next := observedStall()
	next[1], next[3] = next[3], next[1]
	next[1].Life, next[3].Life = next[3].Life, next[1].Life // now d is stalled and b answers
	next[1].Answered, next[1].Lost, next[1].Stalled = 0, 0, 0
	next[3].Answered, next[3].Lost, next[3].Stalled = 5*time.Second, 3, 4*time.Second
	a.Update(next, 0, 0)
	eventually(t, func() bool { s := suspects(b.Priors()); return len(s) == 1 && s[0] == "d" })
	p, err := link.FetchPicture(context.Background(), b.Addr(), nil, "test") // it is forwarded, with its hops
	require.NoError(t, err)
	require.Len(t, p.GetFacts(), 5)
	assert.Equal(t, "g0", p.GetFacts()[0].GetObserver())
	assert.Equal(t, uint32(1), p.GetFacts()[0].GetHops())
	assert.Equal(t, uint32(link.Version), p.GetVersion())
}

// fact returns a fact on member b.
func fact(seq uint64, stalled bool) *pb.Fact {
	f := &pb.Fact{Instance: "b", Observer: "peer", ObserverLife: 1, Seq: seq, Pace: 1, Answers: 9, Warmth: 1,
		AnsweredMs: proto.Uint64(10)}
	if stalled {
		f.StalledMs, f.Lost, f.AnsweredMs = 3000, 3, proto.Uint64(4000)
	}
	return f
}

// healthyFact returns a fact on member a.
func healthyFact(seq uint64) *pb.Fact {
	f := fact(seq, false)
	f.Instance = "a"
	return f
}

// A peer's call breaks off: what was received counts, and the call is repeated.
func TestPeerDies(t *testing.T) {
	var calls atomic.Int32
	peer, err := knowledgepeer.Start(func(n int, _ time.Duration) (*pb.Picture, time.Duration) {
		if n == 1 {
			return nil, 0
		}
		calls.Add(1)
		facts := []*pb.Fact{fact(uint64(calls.Load()), true), healthyFact(1)}
		return &pb.Picture{Version: 1, Oldest: 1, Teller: "peer", Whole: true, Facts: facts}, time.Millisecond
	})
	require.NoError(t, err)
	t.Cleanup(peer.Stop)
	e := open(t, "g1", unseen(), nil, peer.Addr())
	<-e.InitialSync()
	assert.Equal(t, []string{"b"}, suspects(e.Priors()))
	eventually(t, func() bool { return calls.Load() >= 3 })
	assert.Equal(t, []string{"b"}, suspects(e.Priors()))
	assert.GreaterOrEqual(t, counter(e, "calls_broken"), uint64(2))
}

// A message of a newer version is used if older readers may, and rejected if not; so is one without a version.
func TestOtherVersions(t *testing.T) {
	for name, c := range map[string]struct {
		version, oldest uint32
		taken           bool
	}{"newer, compatible": {9, 1, true}, "newer": {9, 9, false}, "older than any": {0, 0, false}} {
		facts := []*pb.Fact{fact(1, true), healthyFact(1)}
		facts[0].ProtoReflect().SetUnknown([]byte{0xf8, 0x07, 0x05}) // a field that this program doesn't know
		peer, err := knowledgepeer.Start(func(int, time.Duration) (*pb.Picture, time.Duration) {
			return &pb.Picture{Version: c.version, Oldest: c.oldest, Teller: "peer", Whole: true, Facts: facts}, -1
		})
		require.NoError(t, err)
		e := open(t, "g1", unseen(), nil, peer.Addr())
		<-e.InitialSync()
		assert.Equal(t, c.taken, len(e.Priors()) > 0, name)
		assert.Equal(t, !c.taken, counter(e, "messages_refused") > 0, name)
		peer.Stop()
	}
}

// The age of a fact includes the delay of its message; ages out of range are malformed, and a sender's deaf and
// blind times apply to its own facts.
func TestDelayedMessages(t *testing.T) {
	picture := func(elapsed time.Duration) *pb.Picture {
		return &pb.Picture{Version: 1, Oldest: 1, Teller: "peer", ElapsedMs: uint64(elapsed.Milliseconds()),
			Facts: []*pb.Fact{fact(1, true)}}
	}
	assert.Equal(t, 30*time.Second, link.FromWire(picture(0), 30*time.Second)[0].Age)
	broken := picture(0)
	broken.Facts[0].AgeMs = 1 << 63 // more than a duration holds
	assert.Negative(t, link.FromWire(broken, 0)[0].Age)
	broken.Facts[0].AgeMs, broken.Facts[0].AnsweredMs = 0, proto.Uint64(1<<63)
	assert.Negative(t, link.FromWire(broken, 0)[0].Age)
	broken.DeafMs, broken.BlindMs = 9000, 7000 // they apply to what the sender has observed
	broken.Facts[0].Observer = "peer"
	assert.Equal(t, 9*time.Second, link.FromWire(broken, 0)[0].Deaf)
}

// A peer that accepts the connection, sends one byte and hangs causes no delay longer than the timeout, and doesn't
// affect the other peers.
func TestPeerStallsAfterOneByte(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Write([]byte{0})
			t.Cleanup(func() { c.Close() })
		}
	}()
	a := open(t, "g0", observedStall(), nil)
	e := open(t, "g1", unseen(), nil, l.Addr().String(), a.Addr())
	eventually(t, func() bool { return len(suspects(e.Priors())) == 1 })
	eventually(t, func() bool { return counter(e, "calls_broken") > 0 })
	<-e.InitialSync() // it has failed by then
}

// authority issues certificates.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// newAuthority returns an authority with a root certificate.
func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	a.cert, a.key = template, nil
	a.cert, a.key = a.issue(template)
	return a
}

// issue issues a certificate.
func (a *authority) issue(template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	signer := a.key
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, signer)
	require.NoError(a.t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(a.t, err)
	return cert, key
}

// identity returns a configuration with a certificate of the authority that trusts those of another.
func (a *authority) identity(trust *authority) *link.TLS {
	cert, key := a.issue(&x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "gateway"},
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}})
	roots := x509.NewCertPool()
	roots.AddCert(trust.cert)
	pair := []tls.Certificate{{Certificate: [][]byte{cert.Raw}, PrivateKey: key}}
	return &link.TLS{Server: &tls.Config{Certificates: pair, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert},
		Client: &tls.Config{Certificates: pair, RootCAs: roots}}
}

// Calls without a certificate of the fleet, and to a server without one, fail.
func TestMutualTLS(t *testing.T) {
	fleet, stranger := newAuthority(t), newAuthority(t)
	a := open(t, "g0", observedStall(), fleet.identity(fleet))
	b := open(t, "g1", unseen(), fleet.identity(fleet), a.Addr())
	<-b.InitialSync()
	assert.Equal(t, []string{"b"}, suspects(b.Priors()))
	for name, conf := range map[string]*link.TLS{"plain": nil, "certificate of another": stranger.identity(fleet),
		"other roots": fleet.identity(stranger)} {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		_, err := link.FetchPicture(ctx, a.Addr(), conf, "test")
		assert.Error(t, err, name)
		cancel()
	}
}

// No message makes the exchange panic, or leads to a prior out of bounds.
func FuzzFromWire(f *testing.F) {
	good, _ := proto.Marshal(&pb.Picture{Version: 1, Oldest: 1, Teller: "peer", Facts: []*pb.Fact{fact(1, true)}})
	f.Add(good, int64(0))
	f.Add([]byte{}, int64(5))
	f.Fuzz(func(t *testing.T, text []byte, late int64) {
		var p pb.Picture
		if proto.Unmarshal(text, &p) != nil {
			return
		}
		b := knowledge.New(knowledge.Options{Self: knowledge.Observer{Name: "me"}})
		b.SetMembers([]knowledge.Life{{Instance: "b"}, {Instance: "a"}, {Instance: "c"}, {Instance: "d"}})
		b.Receive(now(), link.FromWire(&p, time.Duration(late&0xffffffffff)))
		for _, prior := range b.Priors(now(), []knowledge.Observation{{Life: knowledge.Life{Instance: "b"}, Answered: -1}}) {
			if !(prior.Pace > 0 && prior.Pace < 100 && prior.Weight > 0 && prior.Room >= 0) {
				t.Fatalf("%+v", prior)
			}
		}
	})
}
