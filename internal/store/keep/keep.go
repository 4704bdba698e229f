// Package keep owns what a gateway keeps in its store: how much each account has drawn, and that it lives. It writes beside the
// gateway's work, never in its way; a disk that is slow, full or gone costs what is kept, nothing else. It must never give back use
// that was not there, nor that of another gateway.
package keep

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"sprucelane.example/sprucelane/internal/store"
	"sprucelane.example/sprucelane/policy"
)

// The keys: a letter, and for accounts the name that gateways have for them in messages. Values are protocol buffers; the
// messages stand in api/sprucelane/v1/keep.proto.
const (
	accountPrefix  = 'a'
	incarnationKey = "l"
)

const (
	// Every is how often changes are written; with the store's FlushEvery it bounds what a crash takes.
	WriteInterval = 100 * time.Millisecond
	// aliveEvery is how often a gateway of which nothing is asked says that it lives.
	heartbeatInterval = time.Second
	// lockWait is how often a folder is tried again that another process has open: a predecessor that is ending.
	lockRetryInterval = 500 * time.Millisecond
	// forgetAfter is how long an account's use is kept that nobody has asked for: longer than any burst takes to fill.
	balanceTTL = time.Hour
)

// Gateway is what is kept of.
type Gateway interface {
	QuotaBalances(since policy.Time) (list []policy.QuotaBalance, now policy.Time)
	RestoreBalances(list []policy.QuotaBalance)
}

// Options say where and for whom.
type Options struct {
	Path        string
	Name        string // the gateway's
	Plans       []string
	Store       store.Options
	Now         func() time.Time
	OnLockRetry func() // of tests: called before a folder is tried again
}

// Keeper writes what a gateway is to know after its next start.
type Keeper struct {
	opt     Options
	gateway Gateway

	mu             sync.Mutex
	store          *store.Store // nil: not open
	restored       int
	quarantinePath string
	err            error
}

// life is what a gateway says of itself.
type incarnation struct {
	name        string
	lastAliveMs int64 // Unix ms
	plans       []string
}

// Open opens the folder, hands the gateway what the former life has kept, and gives a keeper for this one. A folder that another
// process has open is tried again by Run, and nothing is recalled of it. What can't be used is set aside under another
// name, and the gateway goes on as with none.
func Open(opt Options, g Gateway) (*Keeper, error) {
	if opt.Now == nil {
		opt.Now = time.Now
	}
	k := &Keeper{opt: opt, gateway: g}
	err := k.open(true)
	if errors.Is(err, store.ErrLocked) {
		return k, nil
	}
	return k, err
}

func (k *Keeper) open(recall bool) error {
	fs, err := store.OpenDir(k.opt.Path)
	if err != nil {
		return err
	}
	s, err := store.Open(fs, k.opt.Store)
	var damage *store.CorruptionError
	if errors.As(err, &damage) {
		if s, err = k.quarantine(err.Error()); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	was, known, err := loadIncarnation(s)
	if err != nil || known && was.name != k.opt.Name {
		why := fmt.Sprintf("of gateway %q", was.name)
		if err != nil {
			why = err.Error()
		}
		s.Close()
		if s, err = k.quarantine(why); err != nil {
			return err
		}
		known = false
	}
	if known && recall {
		k.restore(s, was)
	}
	k.mu.Lock()
	k.store = s
	k.mu.Unlock()
	return nil
}

// setAside keeps a folder that can't be used, for people to look at, and begins another.
func (k *Keeper) quarantine(why string) (*store.Store, error) {
	to := fmt.Sprintf("%s.aside-%d", k.opt.Path, k.opt.Now().UnixMilli())
	if err := os.Rename(k.opt.Path, to); err != nil {
		return nil, err
	}
	slog.Warn("store_set_aside", "path", k.opt.Path, "to", to, "why", why)
	k.mu.Lock()
	k.quarantinePath = to
	k.mu.Unlock()
	fs, err := store.OpenDir(k.opt.Path)
	if err != nil {
		return nil, err
	}
	return store.Open(fs, k.opt.Store)
}

// recall hands the gateway the use that it had. How long ago that was goes by the clock of both lives; one that was set back counts
// as no time at all, so nothing has filled up.
func (k *Keeper) restore(s *store.Store, was incarnation) {
	now := k.opt.Now().UnixMilli()
	var list []policy.QuotaBalance
	s.Each([]byte{accountPrefix}, func(key, value []byte) bool {
		u, at, err := decodeBalance(key, value)
		plan := int(u.Key >> 24 & 255)
		if err != nil || plan >= len(was.plans) || now-at > balanceTTL.Milliseconds() {
			return true
		}
		next := -1
		for i, name := range k.opt.Plans { // numbers of plans may have changed
			if name == was.plans[plan] {
				next = i
			}
		}
		if next < 0 {
			return true
		}
		u.Key = u.Key&^(255<<24) | uint64(next)<<24
		u.Age = time.Duration(max(0, now-at)) * time.Millisecond
		u.Downtime = time.Duration(max(0, now-was.lastAliveMs)) * time.Millisecond
		list = append(list, u)
		return true
	})
	k.mu.Lock()
	k.restored = len(list)
	k.mu.Unlock()
	k.gateway.RestoreBalances(list)
}

// Run writes until ctx ends, and closes the folder.
func (k *Keeper) Run(ctx context.Context) {
	since, alive := policy.Time(0), time.Time{}
	tick := time.NewTicker(WriteInterval)
	defer tick.Stop()
	for {
		k.mu.Lock()
		s := k.store
		k.mu.Unlock()
		if s == nil {
			if !k.retryOpen(ctx) {
				return
			}
			continue
		}
		list, now := k.gateway.QuotaBalances(since)
		if len(list) > 0 || k.opt.Now().Sub(alive) >= heartbeatInterval {
			since, alive = now, k.opt.Now()
			k.write(s, list)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			list, _ := k.gateway.QuotaBalances(since)
			k.write(s, list)
			s.Close()
			return
		}
	}
}

// again tries a folder that was locked, and tells whether to go on.
func (k *Keeper) retryOpen(ctx context.Context) bool {
	if k.opt.OnLockRetry != nil {
		k.opt.OnLockRetry()
	}
	wait := time.NewTimer(lockRetryInterval)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return false
	}
	if err := k.open(false); err != nil && !errors.Is(err, store.ErrLocked) {
		k.recordFailure(err)
		return false
	}
	return true
}

func (k *Keeper) write(s *store.Store, list []policy.QuotaBalance) {
	at := k.opt.Now().UnixMilli()
	var b store.Batch
	for _, u := range list {
		b.Put(encodeAccountKey(u.Key), encodeBalance(u, at))
	}
	b.Put([]byte(incarnationKey), encodeIncarnation(incarnation{k.opt.Name, at, k.opt.Plans}))
	if err := s.Write(&b, store.Buffered); err != nil {
		k.recordFailure(err)
	}
}

// failed says so once.
func (k *Keeper) recordFailure(err error) {
	k.mu.Lock()
	first := k.err == nil
	k.err = err
	k.mu.Unlock()
	if first {
		slog.Error("store_failed", "path", k.opt.Path, "err", err)
	}
}

// Figures are counters for the people on call.
type Stats struct {
	store.Counters
	Restored       int    // accounts whose use came back
	QuarantinePath string // where a folder was set aside; empty: none was
	Err            error  // why nothing more is kept
	Epoch          uint64
}

// Figures gives the counters.
func (k *Keeper) Stats() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := Stats{Restored: k.restored, QuarantinePath: k.quarantinePath, Err: k.err}
	if k.store != nil {
		if f.Counters, f.Epoch = k.store.Counters(), k.store.Epoch(); f.Err == nil {
			f.Err = k.store.Err()
		}
	}
	return f
}

func encodeAccountKey(name uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{accountPrefix}, name)
}

// useBytes words an account's use as the message Use.
func encodeBalance(u policy.QuotaBalance, at int64) []byte {
	b := protowire.AppendTag(nil, 1, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(u.Customer))
	b = protowire.AppendTag(b, 2, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, math.Float64bits(u.Balance))
	b = protowire.AppendTag(b, 3, protowire.VarintType)
	return protowire.AppendVarint(b, uint64(at))
}

// readUse reads what useBytes has written. Figures that can't be are an error.
func decodeBalance(key, value []byte) (u policy.QuotaBalance, at int64, err error) {
	if len(key) != 9 {
		return u, 0, errors.New("an odd key")
	}
	u.Key = binary.BigEndian.Uint64(key[1:])
	err = visitFields(value, func(n protowire.Number, number uint64, _ []byte) {
		switch n {
		case 1:
			u.Customer = policy.CustomerID(number)
		case 2:
			u.Balance = math.Float64frombits(number)
		case 3:
			at = int64(number)
		}
	})
	if err == nil && (at <= 0 || math.IsNaN(u.Balance) || math.IsInf(u.Balance, 0)) {
		err = errors.New("figures that can't be")
	}
	return u, at, err
}

// lifeBytes words a life as the message Life.
func encodeIncarnation(l incarnation) []byte {
	b := protowire.AppendTag(nil, 1, protowire.BytesType)
	b = protowire.AppendString(b, l.name)
	b = protowire.AppendTag(b, 2, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(l.lastAliveMs))
	for _, p := range l.plans {
		b = protowire.AppendTag(b, 3, protowire.BytesType)
		b = protowire.AppendString(b, p)
	}
	return b
}

func loadIncarnation(s *store.Store) (l incarnation, known bool, err error) {
	value, known, err := s.Get([]byte(incarnationKey))
	if err != nil || !known {
		return l, false, err
	}
	l, err = decodeIncarnation(value)
	return l, true, err
}

// parseLife reads what lifeBytes has written.
func decodeIncarnation(value []byte) (l incarnation, err error) {
	err = visitFields(value, func(n protowire.Number, number uint64, text []byte) {
		switch n {
		case 1:
			l.name = string(text)
		case 2:
			l.lastAliveMs = int64(number)
		case 3:
			l.plans = append(l.plans, string(text))
		}
	})
	return l, err
}

// fields shows a message's fields, one after another; what it doesn't know is left out.
func visitFields(b []byte, show func(n protowire.Number, number uint64, text []byte)) error {
	for len(b) > 0 {
		n, kind, size := protowire.ConsumeTag(b)
		if size < 0 {
			return protowire.ParseError(size)
		}
		b = b[size:]
		switch kind {
		case protowire.VarintType:
			v, size := protowire.ConsumeVarint(b)
			if size < 0 {
				return protowire.ParseError(size)
			}
			show(n, v, nil)
			b = b[size:]
		case protowire.Fixed64Type:
			v, size := protowire.ConsumeFixed64(b)
			if size < 0 {
				return protowire.ParseError(size)
			}
			show(n, v, nil)
			b = b[size:]
		case protowire.BytesType:
			v, size := protowire.ConsumeBytes(b)
			if size < 0 {
				return protowire.ParseError(size)
			}
			show(n, 0, v)
			b = b[size:]
		default:
			size := protowire.ConsumeFieldValue(n, kind, b)
			if size < 0 {
				return protowire.ParseError(size)
			}
			b = b[size:]
		}
	}
	return nil
}

// Words gives a record as text, for dumps.
func Describe(key, value []byte) map[string]any {
	if l, err := decodeIncarnation(value); err == nil && string(key) == incarnationKey {
		return map[string]any{"kind": "life", "gateway": l.name, "alive_ms": l.lastAliveMs}
	}
	if u, at, err := decodeBalance(key, value); err == nil && key[0] == accountPrefix {
		return map[string]any{"kind": "account", "name": fmt.Sprintf("%016x", u.Key), "left": u.Balance, "at_ms": at}
	}
	return map[string]any{"kind": "unknown", "key": fmt.Sprintf("%x", key), "bytes": len(value)}
}
